//! Guards the sharing of load between the agents of a service: packets that stay in a long queue although
//! a sibling is idle, packets that are passed about or swapped, and packets that get lost on the way.

use std::time::Duration;

use dillmill_core::flow_gate::{TargetStanding, Verdict};
use dillmill_core::open_queue::{WaitTerms, WaitingOpen};
use dillmill_core::placement::LoadReport;
use dillmill_core::rebalancing::{Prospect, better_siblings};
use dillmill_core::{
    AgentLoad, AgentTable, FlowGate, PacketPurpose, SegmentKind, SiblingLoads, TargetPace,
};
use rstest::rstest;

use packets::{addr, envelope, process, segment, service};
use world::{Event, SLOTS, START, Totals, World};

mod agents;
mod packets;
mod world;

/// Nine agents with free capacity take the surplus of three. Agents that act on outdated reports, or that
/// pass packets on without load information, pass the same packets about: 1.2 to 2.7 times each. Passing on
/// too little makes answers late.
#[rstest]
fn surplus_passed_once(#[values(0.7, 0.9, 1.0)] load: f64) {
    let mut world = World::new(12, true);
    world.demand(load, Duration::ZERO, Duration::from_secs(4), 3);
    world.run(Duration::from_secs(6));
    assert!(world.passes_per_flow() <= 0.3, "{:.2} {:?}", world.passes_per_flow(), world.totals);
    assert_eq!(world.lost(), 0, "{:?}", world.totals);
    let in_time = f64::from(world.totals.in_time) / f64::from(world.totals.placed);
    assert!(in_time >= 0.98, "{in_time:.3} {:?}", world.totals);
}

/// Queues of different lengths serve packets of the same age at different times.
#[test]
fn queues_level_within_a_second() {
    let mut world = World::new(12, true);
    world.demand(1.1, Duration::ZERO, Duration::from_secs(4), 3);
    world.run(Duration::from_secs(1));
    let before: Vec<usize> = world.agents.iter().map(|agent| agent.queue_sum).collect();
    world.run(Duration::from_secs(3));
    let queues = world.agents.iter().zip(before).map(|(agent, before)| agent.queue_sum - before);
    let queues: Vec<usize> = queues.collect();
    assert!(queues.iter().max() <= queues.iter().min().map(|min| min * 2).as_ref(), "{queues:?}");
    assert!(world.totals.moved > 0);
}

/// Load sharing that acts without load would change the path of packets in each existing deployment.
#[test]
fn nothing_shared_without_load() {
    let mut world = World::new(12, true);
    for n in 0..600 {
        world.owners.insert(n, usize::try_from(n % 12).unwrap());
        world.schedule(Duration::from_millis(u64::from(n) * 5), Event::Caller { n, copies: 0 });
    }
    world.run(Duration::from_secs(4));
    let Totals { placed, passes, moved, exchanges, .. } = world.totals;
    assert_eq!((placed, passes, moved, exchanges, world.lost()), (600, 0, 0, 0, 0));
}

/// After a restart of all processes, moving packets takes scarce processor time from serving them.
#[test]
fn nothing_shared_after_start() {
    let mut gate = FlowGate::new(process(1), addr(1, 7001), service(), START);
    gate.set_standing(TargetStanding::Ready, 1);
    let terms = WaitTerms::new(0, Duration::from_millis(150), START);
    let (flow, envelope) = (segment(1, SegmentKind::Open { copies: 0 }, 0).flow, envelope(place()));
    gate.wait(WaitingOpen { flow, packet: Vec::new(), envelope, terms });
    gate.heartbeat(START + Duration::from_secs(4));
    assert!(!gate.under_pressure(START + Duration::from_millis(4999)));
    assert!(gate.under_pressure(START + Duration::from_secs(5)));
}

/// With load sharing off, nothing is exchanged or moved.
#[test]
fn nothing_shared_if_off() {
    let mut world = World::new(12, false);
    world.demand(1.1, Duration::ZERO, Duration::from_secs(2), 3);
    world.run(Duration::from_secs(4));
    assert_eq!((world.totals.exchanges, world.totals.moved), (0, 0));
}

