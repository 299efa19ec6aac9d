//! Tests how long a flow at rest is remembered, by the limits that the settings give flows.
//!
//! Guards against resets of resting flows (docs/incidents/resting-flows-reset.md): the idle timeout of the
//! configuration was not used, and an agent that had forgotten a flow stated that it knew all.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, TargetStanding, Verdict};
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, Envelope, FlowCoverage, FlowDirectory, FlowGate, FlowLifetimes, FlowRecord,
    FlowTuple, PacketPurpose, ProcessId, Revision, RouteTable, Segment, SegmentKind, ServiceTag,
    SiblingLoads, Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const TARGET_SEQ: u32 = 5000;
const ORDERS: ServiceTag = ServiceTag(1);
/// Port of the flow that rests.
const RESTING: u16 = 1;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn addr(n: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), port)
}

fn flow(port: u16) -> FlowTuple {
    FlowTuple::new(addr(7, port), addr(8, 443))
}

fn segment(port: u16, kind: SegmentKind) -> Segment {
    Segment { flow: flow(port), kind, seq: 1, ack: 0, len: 0, returned: false, mark: 0 }
}

fn arrives(gate: &mut FlowGate, seg: &Segment, purpose: PacketPurpose, now: Timestamp) -> Verdict {
    let (agents, routes) = (AgentTable::default(), RouteTable::default());
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let origin = addr(9, 1);
    let envelope = Envelope { service: ORDERS, revision: Revision(1), origin, purpose };
    gate.arrived(seg, &envelope, context, now)
}

fn request(gate: &mut FlowGate, port: u16, now: Timestamp) -> Verdict {
    let request = Segment { ack: TARGET_SEQ + 1, len: 100, ..segment(port, SegmentKind::Data) };
    arrives(gate, &request, PacketPurpose::Deliver, now)
}

fn open(gate: &mut FlowGate, port: u16, now: Timestamp) {
    let opening = segment(port, SegmentKind::Open { copies: 0 });
    arrives(gate, &opening, PacketPurpose::Place { passed: Vec::new() }, now);
    let accept = Segment { seq: TARGET_SEQ, ..segment(port, SegmentKind::Accept) };
    gate.answered(&accept, now);
    request(gate, port, now);
    let answer = Segment { seq: TARGET_SEQ + 1, len: 300, ..segment(port, SegmentKind::Data) };
    gate.answered(&answer, now);
}

/// Returns the gate of an agent that has just started beside its target.
fn gate() -> FlowGate {
    let mut gate = FlowGate::new(ProcessId(1), addr(1, 7001), ORDERS, START);
    gate.new_target(ORDERS, Predecessor::None, START);
    gate.set_standing(TargetStanding::Ready, 20);
    gate
}

/// Has other callers open a flow each second for `span`, which makes the agent forget what is too old.
fn run(gate: &mut FlowGate, since: Timestamp, span: Duration) -> Timestamp {
    for n in 1..=span.as_secs() {
        let now = since + secs(n);
        gate.heartbeat(now);
        open(gate, u16::try_from(1000 + now.since(START).as_secs()).unwrap(), now);
    }
    since + span
}

/// A flow that has rested for less than the idle timeout is still the target's, whatever the timeout.
#[rstest]
#[case::usual(Some(15), 60, 14)]
#[case::long(Some(50), 60, 46)]
#[case::longer_than_flows_live(Some(600), 60, 59)]
#[case::old_flows(Some(100), 300, 99)]
#[case::not_known_yet(None, 60, 59)]
fn resting_flow_held(#[case] idle: Option<u64>, #[case] max_age: u64, #[case] rest: u64) {
    let mut gate = gate().max_flow_age(secs(max_age));
    if let Some(idle) = idle {
        gate.set_idle_timeout(secs(idle));
    }
    // The moment within a generation of the table does not matter.
    for before in [0, 3, 17, 33] {
        let opened = run(&mut gate, START + secs(1000 * before), secs(before));
        open(&mut gate, RESTING, opened);
        let now = run(&mut gate, opened, secs(rest));
        let verdict = request(&mut gate, RESTING, now);
        assert_eq!(verdict, Verdict::Deliver { mark: 0, tell: None }, "after {before} s");
    }
}

/// A timeout that is raised while a flow rests holds for this flow, too.
#[test]
fn raised_timeout_holds_at_once() {
    let mut gate = gate();
    gate.set_idle_timeout(secs(15));
    open(&mut gate, RESTING, START);
    let changed = run(&mut gate, START, secs(14));
    gate.set_idle_timeout(secs(50));
    let now = run(&mut gate, changed, secs(35));
    assert_eq!(request(&mut gate, RESTING, now), Verdict::Deliver { mark: 0, tell: None });
}

/// Flows that may be forgotten don't fill the table for ever.
#[test]
fn forgotten_after_twice_the_timeout() {
    let mut gate = gate();
    gate.set_idle_timeout(secs(25));
    open(&mut gate, RESTING, START);
    let now = run(&mut gate, START, secs(54));
    assert_ne!(request(&mut gate, RESTING, now), Verdict::Deliver { mark: 0, tell: None });
}

/// A directory keeps records, and an agent that has started late says that it does not know all flows of
/// its target, for as long as flows may live.
#[test]
fn old_flows_are_found() {
    let max_age = secs(300);
    let lifetimes = FlowLifetimes::default().max_age(max_age);
    let mut directory = FlowDirectory::new(lifetimes.record());
    let (owner, data) = (ProcessId(2), addr(2, 7001));
    let record = FlowRecord { flow: flow(1), target_seq: Some(1), open: true, owner, data };
    directory.register(record, START);
    for n in 1..300 {
        let other = FlowRecord { flow: flow(1000 + n), ..record };
        directory.register(other, START + secs(n.into()));
    }
    assert_eq!(directory.owner(&flow(1), 2, START + secs(299)), Some(record));
    let gate = FlowGate::new(ProcessId(1), addr(1, 7001), ORDERS, START).max_flow_age(max_age);
    let mut gate = gate;
    gate.set_standing(TargetStanding::Ready, 1);
    assert_eq!(gate.coverage(START + secs(299)), FlowCoverage::Partial);
    assert_eq!(gate.coverage(START + max_age), FlowCoverage::Complete);
}
