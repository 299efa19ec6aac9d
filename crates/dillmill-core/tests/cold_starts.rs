//! Tests how many requests a target gets that has only just started, and how many callers are answered.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, PassReason, TargetStanding, Verdict};
use dillmill_core::open_queue::WaitingOpen;
use dillmill_core::placement::LoadReport;
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, ColdLoad, ColdStart, Envelope, FlowGate, FlowPlacement, FlowTuple, Member,
    PacketPurpose, ProcessId, Revision, Role, RouteEntry, RouteTable, Segment, SegmentKind,
    ServiceTag, SiblingLoads, TargetPace, Timestamp, Weight,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const ROUTE: &str = "198.18.0.1:443";
const TARGET_SEQ: u32 = 5000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 300, ..ProptestConfig::default() })]

    /// In any period of one second, the target gets no more requests than its limit.
    #[test]
    fn no_second_exceeds_limit(rate in 1_u32..30, gaps in prop::collection::vec(0_u64..90, 1..300)) {
        let mut cold = ColdStart::default();
        cold.set_rate(Some(rate));
        cold.set_remaining(Duration::from_mins(1), START);
        let mut now = START;
        let mut received = VecDeque::new();
        for gap in gaps {
            now = now + ms(gap);
            if cold.room(now) {
                cold.note(now);
                received.push_back(now);
            }
            while received.front().is_some_and(|at| now.since(*at) >= ms(1000)) {
                received.pop_front();
            }
            prop_assert!(received.len() <= rate as usize);
        }
    }
}

#[test]
fn limited_only_while_cold() {
    let mut cold = ColdStart::default();
    let room = |cold: &mut ColdStart, now| {
        (0..100).all(|_| {
            let room = cold.room(now);
            cold.note(now);
            room
        })
    };
    cold.set_remaining(ms(2000), START);
    assert!(room(&mut cold, START), "no limit is known for the service");
    cold.set_rate(Some(10));
    assert!(!room(&mut cold, START));
    assert!(room(&mut cold, START + ms(2000)), "warm by now");
    cold.set_remaining(ms(500), START + ms(3000));
    assert!(!room(&mut cold, START + ms(3000)), "cold again");
    cold.set_remaining(Duration::ZERO, START + ms(3100));
    assert!(room(&mut cold, START + ms(3100)), "warm, as the target reports");
}

fn addr(n: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), port)
}

fn member(n: u8, zone: &str) -> Member {
    Member {
        weight: Weight(4),
        ..Member::new(
            ProcessId(u64::from(n)),
            format!("vm-{n}").parse().unwrap(),
            zone.parse().unwrap(),
            Role::Agent("orders".parse().unwrap()),
            addr(n, 7001),
            addr(n, 7000),
        )
    }
}

fn table(members: &[Member]) -> AgentTable {
    AgentTable::new(members, &"near".parse().unwrap())
}

fn orders() -> ServiceTag {
    ServiceTag::from(&"orders".parse().unwrap())
}

fn flow(port: u16) -> FlowTuple {
    FlowTuple::new(addr(200, port), ROUTE.parse().unwrap())
}

fn segment(port: u16, kind: SegmentKind, len: u16) -> Segment {
    let (seq, ack) = match kind {
        SegmentKind::Open { .. } => (1, 0),
        SegmentKind::Accept => (TARGET_SEQ, 2),
        _ => (2, TARGET_SEQ + 1),
    };
    Segment { flow: flow(port), kind, seq, ack, len, returned: false, mark: 0 }
}

fn envelope(purpose: PacketPurpose) -> Envelope {
    Envelope { service: orders(), revision: Revision(1), origin: addr(9, 7000), purpose }
}

fn place() -> Envelope {
    envelope(PacketPurpose::Place { passed: Vec::new() })
}

fn routes() -> RouteTable {
    let entry = RouteEntry {
        shares: vec![(orders(), Weight(1))],
        latency_aim: Some(ms(300)),
        timeout: Some(ms(2500)),
        repeatable: true,
        ..RouteEntry::default()
    };
    RouteTable::new(Revision(1), [(ROUTE.parse().unwrap(), entry)]).cold_rates([(orders(), 10)])
}

/// Returns the gate of agent 1, whose target has just started.
fn cold_gate(rate: Option<u32>) -> FlowGate {
    let mut gate = FlowGate::new(ProcessId(1), addr(1, 7001), orders(), START);
    gate.new_target(orders(), Predecessor::Unsure, START);
    gate.set_standing(TargetStanding::Ready, 4);
    gate.set_cold_rate(rate);
    gate.set_cold(ms(2000), START);
    gate
}

