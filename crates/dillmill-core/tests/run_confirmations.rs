//! Tests when an agent trusts that the run of the target it knows still holds the target's address.
//!
//! Guards against requests run by a target of another service: a target crashed, its address went to
//! another service, and its agent took packets that the new target returned as signs that the crashed
//! one was back (docs/incidents/address-of-another-service.md).

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, RefuseReason, TargetStanding, Verdict};
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, Envelope, FlowGate, FlowTuple, PacketPurpose, ProcessId, Revision, RouteEntry,
    RouteTable, RunConfirmation, Segment, SegmentKind, ServiceTag, SiblingLoads, Timestamp, Weight,
};
use rstest::rstest;

const ROUTE: &str = "198.18.0.1:443";
const START: Timestamp = Timestamp::from_millis(1_000_000);
const INTERVAL: Duration = Duration::from_millis(1200);
const REUSE_AFTER: Duration = Duration::from_secs(2);
const TARGET_SEQ: u32 = 5000;
const ORDERS: ServiceTag = ServiceTag(1);
const LABELS: ServiceTag = ServiceTag(2);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn addr(n: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), port)
}

fn segment(port: u16, kind: SegmentKind) -> Segment {
    let flow = FlowTuple::new(addr(7, port), ROUTE.parse().unwrap());
    Segment { flow, kind, seq: 1, ack: 0, len: 0, returned: false, mark: 0 }
}

fn request(port: u16) -> Segment {
    Segment { ack: TARGET_SEQ + 1, len: 100, ..segment(port, SegmentKind::Data) }
}

/// The agent of a target of `orders`, whose first heartbeat comes at [`START`].
struct Agent {
    gate: FlowGate,
    agents: AgentTable,
    routes: RouteTable,
    siblings: SiblingLoads,
}

impl Agent {
    fn new(interval: Duration) -> Self {
        let entry = RouteEntry { shares: vec![(ORDERS, Weight(1))], ..RouteEntry::default() };
        let routes = RouteTable::new(Revision(1), [(ROUTE.parse().unwrap(), entry)]);
        let mut gate = FlowGate::new(ProcessId(1), addr(1, 7001), ORDERS, START)
            .heartbeat_every(interval)
            .address_kept_for(REUSE_AFTER);
        gate.new_target(ORDERS, Predecessor::None, START);
        gate.set_standing(TargetStanding::Ready, 20);
        gate.heartbeat(START);
        Self { gate, agents: AgentTable::default(), routes, siblings: SiblingLoads::new() }
    }

    fn arrives(&mut self, seg: &Segment, purpose: PacketPurpose, now: Timestamp) -> Verdict {
        let envelope =
            Envelope { service: ORDERS, revision: Revision(1), origin: addr(9, 1), purpose };
        let Self { gate, agents, routes, siblings } = self;
        let context = GateContext { agents, routes, settled: true, told: true, siblings };
        gate.arrived(seg, &envelope, context, now)
    }

    /// Returns whether the target is given a new flow.
    fn gives(&mut self, port: u16, now: Timestamp) -> bool {
        let opening = segment(port, SegmentKind::Open { copies: 0 });
        match self.arrives(&opening, PacketPurpose::Place { passed: Vec::new() }, now) {
            Verdict::Deliver { .. } => true,
            Verdict::Refuse { reason: RefuseReason::NoTarget, .. } => false,
            other => panic!("{other:?}"),
        }
    }

    /// Has a caller open a flow and send a request on it.
    fn open(&mut self, port: u16, now: Timestamp) {
        assert!(self.gives(port, now));
        let accept = Segment { seq: TARGET_SEQ, ..segment(port, SegmentKind::Accept) };
        self.gate.answered(&accept, now);
        self.arrives(&request(port), PacketPurpose::Deliver, now);
    }

    fn answer(&mut self, port: u16, now: Timestamp) {
        let answer = Segment { seq: TARGET_SEQ + 1, len: 300, ..segment(port, SegmentKind::Data) };
        self.gate.answered(&answer, now);
    }

    /// Has the target return a caller's packet.
    fn returns(&mut self, port: u16, now: Timestamp) {
        let Self { gate, agents, routes, siblings } = self;
        let context = GateContext { agents, routes, settled: true, told: true, siblings };
        gate.returned(&Segment { returned: true, ..request(port) }, context, now);
    }
}

