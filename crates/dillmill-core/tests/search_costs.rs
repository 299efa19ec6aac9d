//! What searches for owners cost as a service grows.
//!
//! Each agent of a service is a real gate. Before, a flow that no directory knew was passed through every agent of
//! its service: 5,000 hops a flow at 5,000 agents. Now: the directories and the agents that do not know all flows of
//! their targets; all agents where they are no more than 64.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, TargetStanding, Verdict};
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, DirectoryCatchUp, Envelope, FlowCoverage, FlowGate, FlowTuple, Member,
    MemberStatus, PacketPurpose, ProcessId, RecordBatch, Registrations, Revision, Role, RouteEntry,
    RouteTable, Search, Segment, SegmentKind, ServiceTag, Timestamp, Weight,
};
use rstest::rstest;

const ROUTE: &str = "198.18.0.1:443";
const START: Timestamp = Timestamp::from_millis(1_000_000_000);
const TARGET_SEQ: u32 = 5000;
/// Agents that remember a flow, and those that are asked besides.
const DIRECTORIES: usize = 4;

fn addr(n: u32, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + n), port)
}

fn number(addr: SocketAddrV4) -> usize {
    usize::try_from(u32::from(*addr.ip()) - 0x0a00_0000).unwrap()
}

fn orders() -> ServiceTag {
    ServiceTag::from(&"orders".parse().unwrap())
}

fn flow(n: u32) -> FlowTuple {
    let port = u16::try_from(n % 50_000).unwrap();
    let caller = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + n / 50_000), port);
    FlowTuple::new(caller, ROUTE.parse().unwrap())
}

fn segment(n: u32, kind: SegmentKind) -> Segment {
    Segment { flow: flow(n), kind, seq: 1, ack: 0, len: 0, returned: false, mark: 0 }
}

fn request(n: u32) -> Segment {
    Segment { ack: TARGET_SEQ + 1, len: 100, ..segment(n, SegmentKind::Data) }
}

#[derive(Debug, PartialEq, Eq)]
enum End {
    Found { agent: usize },
    Missing,
    Open,
}

struct Service {
    gates: Vec<FlowGate>,
    catch_ups: Vec<DirectoryCatchUp>,
    /// Flows that targets hold, as the targets know it.
    held: BTreeMap<FlowTuple, usize>,
    members: Vec<Member>,
    table: AgentTable,
    routes: RouteTable,
    now: Timestamp,
}

impl Service {
    /// Creates agents that have all just started, all but `partial` of them before their targets.
    fn started(agents: u32, partial: usize) -> Self {
        let members: Vec<Member> =
            (0..agents).map(|n| member(n, usize::try_from(n).unwrap() < partial, START)).collect();
        let gates = members.iter().map(gate).collect();
        let entry = RouteEntry { shares: vec![(orders(), Weight(1))], ..RouteEntry::default() };
        let routes = RouteTable::new(Revision(1), [(ROUTE.parse().unwrap(), entry)]);
        let table = table(&members);
        let catch_ups = members.iter().map(|m| catch_up(m, &table)).collect();
        Self { gates, catch_ups, held: BTreeMap::new(), members, table, routes, now: START }
    }

    /// Has both directories of a flow start again, and returns them.
    fn restart_directories(&mut self, of: u32) -> Vec<usize> {
        let directories: Vec<usize> =
            self.table.directory(&flow(of)).map(|a| number(a.data)).collect();
        for n in &directories {
            self.restart(*n);
        }
        directories
    }

    /// Starts an agent again, whose target lives on.
    fn restart(&mut self, n: usize) {
        let process = ProcessId(self.members[n].process.0 + 100_000);
        let mut member = member(u32::try_from(n).unwrap(), true, self.now);
        member.process = process;
        self.gates[n] = gate(&member);
        self.members[n] = member;
        self.table = table(&self.members);
        self.catch_ups[n] = catch_up(&self.members[n], &self.table);
    }

