//! What an agent keeps of a target that has started again.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, TargetStanding, Verdict};
use dillmill_core::target_flows::EndedFlow;
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, Envelope, FlowGate, FlowTuple, PacketPurpose, ProcessId, Revision, RouteEntry,
    RouteTable, Segment, SegmentKind, ServiceTag, Timestamp, Weight,
};
use rstest::{fixture, rstest};

const ROUTE: &str = "198.18.0.1:443";
const START: Timestamp = Timestamp::from_millis(1_000_000);
const EVERY: Duration = Duration::from_millis(1200);
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

struct World {
    gate: FlowGate,
    agents: AgentTable,
    routes: RouteTable,
}

impl World {
    fn arrives(&mut self, seg: &Segment, purpose: PacketPurpose, now: Timestamp) -> Verdict {
        let known =
            GateContext { agents: &self.agents, routes: &self.routes, settled: true, told: true };
        let envelope =
            Envelope { service: orders(), revision: Revision(1), origin: addr(9, 1), purpose };
        self.gate.arrived(seg, &envelope, known, now)
    }

    /// Has a caller open a flow and ask on it.
    fn open(&mut self, port: u16, now: Timestamp) {
        let opening = segment(port, SegmentKind::Open { copies: 0 });
        self.arrives(&opening, PacketPurpose::Place { passed: Vec::new() }, now);
        let accept = Segment { seq: TARGET_SEQ, ..segment(port, SegmentKind::Accept) };
        self.gate.answered(&accept, now);
        let verdict = self.arrives(&request(port), PacketPurpose::Deliver, now);
        assert_eq!(verdict, Verdict::Deliver { mark: 0, tell: None });
    }
}

/// An agent whose target has just spoken for the first time.
#[fixture]
fn world() -> World {
    let entry = RouteEntry { shares: vec![(orders(), Weight(1))], ..RouteEntry::default() };
    let routes = RouteTable::new(Revision(1), [(ROUTE.parse().unwrap(), entry)]);
    let mut gate =
        FlowGate::new(ProcessId(1), addr(1, 7001), orders(), START).heartbeat_every(EVERY);
    gate.new_target(orders(), Predecessor::None, START);
    gate.set_standing(TargetStanding::Ready, 2);
    World { gate, agents: AgentTable::default(), routes }
}

/// Flows of the run before end at once; the new run may have taken the last ones before it spoke.
#[rstest]
fn flows_end_with_their_run(mut world: World) {
    world.open(1, START);
    let lived = START + EVERY * 2;
    world.open(2, lived + ms(100));
    let change = world.gate.new_target(orders(), Predecessor::Ended { lived }, lived + EVERY);
    let ended = EndedFlow { flow: flow(1), caller_expects: TARGET_SEQ + 1 };
    assert_eq!((change.ended, change.in_doubt), (vec![ended], vec![flow(2)]));
    assert_eq!(world.gate.load(lived + EVERY).flows, 1, "what has ended is no load");
}

/// Where it is not certain that the run before has ended, its flows are asked about and nothing else.
#[rstest]
fn nothing_ends_unsure(mut world: World) {
    world.open(1, START);
    let change = world.gate.new_target(orders(), Predecessor::Unsure, START + EVERY * 5);
    assert_eq!((change.ended, change.in_doubt), (Vec::new(), vec![flow(1)]));
}

/// An answer that the run before had on the way reaches its caller, and opens no flow here.
#[rstest]
fn late_answer_opens_nothing(mut world: World) {
    world.open(1, START);
    let lived = START + EVERY * 2;
    world.gate.new_target(orders(), Predecessor::Ended { lived }, lived + EVERY);
    let answer = Segment { seq: TARGET_SEQ + 1, len: 300, ..segment(1, SegmentKind::Data) };
    let noted = world.gate.answered(&answer, lived + EVERY);
    assert_eq!((noted.record, noted.stray_reset), (None, false));
    assert_eq!(world.gate.load(lived + EVERY).flows, 0);
}

/// The new run is neither slow nor failing nor cold because the run before was.
#[rstest]
fn learned_of_the_run_before(mut world: World) {
    let slow = ms(900);
    let mut now = START;
    for port in 1..=20 {
        world.open(port, now);
        now = now + slow;
        let answer = Segment { seq: TARGET_SEQ + 1, len: 300, ..segment(port, SegmentKind::Data) };
        world.gate.answered(&answer, now);
    }
    world.gate.set_cold_rate(Some(1));
    world.gate.set_cold(ms(9000), now);
    world.open(30, now);
    let slow_pace = world.gate.pace(now);
    let lived = now + EVERY;
    world.gate.new_target(orders(), Predecessor::Ended { lived }, lived + EVERY);
    let pace = world.gate.pace(lived + EVERY);
    assert!(pace.work * 4 < slow_pace.work, "{pace:?} after {slow_pace:?}");
    assert_eq!(pace.cold, None, "until it says so itself");
    assert!(!world.gate.target_silent(lived + EVERY * 9), "owes no answer of the run before");
}

/// A caller that takes the port of an ended flow again is given to the new run.
#[rstest]
fn port_taken_again(mut world: World) {
    world.open(1, START);
    let lived = START + EVERY * 2;
    let now = lived + EVERY;
    world.gate.new_target(orders(), Predecessor::Ended { lived }, now);
    world.open(1, now);
    assert_eq!(world.gate.load(now).flows, 1);
}