/// A packet that was moved to an agent that dies is placed again when its caller sends a copy. Copies must
/// not follow it to the dead agent for longer than its last report counts.
#[rstest]
fn packets_survive_dead_sibling(#[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] dead: usize) {
    let mut world = World::new(12, true);
    world.demand(1.5, Duration::ZERO, Duration::from_millis(400), 3);
    world.demand(0.5, Duration::from_millis(400), Duration::from_secs(2), 3);
    world.run(Duration::from_millis(300));
    assert!(world.totals.moved > 0);
    assert!(world.agents[dead].gate.waiting() > 0);
    world.agents[dead].dead = true;
    world.run(Duration::from_secs(5));
    assert_eq!(world.lost(), 0, "{:?}", world.totals);
}

/// An agent that hears nothing any more, as behind a cut link, must not act on old reports.
#[test]
fn old_reports_not_used() {
    let mut world = World::new(12, true);
    world.demand(1.2, Duration::ZERO, Duration::from_secs(3), 3);
    world.run(Duration::from_secs(1));
    world.silent = true;
    world.run(Duration::from_millis(200));
    let (moved, placed, passes) = (world.totals.moved, world.totals.placed, world.totals.passes);
    world.run(Duration::from_secs(1));
    assert_eq!(world.totals.moved, moved);
    let (placed, passes) = (world.totals.placed - placed, world.totals.passes - passes);
    assert!(passes > 0 && passes <= placed * 2, "{passes} passes, {placed} flows");
}

/// A sibling must be better by more than the cost of the way; a far one by another request's time.
#[rstest]
#[case::free(true, 0, 2, true)]
#[case::free_far(false, 0, 2, false)]
#[case::free_far_from_long_queue(false, 0, 5, true)]
#[case::as_busy(true, 2, 2, false)]
#[case::shorter_queue(true, 3, 5, true)]
#[case::similar_queue(true, 5, 5, false)]
fn better_sibling(#[case] near: bool, #[case] there: u16, #[case] here: u32, #[case] better: bool) {
    let world = World::new(2, true);
    let mut siblings = SiblingLoads::new();
    let pace = TargetPace { work: Duration::from_millis(30), cold: None };
    let report = LoadReport { in_use: there, pace, ..LoadReport::idle(process(1), SLOTS) };
    siblings.record(report, START);
    let zone = if near { "zone-1" } else { "zone-2" };
    let table = AgentTable::new(&world.members, &zone.parse().unwrap());
    let own = AgentLoad { requests: here, slots: SLOTS.into(), work: pace.work };
    let found = |siblings: &SiblingLoads, now| {
        let wait = own.wait_of_next();
        better_siblings(&own, wait, Prospect::Delayed, service(), &table, siblings, now).len()
    };
    assert_eq!(found(&siblings, START), usize::from(better));
    assert_eq!(found(&siblings, START + Duration::from_millis(150)), 0);
    // Packets sent since the report count towards the sibling's load.
    for _ in 0..5 {
        siblings.note_sent(process(1));
    }
    assert_eq!(found(&siblings, START), 0);
}

/// A packet that is delayed here goes to a sibling by an old report; one that can be in time here does not.
#[rstest]
#[case::new_report(Prospect::InTime, 0, true)]
#[case::old_report(Prospect::InTime, 100, false)]
#[case::old_report_of_long_wait(Prospect::Delayed, 100, true)]
fn report_age_counts(#[case] prospect: Prospect, #[case] age_ms: u64, #[case] better: bool) {
    let world = World::new(2, true);
    let mut siblings = SiblingLoads::new();
    siblings.record(LoadReport::idle(process(1), SLOTS), START);
    let work = Duration::from_millis(30);
    let own = AgentLoad { requests: 5, slots: SLOTS.into(), work };
    let now = START + Duration::from_millis(age_ms);
    let wait = own.wait_of_next();
    let found = better_siblings(&own, wait, prospect, service(), &world.table, &siblings, now);
    assert_eq!(!found.is_empty(), better);
}

