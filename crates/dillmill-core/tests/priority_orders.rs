//! Tests the order of waiting requests by priority, and which packets wait at an agent. Guards against
//! requests that overtake those of higher priority, and against priority that makes others late in vain.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, TargetStanding, Verdict};
use dillmill_core::open_queue::{OpenQueue, TakeReason, WaitTerms, WaitingOpen, wait_limit};
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, Envelope, FlowGate, FlowTuple, OverloadPolicy, PacketPurpose, Percent, Priority,
    ProcessId, Revision, RouteEntry, RouteTable, Segment, SegmentKind, ServiceTag, SiblingLoads,
    Timestamp, Weight,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SERVICE: ServiceTag = ServiceTag(1);
const SLOTS: u16 = 3;
const AHEAD: Duration = ms(50);
const DATA: SegmentKind = SegmentKind::Data;
const OPEN: SegmentKind = SegmentKind::Open { copies: 0 };

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the flow of a caller's port on the route of this priority.
fn flow(port: u16, priority: u8) -> FlowTuple {
    let caller = SocketAddrV4::new([100, 64, 0, 7].into(), port);
    FlowTuple::new(caller, SocketAddrV4::new([198, 18, 0, priority].into(), 443))
}

fn env(kind: SegmentKind) -> Envelope {
    let place = PacketPurpose::Place { passed: Vec::new() };
    let purpose = if kind == OPEN { place } else { PacketPurpose::Deliver };
    let origin = "10.0.0.9:7000".parse().unwrap();
    Envelope { service: SERVICE, revision: Revision(1), origin, purpose }
}

/// Returns a request on an open flow that arrives at `at` and whose caller waits for 3 s.
fn request(port: u16, priority: u8, at: u64, low_priority_share: u8) -> WaitingOpen {
    let low_priority_share = Percent(low_priority_share);
    let policy = OverloadPolicy { low_priority_share, ..OverloadPolicy::default() };
    let terms = WaitTerms::new(0, ms(200), START + ms(at)).of_open_flow(1).timeout(ms(3000));
    let terms = terms.attempt_timeout(ms(3000)).priority(Priority(priority)).policy(policy);
    WaitingOpen { flow: flow(port, priority), packet: Vec::new(), envelope: env(DATA), terms }
}

#[test]
fn class_before_priority() {
    let mut queue = OpenQueue::new(START);
    // The first has too little time left, the second has its last chance.
    let waiting = [(1, 1, 0), (2, 2, 200), (3, 1, 900), (4, 2, 800), (5, 1, 1000)];
    let in_time = [(6, 2, 2900), (7, 2, 2940), (8, 1, 2910), (9, 1, 2930)];
    for (port, priority, at) in waiting.into_iter().chain(in_time) {
        assert_eq!(queue.push(request(port, priority, at, 0)), None);
    }
    let now = START + ms(2960);
    // The caller of the first is about to give up, so the packet no longer counts.
    assert_eq!(queue.waiting_by_class(START + ms(2940)), [0, 4, 4, 0]);
    assert_eq!(queue.take(AHEAD, false, now), None, "the target has no room");
    let taken = std::iter::from_fn(|| queue.take(AHEAD, true, now));
    let order: Vec<u16> = taken.map(|open| open.flow.caller().port()).collect();
    // The last chance has turns saved up.
    assert_eq!(order, [2, 8, 9, 6, 7, 3, 5, 4, 1]);
}

/// Requests that could still be in time were served as late ones: of an objective of 300 ms, only
/// 165 ms counted, most of which a slow target needs for the request itself.
#[test]
fn in_time_by_objective() {
    let terms = WaitTerms::new(0, wait_limit(ms(300)), START).of_open_flow(1).timeout(ms(3000));
    let terms = terms.priority(Priority(2)).policy(OverloadPolicy::default());
    for (objective, waited, reason) in [
        (None, 130, TakeReason::Late),
        (Some(ms(300)), 130, TakeReason::InTime),
        (Some(ms(300)), 180, TakeReason::InTime),
        (Some(ms(300)), 181, TakeReason::Late),
    ] {
        let terms = objective.map_or(terms, |objective| terms.objective(objective));
        let mut queue = OpenQueue::new(START);
        queue.push(WaitingOpen { terms, ..request(1, 2, 0, 0) });
        assert!(queue.take(ms(90), true, START + ms(waited)).is_some());
        assert_eq!(queue.last_taken(), Some(reason), "{objective:?} {waited}");
    }
}

