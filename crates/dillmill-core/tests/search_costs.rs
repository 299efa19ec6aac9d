//! Tests the cost of searches for flow owners as a service grows.
//!
//! Each agent of a service is a real gate. Passing a flow that no directory knows through every agent
//! of its service took 5,000 hops per flow with 5,000 agents. So a search visits only the directories
//! and the agents that do not know all flows of their targets, or all agents if there are at most 64.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, TargetStanding, Verdict};
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, DirectoryCatchUp, Envelope, FlowCoverage, FlowGate, FlowTuple, Member,
    MemberStatus, PacketPurpose, ProcessId, RecordBatch, Registrations, Revision, Role, RouteEntry,
    RouteTable, Search, Segment, SegmentKind, ServiceTag, SiblingLoads, Timestamp, Weight,
};
use rstest::rstest;

static NO_SIBLINGS: SiblingLoads = SiblingLoads::new();
const ROUTE: &str = "198.18.0.1:443";
const START: Timestamp = Timestamp::from_millis(1_000_000_000);
const TARGET_SEQ: u32 = 5000;
/// Agents that a search asks as directories: those that record the flow, and those asked in addition.
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
enum SearchOutcome {
    Found { agent: usize },
    Missing,
    Open,
}

struct Service {
    gates: Vec<FlowGate>,
    catch_ups: Vec<DirectoryCatchUp>,
    /// Flows that targets hold, by the targets' own knowledge.
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

    /// Restarts both directories of a flow and returns them.
    fn restart_directories(&mut self, of: u32) -> Vec<usize> {
        let directories: Vec<usize> =
            self.table.directory(&flow(of)).map(|a| number(a.data)).collect();
        for n in &directories {
            self.restart(*n);
        }
        directories
    }

    /// Restarts an agent whose target keeps running.
    fn restart(&mut self, n: usize) {
        let process = ProcessId(self.members[n].process.0 + 100_000);
        let mut member = member(u32::try_from(n).unwrap(), true, self.now);
        member.process = process;
        self.gates[n] = gate(&member);
        self.members[n] = member;
        self.table = table(&self.members);
        self.catch_ups[n] = catch_up(&self.members[n], &self.table);
    }

    /// Has a started agent request the records of the flows whose directory it is. The first `lost`
    /// requests are lost. Returns the number of requests sent.
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
        let context = GateContext {
            agents: &self.table,
            routes: &self.routes,
            settled: true,
            told: self.catch_ups[n].is_complete(),
            siblings: &NO_SIBLINGS,
        };
        let envelope =
            Envelope { service: orders(), revision: Revision(1), origin: addr(1, 1), purpose };
        self.gates[n].arrived(seg, &envelope, context, self.now)
    }

    /// Opens flow `n` at an agent; its directories get the record if they are `reached`.
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

    /// Returns an agent that is not a directory of flow `n`.
    fn non_directory(&self, n: u32) -> usize {
        let non_directory = |m: &&Member| !self.table.is_directory(&flow(n), m.process);
        number(self.members.iter().find(non_directory).unwrap().data)
    }

    /// Searches for the owner of flow `n`; returns the outcome and the number of packets between agents.
    fn search(&mut self, n: u32) -> (SearchOutcome, usize) {
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
                    return (SearchOutcome::Found { agent: at }, hops);
                }
                Verdict::Deliver { mark, .. } => {
                    let back = Segment { returned: true, mark, ..request(n) };
                    let context = GateContext {
                        agents: &self.table,
                        routes: &self.routes,
                        settled: true,
                        told: true,
                        siblings: &NO_SIBLINGS,
                    };
                    self.gates[at].returned(&back, context, self.now)
                }
                Verdict::Missing { .. } => return (SearchOutcome::Missing, hops),
                Verdict::Drop => return (SearchOutcome::Open, hops),
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

/// Returns the pending record requests of an agent that knows all others.
fn catch_up(member: &Member, table: &AgentTable) -> DirectoryCatchUp {
    let mut catch_up = DirectoryCatchUp::default();
    catch_up.begin(table, member.process, member.started);
    catch_up
}

fn table(members: &[Member]) -> AgentTable {
    AgentTable::new(members, &"zone-1".parse().unwrap())
}

/// Largest number of agents of which a search visits all.
const FULL_SEARCH_AGENTS: usize = 64;

/// After all VMs have lost power, callers send packets of flows that are gone. However large the
/// service, each caller is told so after a few steps.
#[rstest]
fn lost_flow_cost_bounded(
    #[values(50, 500, 5000)] agents: u32,
    #[values(0, 3)] partial: usize,
    #[values(1000, 10_000)] flows: u32,
) {
    let mut service = Service::started(agents, partial);
    for n in 0..flows {
        let (end, hops) = service.search(n);
        assert_eq!(end, SearchOutcome::Missing, "flow {n}");
        let visited =
            if agents as usize <= FULL_SEARCH_AGENTS { FULL_SEARCH_AGENTS } else { partial };
        assert!(hops <= DIRECTORIES + visited, "flow {n}: {hops} hops");
    }
}