/// A target crashes just after a heartbeat, with or without a request. When its address may go to
/// another service, it gets no new flow until a heartbeat has told which service that is.
#[rstest]
fn reused_address_gets_nothing(
    #[values(false, true)] busy: bool,
    #[values(None, Some(1), Some(2))] returned: Option<u16>,
) {
    let mut agent = Agent::new(INTERVAL);
    agent.open(1, START);
    if !busy {
        agent.answer(1, START + ms(40));
    }
    let reused = START + REUSE_AFTER;
    if let Some(port) = returned {
        agent.returns(port, reused);
    }
    assert!(!agent.gives(3, reused + ms(1)));
    let heard = reused + ms(530);
    agent.gate.new_target(LABELS, Predecessor::Unsure, heard);
    agent.gate.heartbeat(heard);
    let opening = segment(4, SegmentKind::Open { copies: 0 });
    let place = PacketPurpose::Place { passed: Vec::new() };
    assert_eq!(agent.arrives(&opening, place, heard), Verdict::Drop, "no agent of the service");
}

/// A target that returns a packet of a flow which its present run has taken has started again, however
/// recent the last heartbeat is. The next heartbeat confirms it.
#[test]
fn lost_flow_proves_another_run() {
    let mut agent = Agent::new(Duration::from_secs(3));
    agent.open(1, START);
    agent.answer(1, START + ms(40));
    agent.returns(1, START + ms(2100));
    assert!(!agent.gives(2, START + ms(2101)));
    agent.gate.heartbeat(START + ms(2600));
    assert!(agent.gives(3, START + ms(2600)));
}

/// Packets that another run returns do not end the silence of a crashed target.
#[test]
fn returned_packets_end_no_silence() {
    let mut agent = Agent::new(Duration::from_secs(3));
    agent.open(1, START);
    let now = START + ms(2100);
    assert!(agent.gate.target_silent(now));
    agent.returns(9, now);
    assert!(!agent.gives(2, now));
    agent.gate.heartbeat(now);
    assert!(agent.gives(3, now));
}

/// The agent is paused after its target has crashed. Neither the end of the pause nor a heartbeat that
/// was queued meanwhile shows that the target still lives.
#[test]
fn pause_confirms_nothing() {
    let mut agent = Agent::new(INTERVAL);
    agent.open(1, START);
    let (paused, resumed) = (START + ms(400), START + ms(2500));
    agent.gate.heartbeat(paused);
    agent.open(2, paused);
    agent.gate.resume_after_pause(paused);
    agent.gate.heartbeat(paused);
    assert!(!agent.gives(3, resumed));
}

/// A pause ends the silence of a target that was not silent before: its answers are still to be read.
#[test]
fn answers_of_a_pause_awaited() {
    let mut agent = Agent::new(INTERVAL);
    agent.open(1, START);
    let (paused, resumed) = (START + ms(100), START + ms(900));
    assert!(agent.gate.target_silent(resumed));
    agent.gate.resume_after_pause(paused);
    assert!(agent.gives(2, resumed));
}

/// A live target gets new flows all the time, though heartbeats are late by up to half an interval, and
/// though it returns packets of flows that it has never held or that an earlier run took.
#[test]
fn live_target_keeps_its_flows() {
    let mut agent = Agent::new(INTERVAL);
    agent.open(1, START);
    let mut heard = START + ms(300);
    agent.gate.new_target(ORDERS, Predecessor::Unsure, heard);
    for n in 0..20_u16 {
        agent.gate.heartbeat(heard);
        let next = heard + if n % 2 == 0 { ms(1750) } else { ms(1000) };
        let port = 10 + 2 * n;
        agent.open(port, heard);
        agent.answer(port, heard + ms(40));
        agent.returns(if n == 0 { 1 } else { port + 1 }, heard + ms(900));
        assert!(agent.gives(port + 1, next), "before heartbeat {n}");
        agent.gate.heartbeat(next);
        agent.answer(port + 1, next);
        heard = next;
    }
}

/// A heartbeat sent before a flow was found to be lost does not confirm the run again, one sent
/// later does.
#[test]
fn earlier_heartbeat_confirms_nothing() {
    let mut run = RunConfirmation::new(INTERVAL, START).address_kept_for(REUSE_AFTER);
    assert!(run.is_valid(START + ms(1799)));
    assert!(!run.is_valid(START + ms(1800)));
    run.confirm(START + ms(1000));
    run.lost_flow(START, START + ms(1500));
    run.confirm(START + ms(1400));
    assert!(!run.is_valid(START + ms(1600)));
    run.confirm(START + ms(1600));
    assert!(run.is_valid(START + ms(1600)));
}