/// Last chances without a limit would take the whole target under a lasting overload, ahead of higher
/// priorities that can be in time; without saved turns, those of a short overload end unserved.
#[test]
fn last_chances_bounded() {
    let mut queue = OpenQueue::new(START);
    for port in 0..400 {
        let (priority, at) = if port < 200 { (2, 0) } else { (1, 2700) };
        assert_eq!(queue.push(request(port, priority, at, 0)), None);
    }
    let taken = (0..200).filter_map(|_| queue.take(AHEAD, true, START + ms(2800)));
    let last_chances: Vec<bool> = taken.map(|open| open.terms.priority == Priority(2)).collect();
    let count = |part: &[bool]| part.iter().filter(|last_chance| **last_chance).count();
    assert_eq!(count(&last_chances[..100]), 50, "every second turn");
    // Each but the first of 200 turns earns 0.15 in addition to the 50 that were saved up.
    assert_eq!(count(&last_chances), 50 + 29);
    assert!(last_chances.windows(2).all(|pair| pair != [true, true]));
}

/// A lasting load of urgent requests must not stop the others, and the others get no more than their
/// share.
#[rstest]
#[case::none(0)]
#[case::default(20)]
#[case::most(50)]
fn lower_priority_keeps_share(#[case] share: u8) {
    let mut queue = OpenQueue::new(START);
    for port in 0..400 {
        queue.push(request(port, if port < 200 { 1 } else { 2 }, u64::from(port % 200), share));
    }
    let taken = (0..100).filter_map(|_| queue.take(AHEAD, true, START + ms(200)));
    let low = taken.filter(|open| open.terms.priority == Priority(2)).count();
    assert_eq!(low, usize::from(share));
    let reason = TakeReason::ALL.iter().position(|r| *r == TakeReason::LowPriorityTurn).unwrap();
    assert_eq!(queue.taken()[reason], u64::from(share));
}

/// An agent whose target has routes of the priorities 1 and 2.
struct Agent {
    gate: FlowGate,
    routes: RouteTable,
    delivered: Vec<(u16, u32)>,
}

impl Agent {
    /// Creates the agent with flows of priority 2 open at `ports`; each has had an answer.
    fn new(priority_order: bool, ports: u16) -> Self {
        let entry = |priority| RouteEntry {
            shares: vec![(SERVICE, Weight(1))],
            latency_aim: Some(ms(300)),
            timeout: Some(ms(3000)),
            priority: Priority(priority),
            overload: OverloadPolicy { priority_order, ..OverloadPolicy::default() },
            ..RouteEntry::default()
        };
        let entries = [1, 2].map(|priority| (flow(0, priority).route(), entry(priority)));
        let routes = RouteTable::new(Revision(1), entries);
        let mut gate =
            FlowGate::new(ProcessId(1), "10.0.0.1:7001".parse().unwrap(), SERVICE, START);
        gate.new_target(SERVICE, Predecessor::Unsure, START);
        gate.set_standing(TargetStanding::Ready, SLOTS);
        let mut agent = Self { gate, routes, delivered: Vec::new() };
        for port in 0..ports {
            agent.arrive(port, OPEN, 1, 0);
            agent.gate.answered(&segment(port, SegmentKind::Accept, 5000, 0), START);
            agent.arrive(port, DATA, 2, 5001);
            agent.answer(port, 5001);
        }
        agent.delivered.clear();
        agent
    }

    fn decide(&mut self, seg: &Segment, waiting: bool) -> Verdict {
        let agents = AgentTable::default();
        let context = GateContext {
            agents: &agents,
            routes: &self.routes,
            settled: true,
            told: true,
            siblings: &SiblingLoads::new(),
        };
        if waiting {
            self.gate.decide_waiting(seg, &env(seg.kind), context, START)
        } else {
            self.gate.arrived(seg, &env(seg.kind), context, START)
        }
    }

    fn arrive(&mut self, port: u16, kind: SegmentKind, seq: u32, ack: u32) -> Verdict {
        let seg = segment(port, kind, seq, ack);
        let verdict = self.decide(&seg, false);
        match &verdict {
            Verdict::Deliver { .. } => self.delivered.push((port, seq)),
            Verdict::Wait { terms, envelope, .. } => {
                let packet = seq.to_le_bytes().to_vec();
                let (flow, terms, envelope) = (seg.flow, *terms, envelope.clone());
                assert_eq!(self.gate.wait(WaitingOpen { flow, packet, envelope, terms }), None);
            }
            verdict => panic!("{verdict:?}"),
        }
        verdict
    }

    /// Sends packet `n` of a further request on the flow of `port`.
    fn further(&mut self, port: u16, n: u32) -> Verdict {
        self.arrive(port, DATA, 102 + 100 * n, 5101)
    }

    fn answer(&mut self, port: u16, seq: u32) {
        self.gate.answered(&segment(port, DATA, seq, 0), START);
    }

    fn serve(&mut self) {
        while let Some(open) = self.gate.next_waiting(START) {
            let port = open.flow.caller().port();
            let seq = u32::from_le_bytes(open.packet.try_into().unwrap());
            let verdict = self.decide(&segment(port, DATA, seq, 5101), true);
            assert!(matches!(verdict, Verdict::Deliver { .. }), "{verdict:?}");
            self.delivered.push((port, seq));
        }
    }
}