fn open(world: &mut World, n: u32, copies: u32, purpose: PacketPurpose) -> Verdict {
    world.arrived(0, &segment(n, SegmentKind::Open { copies }, 0), &envelope(purpose))
}

fn place() -> PacketPurpose {
    PacketPurpose::Place { passed: Vec::new() }
}

/// A moved packet that counted as new would be served before packets that have waited for less time.
#[test]
fn moved_packet_keeps_age() {
    let mut world = World::new(2, true);
    for n in 1..=2 {
        assert!(matches!(open(&mut world, n, 0, place()), Verdict::Deliver { .. }));
    }
    let moved = PacketPurpose::Moved { passed: vec![process(1)], waited_ms: 300 };
    let verdict = open(&mut world, 3, 0, moved.clone());
    let Verdict::Wait { terms, envelope, tell } = verdict else { panic!("{verdict:?}") };
    assert_eq!((terms.since, terms.copies), (START - Duration::from_millis(300), 1));
    assert_eq!((envelope.purpose, tell), (moved, Some(addr(200, 7000))));
}

/// A moved packet at a full target must not go ahead of the packets that wait there, nor fill the target's own
/// queue, if the target serves several priorities.
#[rstest]
fn moved_packet_takes_turn(#[values(false, true)] mixed: bool) {
    let mut world = World::new(2, true);
    if mixed {
        world.add_low_priority_route();
    }
    for n in 1..=3 {
        let passed_on = PacketPurpose::Place { passed: vec![process(1)] };
        assert!(matches!(open(&mut world, n, 0, passed_on), Verdict::Deliver { .. }));
    }
    let moved = PacketPurpose::Moved { passed: vec![process(1)], waited_ms: 10 };
    let verdict = open(&mut world, 4, 0, moved);
    assert_eq!(matches!(verdict, Verdict::Wait { .. }), mixed, "{verdict:?}");
}

/// A packet that is moved to an agent which has served a copy of it must not open the flow again: the agent
/// would no longer find the flow that is open at its target.
#[rstest]
#[case::moved_at_once(10)]
#[case::moved_late(500)]
fn moved_packet_of_open_flow(#[case] waited_ms: u32) {
    let mut world = World::new(2, true);
    for n in 1..=2 {
        open(&mut world, n, 0, place());
        let now = world.now;
        world.agents[0].gate.answered(&segment(n, SegmentKind::Accept, 0), now);
        world.arrived(0, &segment(n, SegmentKind::Data, 100), &envelope(PacketPurpose::Deliver));
    }
    let moved = PacketPurpose::Moved { passed: vec![process(1)], waited_ms };
    assert_eq!(open(&mut world, 1, 0, moved), Verdict::Drop);
    let data = segment(1, SegmentKind::Data, 100);
    let verdict = world.arrived(0, &data, &envelope(PacketPurpose::Deliver));
    assert!(matches!(verdict, Verdict::Deliver { .. }), "{verdict:?}");
}

/// A copy that reaches the former agent, before the balancer knows the new one, must not open the flow a
/// second time. If the new agent is no longer heard of, the copy is the caller's only way to a target.
#[rstest]
#[case::sibling_reports(true)]
#[case::sibling_silent(false)]
fn copy_follows_packet(#[case] reports: bool) {
    let mut world = World::new(2, true);
    for n in 1..=2 {
        open(&mut world, n, 0, place());
    }
    world.agents[0].siblings.record(LoadReport::idle(process(1), SLOTS), START);
    assert!(matches!(open(&mut world, 3, 0, place()), Verdict::Pass { .. }));
    world.now = START + Duration::from_millis(200);
    if reports {
        world.agents[0].siblings.record(LoadReport::idle(process(1), SLOTS), world.now);
    }
    match open(&mut world, 3, 1, place()) {
        Verdict::Pass { to, .. } => assert_eq!((to, reports), (addr(1, 7001), true)),
        Verdict::Deliver { .. } => assert!(!reports),
        other => panic!("{other:?}"),
    }
}