    /// Has an agent that has started ask for the flows that it is to remember; `lost` of the questions get lost at
    /// first. Returns how many have been asked.
    fn ask_all(&mut self, n: usize, mut lost: usize) -> usize {
        let mut asked = 0;
        for _ in 0..1000 {
            if self.catch_ups[n].is_complete() {
                break;
            }
            self.now = self.now + Duration::from_millis(100);
            for to in self.catch_ups[n].take_due(&self.table, self.now) {
                asked += 1;
                if lost > 0 {
                    lost -= 1;
                    continue;
                }
                let directory = self.members[n].control;
                let accepted = self.gates[number(to)].records();
                let mut registrations = Registrations::default();
                for batch in registrations.records_for(accepted, &self.table, directory, self.now) {
                    for record in batch.records {
                        self.gates[n].register(record, self.now);
                    }
                }
                self.catch_ups[n].answered(self.members[number(to)].process);
            }
        }
        asked
    }

    fn arrives(&mut self, n: usize, seg: &Segment, purpose: PacketPurpose) -> Verdict {
        let known = GateContext {
            agents: &self.table,
            routes: &self.routes,
            settled: true,
            told: self.catch_ups[n].is_complete(),
        };
        let envelope =
            Envelope { service: orders(), revision: Revision(1), origin: addr(1, 1), purpose };
        self.gates[n].arrived(seg, &envelope, known, self.now)
    }

    /// Opens flow `n` at an agent; the directories that `reached` lets through hear of it.
    fn open(&mut self, n: u32, at: usize, reached: bool) {
        let opening = segment(n, SegmentKind::Open { copies: 0 });
        self.arrives(at, &opening, PacketPurpose::Place { passed: Vec::new() });
        let accept = Segment { seq: TARGET_SEQ, ..segment(n, SegmentKind::Accept) };
        let record = self.gates[at].answered(&accept, self.now).record.unwrap();
        self.arrives(at, &request(n), PacketPurpose::Deliver);
        self.held.insert(flow(n), at);
        let directories: Vec<usize> =
            self.table.directory(&flow(n)).map(|a| number(a.data)).collect();
        for directory in directories.into_iter().filter(|_| reached) {
            self.gates[directory].register(record, self.now);
        }
    }

    /// Returns an agent that is to remember nothing of flow `n`.
    fn stranger(&self, n: u32) -> usize {
        let stranger = |m: &&Member| !self.table.is_directory(&flow(n), m.process);
        number(self.members.iter().find(stranger).unwrap().data)
    }

    /// Has the owner of flow `n` searched; returns what came of it and the packets that went between agents.
    fn search(&mut self, n: u32) -> (End, usize) {
        let first = self.table.next_in_search(&flow(n), &[orders()], None, None).unwrap();
        let (place, mut at) = (Some(first.0), number(first.1.data));
        let search = Search { place, steps: 1, ..Search::default() };
        let mut hops = 1;
        let mut verdict = self.arrives(at, &request(n), PacketPurpose::Search(search));
        loop {
            verdict = match verdict {
                Verdict::Pass { to, envelope, .. } => {
                    hops += 1;
                    at = number(to);
                    self.arrives(at, &request(n), envelope.purpose)
                }
                Verdict::Deliver { .. } if self.held.get(&flow(n)) == Some(&at) => {
                    return (End::Found { agent: at }, hops);
                }
                Verdict::Deliver { mark, .. } => {
                    let back = Segment { returned: true, mark, ..request(n) };
                    let known = GateContext {
                        agents: &self.table,
                        routes: &self.routes,
                        settled: true,
                        told: true,
                    };
                    self.gates[at].returned(&back, known, self.now)
                }
                Verdict::Missing { .. } => return (End::Missing, hops),
                Verdict::Drop => return (End::Open, hops),
                other => panic!("{other:?}"),
            }
        }
    }
}

fn member(n: u32, partial: bool, started: Timestamp) -> Member {
    Member {
        started,
        weight: Weight(2),
        coverage: if partial { FlowCoverage::Partial } else { FlowCoverage::Complete },
        ..Member::new(
            ProcessId(u64::from(n)),
            format!("vm-{n}").parse().unwrap(),
            format!("zone-{}", n % 6).parse().unwrap(),
            Role::Agent("orders".parse().unwrap()),
            addr(n, 7001),
            addr(n, 7000),
        )
    }
}

