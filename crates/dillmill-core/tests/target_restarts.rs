//! Tests which state an agent keeps when its target restarts.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, TargetStanding, Verdict};
use dillmill_core::target_flows::EndedFlow;
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, Envelope, FlowGate, FlowTuple, PacketPurpose, ProcessId, Revision, RouteEntry,
    RouteTable, Segment, SegmentKind, ServiceTag, SiblingLoads, Timestamp, Weight,
};
use rstest::{fixture, rstest};

const ROUTE: &str = "198.18.0.1:443";
const START: Timestamp = Timestamp::from_millis(1_000_000);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const TARGET_SEQ: u32 = 5000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn orders() -> ServiceTag {
    ServiceTag(1)
}

fn addr(n: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), port)
}

fn flow(port: u16) -> FlowTuple {
    FlowTuple::new(addr(7, port), ROUTE.parse().unwrap())
}

fn segment(port: u16, kind: SegmentKind) -> Segment {
    Segment { flow: flow(port), kind, seq: 1, ack: 0, len: 0, returned: false, mark: 0 }
}

fn request(port: u16) -> Segment {
    Segment { ack: TARGET_SEQ + 1, len: 100, ..segment(port, SegmentKind::Data) }
}

struct AgentUnderTest {
    gate: FlowGate,
    agents: AgentTable,
    routes: RouteTable,
}

impl AgentUnderTest {
    fn arrives(&mut self, seg: &Segment, purpose: PacketPurpose, now: Timestamp) -> Verdict {
        let context = GateContext {
            agents: &self.agents,
            routes: &self.routes,
            settled: true,
            told: true,
            siblings: &SiblingLoads::new(),
        };
        let envelope =
            Envelope { service: orders(), revision: Revision(1), origin: addr(9, 1), purpose };
        self.gate.arrived(seg, &envelope, context, now)
    }

    /// Has a caller open a flow and send a request on it.
    fn open(&mut self, port: u16, now: Timestamp) {
        let opening = segment(port, SegmentKind::Open { copies: 0 });
        self.arrives(&opening, PacketPurpose::Place { passed: Vec::new() }, now);
        let accept = Segment { seq: TARGET_SEQ, ..segment(port, SegmentKind::Accept) };
        self.gate.answered(&accept, now);
        let verdict = self.arrives(&request(port), PacketPurpose::Deliver, now);
        assert_eq!(verdict, Verdict::Deliver { mark: 0, tell: None });
    }
}

/// An agent whose target has just sent its first heartbeat.
#[fixture]
fn agent() -> AgentUnderTest {
    let entry = RouteEntry { shares: vec![(orders(), Weight(1))], ..RouteEntry::default() };
    let routes = RouteTable::new(Revision(1), [(ROUTE.parse().unwrap(), entry)]);
    let mut gate = FlowGate::new(ProcessId(1), addr(1, 7001), orders(), START)
        .heartbeat_every(HEARTBEAT_INTERVAL);
    gate.new_target(orders(), Predecessor::None, START);
    gate.set_standing(TargetStanding::Ready, 2);
    AgentUnderTest { gate, agents: AgentTable::default(), routes }
}

/// Flows of the previous run end at once, except the last ones, which the new run may have taken before
/// its first heartbeat.
#[rstest]
fn flows_end_with_their_run(mut agent: AgentUnderTest) {
    agent.open(1, START);
    let lived = START + HEARTBEAT_INTERVAL * 2;
    agent.open(2, lived + ms(100));
    let change =
        agent.gate.new_target(orders(), Predecessor::Ended { lived }, lived + HEARTBEAT_INTERVAL);
    let ended = EndedFlow { flow: flow(1), caller_expects: TARGET_SEQ + 1 };
    assert_eq!((change.ended, change.in_doubt), (vec![ended], vec![flow(2)]));
    assert_eq!(
        agent.gate.load(lived + HEARTBEAT_INTERVAL).flows,
        1,
        "ended flows do not count as load"
    );
}

/// If it is uncertain whether the previous run has ended, none of its flows ends; the target is only
/// asked about them.
#[rstest]
fn unsure_predecessor_ends_nothing(mut agent: AgentUnderTest) {
    agent.open(1, START);
    let change =
        agent.gate.new_target(orders(), Predecessor::Unsure, START + HEARTBEAT_INTERVAL * 5);
    assert_eq!((change.ended, change.in_doubt), (Vec::new(), vec![flow(1)]));
}

/// An answer that the previous run had sent before it ended still reaches its caller, but opens no flow
/// at the agent.
#[rstest]
fn late_answer_opens_nothing(mut agent: AgentUnderTest) {
    agent.open(1, START);
    let lived = START + HEARTBEAT_INTERVAL * 2;
    agent.gate.new_target(orders(), Predecessor::Ended { lived }, lived + HEARTBEAT_INTERVAL);
    let answer = Segment { seq: TARGET_SEQ + 1, len: 300, ..segment(1, SegmentKind::Data) };
    let noted = agent.gate.answered(&answer, lived + HEARTBEAT_INTERVAL);
    assert_eq!((noted.record, noted.stray_reset), (None, false));
    assert_eq!(agent.gate.load(lived + HEARTBEAT_INTERVAL).flows, 0);
}

/// A new run must not count as slow, failing or cold because the previous run was.
#[rstest]
fn new_run_starts_fresh(mut agent: AgentUnderTest) {
    let slow = ms(900);
    let mut now = START;
    for port in 1..=20 {
        agent.open(port, now);
        now = now + slow;
        let answer = Segment { seq: TARGET_SEQ + 1, len: 300, ..segment(port, SegmentKind::Data) };
        agent.gate.answered(&answer, now);
    }
    agent.gate.set_cold_rate(Some(1));
    agent.gate.set_cold(ms(9000), now);
    agent.open(30, now);
    let slow_pace = agent.gate.pace(now);
    let lived = now + HEARTBEAT_INTERVAL;
    agent.gate.new_target(orders(), Predecessor::Ended { lived }, lived + HEARTBEAT_INTERVAL);
    let pace = agent.gate.pace(lived + HEARTBEAT_INTERVAL);
    assert!(pace.work * 4 < slow_pace.work, "{pace:?} after {slow_pace:?}");
    assert_eq!(pace.cold, None, "cold only once the new run reports it");
    assert!(
        !agent.gate.target_silent(lived + HEARTBEAT_INTERVAL * 9),
        "answers that the previous run still owed do not count"
    );
}

/// A caller that reuses the port of an ended flow gets a flow at the new run.
#[rstest]
fn port_reused(mut agent: AgentUnderTest) {
    agent.open(1, START);
    let lived = START + HEARTBEAT_INTERVAL * 2;
    let now = lived + HEARTBEAT_INTERVAL;
    agent.gate.new_target(orders(), Predecessor::Ended { lived }, now);
    agent.open(1, now);
    assert_eq!(agent.gate.load(now).flows, 1);
}