#[test]
fn passed_on_to_any_data_centre() {
    let agents = table(&[member(1, "near"), member(2, "far")]);
    let routes = routes();
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let mut gate = cold_gate(routes.cold_rate(orders()));
    for port in 0..10 {
        let verdict = gate.arrived(
            &segment(port, SegmentKind::Open { copies: 0 }, 0),
            &place(),
            context,
            START,
        );
        assert!(matches!(verdict, Verdict::Deliver { .. }), "{verdict:?}");
    }
    let open = segment(10, SegmentKind::Open { copies: 0 }, 0);
    let verdict = gate.arrived(&open, &place(), context, START);
    assert!(matches!(verdict, Verdict::Pass { reason: PassReason::Cold, .. }), "{verdict:?}");
    // Two other targets were cold too, so the packet waits here.
    let passed = envelope(PacketPurpose::Place { passed: vec![ProcessId(3), ProcessId(4)] });
    let verdict = gate.arrived(&open, &passed, context, START);
    assert!(matches!(verdict, Verdict::Wait { .. }), "{verdict:?}");
}

/// When a target with open feeds becomes cold, it gets their requests at the rate of its limit, and
/// none of them twice.
#[test]
fn requests_of_open_flows_wait() {
    let agents = table(&[member(1, "near")]);
    let routes = routes();
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let mut gate = cold_gate(None);
    for port in 0..40 {
        gate.arrived(&segment(port, SegmentKind::Open { copies: 0 }, 0), &place(), context, START);
        gate.answered(&segment(port, SegmentKind::Accept, 0), START);
        gate.arrived(
            &segment(port, SegmentKind::Data, 100),
            &envelope(PacketPurpose::Deliver),
            context,
            START,
        );
        let answer = segment(port, SegmentKind::Data, 500);
        gate.answered(&Segment { seq: TARGET_SEQ + 1, ..answer }, START + ms(40));
    }
    let now = START + ms(1000);
    gate.set_cold_rate(Some(10));
    gate.set_cold(ms(2000), now);
    let mut delivered = Vec::new();
    for port in 0..40 {
        let request = segment(port, SegmentKind::Data, 100);
        for _copy in 0..2 {
            match gate.arrived(&request, &envelope(PacketPurpose::Deliver), context, now) {
                Verdict::Deliver { .. } => delivered.push(port),
                Verdict::Wait { terms, envelope, .. } => {
                    let (flow, packet) = (flow(port), Vec::new());
                    assert!(gate.wait(WaitingOpen { flow, packet, envelope, terms }).is_none());
                }
                verdict => panic!("{verdict:?}"),
            }
        }
    }
    delivered.dedup();
    assert_eq!(delivered, (0..10).collect::<Vec<_>>(), "no more than the limit");
    for port in 0..10 {
        gate.answered(&segment(port, SegmentKind::Data, 500), now + ms(300));
    }
    assert_eq!(gate.next_waiting(now + ms(999)), None, "slots are free, but the target is cold");
    let later = now + ms(1000);
    let mut next = Vec::new();
    while let Some(waiting) = gate.next_waiting(later) {
        let port = waiting.flow.caller().port();
        let request = segment(port, SegmentKind::Data, 100);
        let verdict = gate.decide_waiting(&request, &waiting.envelope, context, later);
        assert!(matches!(verdict, Verdict::Deliver { .. }), "{verdict:?}");
        gate.answered(&segment(port, SegmentKind::Data, 500), later);
        next.push(port);
    }
    next.sort_unstable();
    next.dedup();
    assert_eq!(next.len(), 10, "a second later it can take as many again: {next:?}");
    assert!(next.iter().all(|port| *port >= 10), "{next:?}");
}