fn gate(member: &Member) -> FlowGate {
    let mut gate = FlowGate::new(member.process, member.data, orders(), member.started);
    if member.coverage == FlowCoverage::Complete {
        gate.new_target(orders(), Predecessor::None, member.started);
    }
    gate.set_standing(TargetStanding::Ready, 2);
    gate
}

/// Returns what an agent that knows all others has to ask.
fn catch_up(member: &Member, table: &AgentTable) -> DirectoryCatchUp {
    let mut catch_up = DirectoryCatchUp::default();
    catch_up.begin(table, member.process, member.started);
    catch_up
}

fn table(members: &[Member]) -> AgentTable {
    AgentTable::new(members, &"zone-1".parse().unwrap())
}

/// Agents that a search visits in any case, if there are no more.
const FEW: usize = 64;

/// All VMs have lost power: callers ask for flows that are gone, and each is told so in a few steps.
#[rstest]
fn lost_flows_cost_the_same(
    #[values(50, 500, 5000)] agents: u32,
    #[values(0, 3)] partial: usize,
    #[values(1000, 10_000)] flows: u32,
) {
    let mut service = Service::started(agents, partial);
    for n in 0..flows {
        let (end, hops) = service.search(n);
        assert_eq!(end, End::Missing, "flow {n}");
        let visited = if agents as usize <= FEW { FEW } else { partial };
        assert!(hops <= DIRECTORIES + visited, "flow {n}: {hops} hops");
    }
}

/// Flows that began since are found by their records, and flows of an agent that has restarted by asking it.
#[rstest]
fn living_flows_found(#[values(70, 500)] agents: u32) {
    let mut service = Service::started(agents, 0);
    for n in 0..200 {
        service.open(n, number(addr(n % agents, 1)), true);
    }
    service.now = START + Duration::from_secs(20);
    service.restart(7);
    for n in 0..200 {
        let agent = number(addr(n % agents, 1));
        let (end, hops) = service.search(n);
        assert_eq!(end, End::Found { agent }, "flow {n}");
        assert!(hops <= DIRECTORIES + 1, "flow {n}: {hops} hops");
    }
}

/// Nobody is told that a flow is gone while a directory of it may not have heard: both have started again, and the
/// others are older. Once these have been asked, flows that live are found and others are known to be gone.
#[test]
fn young_directories_prove_nothing() {
    let mut service = Service::started(80, 0);
    service.now = START + Duration::from_secs(20);
    let owner = service.stranger(1);
    service.open(1, owner, false);
    let directories = service.restart_directories(1);
    assert_eq!(service.search(1).0, End::Open);
    assert_eq!(service.search(2).0, End::Missing, "its directories are old");
    for n in directories {
        let asked = service.ask_all(n, 5);
        // Each other agent, but for the one that has started since, and once more where it got lost.
        assert!((78 + 5..=79 + 5).contains(&asked), "{asked}");
    }
    assert_eq!(service.search(1).0, End::Found { agent: owner });
}

/// Agents that start together have nothing to ask, and one that is gone is not waited for.
#[test]
fn nobody_waited_for_in_vain() {
    let mut service = Service::started(80, 0);
    assert_eq!(service.ask_all(3, 0), 0);
    service.now = START + Duration::from_secs(20);
    service.restart(3);
    assert!(!service.catch_ups[3].is_complete());
    let left = service.members[3].process;
    service.members.retain(|m| m.process == left);
    service.table = table(&service.members);
    assert!(service.catch_ups[3].take_due(&service.table, service.now).is_empty());
    assert!(service.catch_ups[3].is_complete());
}

/// One that takes a living directory for suspect finds the record a place further.
#[test]
fn suspect_directory_hides_nothing() {
    for n in 0..50 {
        let mut service = Service::started(80, 0);
        let first = number(service.table.directory(&flow(n)).next().unwrap().data);
        let owner = (first + 11) % 80;
        // The owner holds the first directory for suspect, and leaves its records with the next two.
        service.members[first].status = MemberStatus::Suspect;
        service.table = table(&service.members);
        service.open(n, owner, true);
        service.members[first].status = MemberStatus::Serving;
        service.table = table(&service.members);
        assert_eq!(service.search(n).0, End::Found { agent: owner }, "flow {n}");
    }
}

