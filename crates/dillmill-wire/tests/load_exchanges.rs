//! Guards the cost of load exchanges, which must not grow with the size of a service, and the decoding of
//! the messages of load sharing.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::placement::{LoadDetail, LoadReport};
use dillmill_core::{
    AgentTable, Envelope, ExchangeRounds, Member, PacketPurpose, ProcessId, Revision, Role,
    ServiceTag, TargetPace, Timestamp,
};
use dillmill_wire::{FlowMessage, Message, open_envelope, seal_envelope};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const ROUND: Duration = Duration::from_millis(100);
const ROUNDS: u32 = 30;
/// Largest payload that a process may send per second for load sharing.
const MAX_BYTES_PER_SECOND: usize = 2000;

fn control(n: usize) -> SocketAddrV4 {
    let host = u32::try_from(n).unwrap();
    SocketAddrV4::new((0x0a00_0000 + host).into(), 7000)
}

fn index(control: SocketAddrV4) -> usize {
    usize::try_from(u32::from(*control.ip()) - 0x0a00_0000).unwrap()
}

/// Returns the report of a busy agent with many flows, and an id as long as those of real processes.
fn report(n: usize) -> LoadReport {
    let process = ProcessId(u64::MAX - u64::try_from(n).unwrap());
    let pace = TargetPace { work: Duration::from_nanos(29_123_456), cold: None };
    let detail = LoadDetail { waiting: [0, 40, 200, 0], flow_demand: Some(1500) };
    LoadReport { in_use: 3, queued: 2, flows: 900, pace, detail, ..LoadReport::idle(process, 3) }
}

fn member(n: usize, far: bool) -> Member {
    let role = Role::Agent("orders".parse().unwrap());
    let zone = if far { "zone-2" } else { "zone-1" };
    let vm = format!("vm-{n}").parse().unwrap();
    Member::new(report(n).process, vm, zone.parse().unwrap(), role, control(n), control(n))
}

/// A service in which every agent is under pressure. `far` agents are in another data centre.
struct Service {
    tables: [AgentTable; 2],
    far: usize,
    rounds: Vec<ExchangeRounds>,
    sent: Vec<usize>,
    now: Timestamp,
}

impl Service {
    fn new(agents: usize, far: usize) -> Self {
        let members: Vec<Member> = (0..agents).map(|n| member(n, n < far)).collect();
        let table = |zone: &str| AgentTable::new(&members, &zone.parse().unwrap());
        Self {
            tables: [table("zone-1"), table("zone-2")],
            far,
            rounds: vec![ExchangeRounds::default(); agents],
            sent: vec![0; agents],
            now: Timestamp::from_millis(1_000_000),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &FlowMessage) {
        self.sent[from] += postcard::to_stdvec(&Message::Flow(message.clone())).unwrap().len();
        let (reply, first) = match *message {
            FlowMessage::AskLoad => (true, false),
            FlowMessage::LoadExchange { reply, report } => {
                let first = self.rounds[to].note_known(report.process);
                if !reply {
                    return;
                }
                (false, first)
            }
            _ => return,
        };
        if first || self.rounds[to].may_reply(self.now) {
            self.send(to, from, &FlowMessage::LoadExchange { reply, report: report(to) });
        }
    }

    fn run(&mut self) {
        let mut rng = StdRng::seed_from_u64(7);
        let service = ServiceTag::from(&"orders".parse().unwrap());
        for _ in 0..ROUNDS {
            for n in 0..self.rounds.len() {
                let table = &self.tables[usize::from(n < self.far)];
                let mut draw = |below: usize| rng.random_range(0..below);
                let (me, now) = (report(n).process, self.now);
                assert!(self.rounds[n].due(now));
                for peer in self.rounds[n].begin(me, service, table, now, &mut draw) {
                    let load = FlowMessage::LoadExchange { reply: true, report: report(n) };
                    let message = if peer.known { load } else { FlowMessage::AskLoad };
                    self.send(n, index(peer.control), &message);
                }
                assert!(!self.rounds[n].due(now));
            }
            self.now = self.now + ROUND;
        }
    }
}

#[rstest]
fn bytes_independent_of_size(#[values(30, 300, 982)] agents: usize, #[values(0, 1)] far: usize) {
    let mut service = Service::new(agents, far);
    service.run();
    let seconds = usize::try_from((ROUND * ROUNDS).as_secs()).unwrap();
    let most = service.sent.iter().max().unwrap() / seconds;
    let mean = service.sent.iter().sum::<usize>() / agents / seconds;
    println!("{agents} agents, {far} far: {mean} bytes per second and agent, at most {most}");
    assert!(most < MAX_BYTES_PER_SECOND, "{most} bytes per second");
    assert!((1000..1600).contains(&mean), "{mean} bytes per second");
}

/// Position of `AskLoad`, the last variant that earlier versions know.
const ASK_LOAD_VARIANT: u8 = 7;

/// The new variants follow the earlier ones, and a later version may add fields to the report.
#[test]
fn load_exchange_read() {
    let ask = postcard::to_stdvec(&FlowMessage::AskLoad).unwrap();
    assert_eq!(ask, [ASK_LOAD_VARIANT]);
    let exchange = FlowMessage::LoadExchange { reply: true, report: report(1) };
    let mut bytes = postcard::to_stdvec(&exchange).unwrap();
    assert_eq!(bytes[0], ASK_LOAD_VARIANT + 1);
    bytes.extend([1, 2, 3]);
    assert_eq!(postcard::from_bytes::<FlowMessage>(&bytes).unwrap(), exchange);
}

#[test]
fn moved_packet_read() {
    let purpose = PacketPurpose::Moved { passed: vec![ProcessId(1), ProcessId(2)], waited_ms: 431 };
    assert_eq!(postcard::to_stdvec(&purpose).unwrap()[0], 4);
    let (service, revision) = (ServiceTag(1), Revision(3));
    let envelope = Envelope { service, revision, origin: control(9), purpose };
    let mut buf = Vec::new();
    seal_envelope(&envelope, b"packet", &mut buf);
    assert_eq!(open_envelope(&buf), Ok((envelope, &b"packet"[..])));
}