/// A cold target gets few flows while others have capacity. If all targets are cold, all get a share.
#[test]
fn placed_by_expected_time() {
    let agents = table(&[member(1, "near"), member(2, "near"), member(3, "far")]);
    let mut placement = FlowPlacement::default();
    placement.retain(&agents);
    let report = |n: u64, in_use: u16, cold: Option<ColdLoad>| LoadReport {
        in_use,
        pace: TargetPace { work: ms(45), cold },
        ..LoadReport::idle(ProcessId(n), 4)
    };
    let mut share = |cold: [Option<ColdLoad>; 3]| {
        let mut counts = [0; 3];
        for port in 0..60 {
            for n in 1..=3 {
                placement.report(report(n, 2, cold[usize::try_from(n - 1).unwrap()]));
            }
            let agent = placement.place(&flow(port), orders(), &agents, &[], START).unwrap();
            counts[usize::try_from(agent.process.0 - 1).unwrap()] += 1;
        }
        counts
    };
    let busy = Some(ColdLoad { limit: 10, received: 8 });
    assert_eq!(
        share([busy, busy, None]),
        [0, 0, 60],
        "the target in the other data centre answers sooner"
    );
    let counts = share([busy, busy, busy]);
    assert!(counts[0] > 20 && counts[1] > 20, "{counts:?}");
}

#[test]
fn slow_target_avoided() {
    let agents = table(&[member(1, "near"), member(2, "near"), member(3, "near")]);
    let mut placement = FlowPlacement::default();
    placement.retain(&agents);
    let report = |n: u64, in_use: u16, work: u64| LoadReport {
        in_use,
        pace: TargetPace { work: ms(work), cold: None },
        ..LoadReport::idle(ProcessId(n), 4)
    };
    let mut first = |slow_work: u64, in_use: u16| {
        let mut counts = [0; 3];
        for port in 0..60 {
            placement.report(report(1, 0, slow_work));
            placement.report(report(2, in_use, 40));
            placement.report(report(3, in_use, 60));
            let agent = placement.place(&flow(port), orders(), &agents, &[], START).unwrap();
            counts[usize::try_from(agent.process.0 - 1).unwrap()] += 1;
        }
        counts[0]
    };
    assert_eq!(first(250, 4), 0, "idle but five times slower, while the others are full");
    assert_eq!(first(250, 18), 60, "the others are four rounds of work behind");
    assert_eq!(first(60, 1), 60, "no slower than targets may be by chance");
}

/// A target that can take `rate` requests per second while cold. At one and a half times the rate plus
/// five it crashes and loses all its requests.
struct Target {
    rate: usize,
    cold_until: Timestamp,
    back_at: Timestamp,
    received: VecDeque<Timestamp>,
    running: BTreeMap<u16, Timestamp>,
    queue: VecDeque<u16>,
    crashes: u32,
}

impl Target {
    fn new(rate: usize) -> Self {
        let (received, running, queue) = Default::default();
        Self {
            rate,
            cold_until: START + ms(2000),
            back_at: START,
            received,
            running,
            queue,
            crashes: 0,
        }
    }

    fn take(&mut self, port: u16, now: Timestamp) {
        if now < self.back_at {
            return;
        }
        self.received.push_back(now);
        while self.received.front().is_some_and(|at| now.since(*at) >= ms(1000)) {
            self.received.pop_front();
        }
        if now < self.cold_until && self.received.len() > self.rate + self.rate / 2 + 5 {
            self.crashes += 1;
            self.back_at = now + ms(1500);
            self.cold_until = self.back_at + ms(2000);
            self.running.clear();
            self.queue.clear();
            return;
        }
        self.queue.push_back(port);
    }

    /// Returns the requests that are answered by `now`.
    fn work(&mut self, now: Timestamp) -> Vec<u16> {
        let done: Vec<u16> =
            self.running.iter().filter(|(_, at)| **at <= now).map(|(port, _)| *port).collect();
        for port in &done {
            self.running.remove(port);
        }
        while self.running.len() < 4
            && let Some(port) = self.queue.pop_front()
        {
            let work = if now < self.cold_until { 72 } else { 45 };
            self.running.insert(port, now + ms(work));
        }
        done
    }
}

/// Steps of 5 ms between two heartbeats of the simulated target.
const HEARTBEAT_STEPS: u64 = 240;

/// Sends a heartbeat of the target, the first of a run if it has `started` again.
fn send_heartbeat(gate: &mut FlowGate, target: &Target, started: bool, now: Timestamp) {
    if started {
        gate.new_target(orders(), Predecessor::Unsure, START);
        gate.set_cold(target.cold_until.since(now), now);
    }
    gate.heartbeat(now);
}