fn segment(port: u16, kind: SegmentKind, seq: u32, ack: u32) -> Segment {
    let len = if kind == DATA { 100 } else { 0 };
    Segment { flow: flow(port, 2), kind, seq, ack, len, returned: false, mark: 0 }
}

/// Priorities must change nothing while the target has a free slot.
#[test]
fn free_slot_as_before() {
    for kind in [OPEN, DATA] {
        let verdicts = [true, false].map(|priority_order| {
            let mut agent = Agent::new(priority_order, SLOTS);
            let next = |n| {
                if kind == OPEN { agent.arrive(90 + n, OPEN, 1, 0) } else { agent.further(n, 0) }
            };
            (0..SLOTS).map(next).collect::<Vec<_>>()
        });
        assert_eq!(verdicts[0], verdicts[1]);
        assert!(verdicts[0].iter().all(|v| matches!(v, Verdict::Deliver { .. })), "{verdicts:?}");
    }
}

/// A packet that another agent had moved here was given to a full target at once, ahead of all waiting
/// ones and beyond the slots.
#[test]
fn moved_packet_waits() {
    let mut agent = Agent::new(true, 6);
    for port in 0..5 {
        agent.further(port, 0);
    }
    assert_eq!(agent.gate.waiting(), 1);
    let agents = AgentTable::default();
    let context = GateContext {
        agents: &agents,
        routes: &agent.routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let purpose = PacketPurpose::Moved { passed: vec![ProcessId(2)], waited_ms: 10 };
    let envelope = Envelope { purpose, ..env(OPEN) };
    let verdict = agent.gate.arrived(&segment(90, OPEN, 1, 0), &envelope, context, START);
    assert!(matches!(verdict, Verdict::Wait { .. }), "{verdict:?}");
}

/// A copy of a waiting request made a second entry, or overtook it once a slot was free. Packets that
/// begin no request must not wait.
#[test]
fn only_whole_requests_wait() {
    let mut agent = Agent::new(true, 6);
    for port in 0..4 {
        assert!(matches!(agent.further(port, 0), Verdict::Deliver { .. }), "slots and overcommit");
    }
    assert!(
        matches!(agent.further(0, 1), Verdict::Deliver { .. }),
        "rest of a request at the target"
    );
    assert!(matches!(agent.arrive(5, DATA, 2, 5001), Verdict::Deliver { .. }), "late copy");
    let mut agent = Agent { delivered: Vec::new(), ..agent };
    agent.answer(5, 5101);
    assert!(matches!(agent.further(4, 0), Verdict::Wait { .. }));
    let ack = Segment { len: 0, ..segment(4, DATA, 202, 5101) };
    assert!(matches!(agent.decide(&ack, false), Verdict::Deliver { .. }));
    agent.answer(0, 5101);
    assert!(matches!(agent.further(4, 0), Verdict::Wait { .. }), "a copy while a slot is free");
    assert!(matches!(agent.further(4, 1), Verdict::Wait { .. }), "behind its first packet");
    assert_eq!(agent.gate.waiting(), 1);
    agent.serve();
    assert_eq!(agent.delivered, [(4, 102), (4, 202)]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 200, ..ProptestConfig::default() })]

    /// Each packet of each request reaches the target once and in order, however copies and answers
    /// fall in between.
    #[test]
    fn nothing_lost_or_doubled(steps in prop::collection::vec((0_u16..12, 0_u8..3), 1..120)) {
        let mut agent = Agent::new(true, 12);
        let (mut sent, mut ended) = ([0_u32; 12], [false; 12]);
        for (port, step) in steps {
            let (i, first) = (usize::from(port), (port, 102));
            let begun = agent.delivered.contains(&first);
            match step {
                0 if sent[i] < 3 && !ended[i] => {
                    agent.further(port, sent[i]);
                    sent[i] += 1;
                }
                // A copy of the first packet, while it waits.
                1 if sent[i] > 0 && !begun => { agent.further(port, 0); }
                2 if begun => {
                    agent.answer(port, 5101);
                    ended[i] = true;
                }
                _ => {}
            }
            // Copies also come between an answer and the next turn.
            if step == 0 {
                agent.serve();
            }
        }
        for _ in 0..12 {
            for port in 0..12 {
                agent.answer(port, 5101);
            }
            agent.serve();
        }
        prop_assert_eq!(agent.gate.waiting(), 0);
        for port in 0..12 {
            let of = agent.delivered.iter().filter(|(p, _)| *p == port).map(|(_, seq)| *seq);
            let of: Vec<u32> = of.collect();
            let expected: Vec<u32> = (0..sent[usize::from(port)]).map(|n| 102 + 100 * n).collect();
            prop_assert_eq!(of, expected);
        }
    }
}