/// Both agents that remember a flow are suspect: nobody can say that it is gone.
#[test]
fn suspect_directories_prove_nothing() {
    let mut service = Service::started(80, 0);
    let directories: Vec<usize> =
        service.table.directory(&flow(1)).map(|a| number(a.data)).collect();
    for n in directories {
        service.members[n].status = MemberStatus::Suspect;
    }
    service.table = table(&service.members);
    assert_eq!(service.search(1).0, End::Open);
}

/// A record is sent until its directory has it, and only to one that differs from before.
#[test]
fn records_sent_until_acknowledged() {
    let mut service = Service::started(80, 0);
    let owner = service.stranger(1);
    service.open(1, owner, false);
    let mut registrations = Registrations::default();
    for record in service.gates[owner].records() {
        registrations.push(record);
    }
    let me = service.members[owner].process;
    let sent = registrations.take_new(&service.table, me, START);
    assert_eq!(sent.len(), 2, "{sent:?}");
    assert!(registrations.take_due(START).is_empty());
    registrations.acknowledged(sent[0].to, sent[0].number);
    let again = registrations.take_due(START + Duration::from_millis(250));
    assert_eq!(again, [sent[1].clone()]);
    // One batch number of another directory acknowledges nothing.
    registrations.acknowledged(sent[0].to, sent[1].number);
    assert_eq!(registrations.unacknowledged(), 1);
    registrations.acknowledged(sent[1].to, sent[1].number);
    assert_eq!(registrations.unacknowledged(), 0);
}

/// A directory that is gone for good is not told for ever.
#[test]
fn records_given_up() {
    let mut service = Service::started(10, 0);
    let owner = service.stranger(1);
    service.open(1, owner, false);
    let mut registrations = Registrations::default();
    registrations.push(service.gates[owner].records()[0]);
    let me = service.members[owner].process;
    let mut sent: Vec<RecordBatch> = registrations.take_new(&service.table, me, START);
    let copies = sent.len();
    for ms in (0..60_000).step_by(100) {
        sent.extend(registrations.take_due(START + Duration::from_millis(ms)));
    }
    assert!(sent.len() > copies * 3 && sent.len() < copies * 10, "{}", sent.len());
    assert_eq!(registrations.unacknowledged(), 0);
}

/// Everything starts, and some seconds later both directories of a flow start once more: the others are older by then.
#[test]
fn second_start_asks_again() {
    let mut service = Service::started(80, 0);
    service.now = START + Duration::from_secs(5);
    let owner = service.stranger(1);
    service.open(1, owner, false);
    let directories = service.restart_directories(1);
    assert_eq!(service.search(1).0, End::Open);
    assert!(directories.iter().all(|n| service.ask_all(*n, 0) > 0));
    assert_eq!(service.search(1).0, End::Found { agent: owner });
}

/// Targets come to agents that have long been there without: they become directories of flows that they have not heard of.
#[test]
fn late_target_asks_too() {
    let mut service = Service::started(80, 0);
    let all = service.members.clone();
    for member in &mut service.members[40..] {
        member.status = MemberStatus::Empty;
    }
    service.table = table(&service.members);
    service.now = START + Duration::from_secs(20);
    for n in 0..200 {
        service.open(n, number(addr(n % 40, 1)), true);
    }
    service.members = all;
    service.table = table(&service.members);
    for n in 40..80 {
        let mut catch_up = DirectoryCatchUp::default();
        catch_up.begin(&service.table, service.members[n].process, service.now);
        service.catch_ups[n] = catch_up;
    }
    let lost =
        |service: &mut Service| (0..200).filter(|n| service.search(*n).0 == End::Missing).count();
    assert_eq!(lost(&mut service), 0, "before they have asked");
    for n in 40..80 {
        assert_eq!(service.ask_all(n, 0), 79);
    }
    for n in 0..200 {
        let agent = number(addr(n % 40, 1));
        assert_eq!(service.search(n).0, End::Found { agent }, "flow {n}");
    }
}