/// Simulates the load after a power failure, in one process and in steps of 5 ms. A target that can take
/// 10 requests per second for 2 s gets 42 per second, from callers with an attempt timeout of 850 ms and
/// three attempts. Returns how many of the requests of the first 6 s are answered within 2.5 s, the
/// number of these requests, and how often the target crashes.
fn simulate(rate: Option<u32>) -> (usize, usize, u32) {
    let agents = table(&[member(1, "near")]);
    let routes = routes();
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let mut gate = cold_gate(rate);
    let mut target = Target::new(10);
    // For each request, when it was made and whether it was answered in time; `attempts` holds the
    // flows of current attempts.
    let mut asked: Vec<(Timestamp, bool)> = Vec::new();
    let mut attempts: BTreeMap<u16, (usize, Timestamp)> = BTreeMap::new();
    let mut made: BTreeMap<usize, u32> = BTreeMap::new();
    let mut next_port = 0;
    let mut reported_cold_until = target.cold_until;
    let mut refused: Vec<(usize, Timestamp)> = Vec::new();
    for step in 0..1800_u64 {
        let now = START + ms(step * 5);
        let started = target.cold_until != reported_cold_until;
        if now >= target.back_at && (started || step % HEARTBEAT_STEPS == 0) {
            send_heartbeat(&mut gate, &target, started, now);
            reported_cold_until = target.cold_until;
        }
        for port in target.work(now) {
            gate.answered(&segment(port, SegmentKind::Data, 500), now);
            if let Some((request, _)) = attempts.remove(&port) {
                asked[request].1 = now.since(asked[request].0) <= ms(2500);
            }
        }
        let mut opened: Vec<usize> = refused.drain(..).map(|(request, _)| request).collect();
        if step % 5 == 0 && step < 1200 {
            asked.push((now, false));
            opened.push(asked.len() - 1);
        }
        let given_up: Vec<u16> = attempts
            .iter()
            .filter(|(_, (_, at))| now.since(*at) >= ms(850))
            .map(|(p, _)| *p)
            .collect();
        for port in given_up {
            let Some((request, _)) = attempts.remove(&port) else { continue };
            opened.push(request);
        }
        let mut accepted = Vec::new();
        for request in opened {
            let made = made.entry(request).or_insert(0);
            if *made == 3 {
                continue;
            }
            *made += 1;
            next_port += 1;
            attempts.insert(next_port, (request, now));
            let seg = segment(next_port, SegmentKind::Open { copies: 0 }, 0);
            match gate.arrived(&seg, &place(), context, now) {
                Verdict::Deliver { .. } => accepted.push(next_port),
                Verdict::Wait { terms, envelope, .. } => {
                    let (flow, packet) = (seg.flow, Vec::new());
                    assert!(gate.wait(WaitingOpen { flow, packet, envelope, terms }).is_none());
                }
                // The caller retries at once if it has attempts left.
                Verdict::Refuse { .. } => refused.extend(attempts.remove(&next_port)),
                verdict => panic!("{verdict:?}"),
            }
        }
        // Retransmissions show that a caller is still waiting.
        for (port, (_, at)) in &attempts {
            for (copies, after) in [(1, 200), (2, 600)] {
                if now.since(*at) == ms(after) {
                    gate.arrived(
                        &segment(*port, SegmentKind::Open { copies }, 0),
                        &place(),
                        context,
                        now,
                    );
                }
            }
        }
        while let Some(open) = gate.next_waiting(now) {
            let port = open.flow.caller().port();
            gate.decide_waiting(
                &segment(port, SegmentKind::Open { copies: 0 }, 0),
                &open.envelope,
                context,
                now,
            );
            accepted.push(port);
        }
        for port in accepted {
            if now >= target.back_at && attempts.contains_key(&port) {
                gate.answered(&segment(port, SegmentKind::Accept, 0), now);
                gate.arrived(
                    &segment(port, SegmentKind::Data, 100),
                    &envelope(PacketPurpose::Deliver),
                    context,
                    now,
                );
                target.take(port, now);
            }
        }
    }
    (asked.iter().filter(|(_, served)| *served).count(), asked.len(), target.crashes)
}

/// A target that gets all its work at once while cold crashes, restarts cold and crashes again. Without
/// a limit, 51 of 240 requests are answered before their callers give up, and the target crashes three
/// times. With it 240 are answered, and the target never crashes.
#[rstest]
#[case::limited(Some(10), 235, 0)]
#[case::unlimited(None, 0, 3)]
fn everything_cold_at_once(
    #[case] rate: Option<u32>,
    #[case] min_served: usize,
    #[case] expected_crashes: u32,
) {
    let (served, asked, crashes) = simulate(rate);
    assert!(served >= min_served, "{served} of {asked} served, {crashes} crashes");
    assert_eq!(crashes, expected_crashes, "{served} of {asked} served");
}