/// New flows are found by their directory records. Flows of a restarted agent are found by asking that
/// agent.
#[rstest]
fn live_flows_found(#[values(70, 500)] agents: u32) {
    let mut service = Service::started(agents, 0);
    for n in 0..200 {
        service.open(n, number(addr(n % agents, 1)), true);
    }
    service.now = START + Duration::from_secs(20);
    service.restart(7);
    for n in 0..200 {
        let agent = number(addr(n % agents, 1));
        let (end, hops) = service.search(n);
        assert_eq!(end, SearchOutcome::Found { agent }, "flow {n}");
        assert!(hops <= DIRECTORIES + 1, "flow {n}: {hops} hops");
    }
}

/// Both directories of a flow have restarted and may lack its record, while the other agents are older.
/// Until the directories have asked the others, no caller may be told that the flow is gone. Then live
/// flows are found and others are known to be gone.
#[test]
fn young_directories_prove_nothing() {
    let mut service = Service::started(80, 0);
    service.now = START + Duration::from_secs(20);
    let owner = service.non_directory(1);
    service.open(1, owner, false);
    let directories = service.restart_directories(1);
    assert_eq!(service.search(1).0, SearchOutcome::Open);
    assert_eq!(service.search(2).0, SearchOutcome::Missing, "its directories have not restarted");
    for n in directories {
        let asked = service.ask_all(n, 5);
        // Each other agent is asked, except the one that has started since, and once more for each
        // lost request.
        assert!((78 + 5..=79 + 5).contains(&asked), "{asked}");
    }
    assert_eq!(service.search(1).0, SearchOutcome::Found { agent: owner });
}

/// Agents that start together have nothing to ask, and a restarted agent must not wait for the answer
/// of one that is gone.
#[test]
fn departed_agent_not_awaited() {
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

/// An owner that considers a live directory suspect registers one place further on the ring. A search
/// by a process that does not suspect the directory must still find the record.
#[test]
fn suspect_directory_hides_nothing() {
    for n in 0..50 {
        let mut service = Service::started(80, 0);
        let first = number(service.table.directory(&flow(n)).next().unwrap().data);
        let owner = (first + 11) % 80;
        // The owner considers the first directory suspect and registers with the next two.
        service.members[first].status = MemberStatus::Suspect;
        service.table = table(&service.members);
        service.open(n, owner, true);
        service.members[first].status = MemberStatus::Serving;
        service.table = table(&service.members);
        assert_eq!(service.search(n).0, SearchOutcome::Found { agent: owner }, "flow {n}");
    }
}

/// While both directories of a flow are suspect, no search can prove that the flow is gone.
#[test]
fn suspect_directories_prove_nothing() {
    let mut service = Service::started(80, 0);
    let directories: Vec<usize> =
        service.table.directory(&flow(1)).map(|a| number(a.data)).collect();
    for n in directories {
        service.members[n].status = MemberStatus::Suspect;
    }
    service.table = table(&service.members);
    assert_eq!(service.search(1).0, SearchOutcome::Open);
}

/// A record is sent again until its directory acknowledges it, and only to directories that have not
/// acknowledged it.
#[test]
fn records_sent_until_acknowledged() {
    let mut service = Service::started(80, 0);
    let owner = service.non_directory(1);
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
    // The batch number of another directory acknowledges nothing.
    registrations.acknowledged(sent[0].to, sent[1].number);
    assert_eq!(registrations.unacknowledged(), 1);
    registrations.acknowledged(sent[1].to, sent[1].number);
    assert_eq!(registrations.unacknowledged(), 0);
}

/// Records for a directory that never answers are given up after a limited number of attempts.
#[test]
fn lost_directory_given_up() {
    let mut service = Service::started(10, 0);
    let owner = service.non_directory(1);
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

/// Some seconds after everything has started, both directories of a flow restart. The other agents are
/// older by then, so the directories must ask them.
#[test]
fn second_restart_asks_again() {
    let mut service = Service::started(80, 0);
    service.now = START + Duration::from_secs(5);
    let owner = service.non_directory(1);
    service.open(1, owner, false);
    let directories = service.restart_directories(1);
    assert_eq!(service.search(1).0, SearchOutcome::Open);
    assert!(directories.iter().all(|n| service.ask_all(*n, 0) > 0));
    assert_eq!(service.search(1).0, SearchOutcome::Found { agent: owner });
}

/// Agents that have long run without a target get one, and so become directories of flows of which they
/// have no record. They must ask for the records, and prove nothing before.
#[test]
fn late_directory_catches_up() {
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
    let lost = |service: &mut Service| {
        (0..200).filter(|n| service.search(*n).0 == SearchOutcome::Missing).count()
    };
    assert_eq!(lost(&mut service), 0, "flows reported as gone before the directories have asked");
    for n in 40..80 {
        assert_eq!(service.ask_all(n, 0), 79);
    }
    for n in 0..200 {
        let agent = number(addr(n % 40, 1));
        assert_eq!(service.search(n).0, SearchOutcome::Found { agent }, "flow {n}");
    }
}
