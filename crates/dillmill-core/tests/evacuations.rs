//! Tests which evacuation orders are in force, in whatever order processes learn of them, and what
//! happens to new flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, PassReason, RefuseReason, TargetStanding, Verdict};
use dillmill_core::open_queue::{WaitTerms, WaitingOpen};
use dillmill_core::placement::LoadReport;
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, Envelope, EvacuationChange, Evacuations, FlowGate, FlowPlacement, FlowTuple,
    Member, MemberStatus, PacketPurpose, ProcessId, Revision, Role, RouteTable, Segment,
    SegmentKind, ServiceTag, SiblingLoads, Timestamp, Weight, ZoneName,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const TARGET_SEQ: u32 = 5000;

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn change(name: &str, ordered: bool, revision: u64) -> EvacuationChange {
    EvacuationChange { zone: zone(name), ordered, revision: Revision(revision) }
}

fn evacuating(revision: u64, names: &[&str]) -> Evacuations {
    Evacuations::new(Revision(revision), names.iter().map(|name| zone(name)))
}

#[test]
fn one_write_orders_two() {
    let after = evacuating(5, &[]).after(&[change("a", true, 9), change("b", true, 9)]);
    assert_eq!(after, Some(evacuating(9, &["a", "b"])));
}

#[test]
fn order_and_withdrawal_together() {
    let after = evacuating(5, &["b"]).after(&[change("a", true, 7), change("a", false, 8)]);
    assert_eq!(after, Some(evacuating(8, &["b"])));
}

#[test]
fn old_change_ignored() {
    assert_eq!(evacuating(9, &["a"]).after(&[change("a", false, 9), change("b", true, 4)]), None);
    assert_eq!(evacuating(9, &["a"]).after(&[]), None);
}

/// Returns the orders in force after the first `n` changes of `history`.
fn expected_orders(history: &[(u8, bool)], n: usize) -> Evacuations {
    let mut now = evacuating(0, &[]);
    for (revision, (name, ordered)) in (1..).zip(&history[..n]) {
        let change = change(&format!("zone-{name}"), *ordered, revision);
        now = now.after(&[change]).unwrap();
    }
    now
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 500, ..ProptestConfig::default() })]

    /// Three processes read the store, watch it and tell each other what they know, in any order.
    /// The orders that each of them holds were in force at some time, and are never older than
    /// those it held before.
    #[test]
    fn any_delivery_order(
        history in prop::collection::vec((0_u8..3, any::<bool>()), 1..12),
        steps in prop::collection::vec((0_usize..3, 0_usize..3, 0_usize..4, 1_usize..4), 1..60),
    ) {
        let mut held: [Option<Evacuations>; 3] = Default::default();
        // For each process, how many changes of the history its watch has delivered.
        let mut watched: [Option<usize>; 3] = [None; 3];
        let mut written = 0;
        for (me, other, what, many) in steps {
            written = (written + usize::from(what == 3)).min(history.len());
            let newer = match what {
                0 => {
                    watched[me] = Some(written);
                    Some(expected_orders(&history, written))
                }
                1 => held[other].clone(),
                _ => watched[me].and_then(|from| {
                    let until = (from + many).min(written);
                    watched[me] = Some(until);
                    let told: Vec<_> = (from..until).map(|i| {
                        let (name, ordered) = history[i];
                        change(&format!("zone-{name}"), ordered, i as u64 + 1)
                    }).collect();
                    held[me].as_ref()?.after(&told)
                }),
            };
            if let Some(newer) = newer
                && held[me].as_ref().is_none_or(|known| newer.revision() > known.revision())
            {
                held[me] = Some(newer);
            }
            if let Some(known) = &held[me] {
                let n = usize::try_from(known.revision().0).unwrap();
                prop_assert_eq!(known, &expected_orders(&history, n));
            }
        }
    }
}

fn data(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), 7001)
}

fn member(n: u8, zone: &str) -> Member {
    Member {
        weight: Weight(4),
        ..Member::new(
            ProcessId(u64::from(n)),
            format!("vm-{n}").parse().unwrap(),
            zone.parse().unwrap(),
            Role::Agent("orders".parse().unwrap()),
            data(n),
            SocketAddrV4::new([10, 0, 0, n].into(), 7000),
        )
    }
}

/// Returns the table of a process in data centre `a`, with agents 1 and 2 in `a`, 3 in `b` and 4 in `c`.
fn table(evacuated: &[&str]) -> AgentTable {
    let members = [member(1, "a"), member(2, "a"), member(3, "b"), member(4, "c")];
    AgentTable::new(members.iter(), &zone("a")).with_evacuations(&evacuating(1, evacuated))
}

fn orders() -> ServiceTag {
    ServiceTag::from(&"orders".parse().unwrap())
}

fn flow(port: u16) -> FlowTuple {
    let route = SocketAddrV4::new([198, 18, 0, 1].into(), 443);
    FlowTuple::new(SocketAddrV4::new([100, 64, 0, 7].into(), port), route)
}

fn segment(port: u16, kind: SegmentKind) -> Segment {
    let (seq, ack) = match kind {
        SegmentKind::Open { .. } => (1, 0),
        SegmentKind::Accept => (TARGET_SEQ, 2),
        _ => (1, TARGET_SEQ + 1),
    };
    Segment { flow: flow(port), kind, seq, ack, len: 0, returned: false, mark: 0 }
}

fn open(port: u16, copies: u32) -> Segment {
    segment(port, SegmentKind::Open { copies })
}

fn envelope(purpose: PacketPurpose) -> Envelope {
    let origin = SocketAddrV4::new([10, 0, 0, 9].into(), 7000);
    Envelope { service: orders(), revision: Revision(1), origin, purpose }
}

fn place() -> Envelope {
    envelope(PacketPurpose::Place { passed: Vec::new() })
}

/// Returns the gate of agent 1, whose data centre is evacuated after flow 1 has been opened.
fn evacuated_gate(agents: &AgentTable, routes: &RouteTable) -> FlowGate {
    let mut gate = FlowGate::new(ProcessId(1), data(1), orders(), NOW);
    gate.new_target(orders(), Predecessor::Unsure, NOW);
    gate.set_standing(TargetStanding::Ready, 4);
    let context =
        GateContext { agents, routes, settled: true, told: true, siblings: &SiblingLoads::new() };
    let verdict = gate.arrived(&open(1, 0), &place(), context, NOW);
    assert!(matches!(verdict, Verdict::Deliver { .. }), "{verdict:?}");
    gate.answered(&segment(1, SegmentKind::Accept), NOW);
    gate.set_evacuated(true, NOW);
    gate
}

#[test]
fn evacuated_agent_passes_on() {
    let (agents, routes) = (table(&["a"]), RouteTable::default());
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let mut gate = evacuated_gate(&agents, &routes);
    for (port, copies) in [(2, 0), (3, 1), (4, 2), (1, 1)] {
        let verdict = gate.arrived(&open(port, copies), &place(), context, NOW);
        let Verdict::Pass { to, reason, .. } = verdict else { panic!("{verdict:?}") };
        assert!(to == data(3) || to == data(4), "to {to}, whose data centre is evacuated too");
        assert_eq!(reason, PassReason::Evacuated);
    }
}

#[test]
fn waiting_packet_passed_on() {
    let (agents, routes) = (table(&["a"]), RouteTable::default());
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let mut gate = evacuated_gate(&agents, &routes);
    let terms = WaitTerms::new(0, Duration::from_millis(150), NOW);
    let waits = WaitingOpen { flow: flow(2), packet: vec![0], envelope: place(), terms };
    assert!(gate.wait(waits).is_none());
    let next = gate.next_waiting(NOW).expect("the packet must not wait here any longer");
    let verdict = gate.decide_waiting(&open(2, 0), &next.envelope, context, NOW);
    assert!(matches!(verdict, Verdict::Pass { reason: PassReason::Evacuated, .. }), "{verdict:?}");
}

#[test]
fn open_flow_stays() {
    let (agents, routes) = (table(&["a"]), RouteTable::default());
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let mut gate = evacuated_gate(&agents, &routes);
    let request = Segment { len: 100, ..segment(1, SegmentKind::Data) };
    let verdict = gate.arrived(&request, &envelope(PacketPurpose::Deliver), context, NOW);
    assert_eq!(verdict, Verdict::Deliver { mark: 0, tell: None });
}

#[test]
fn no_target_left_refuses() {
    let (agents, routes) = (table(&["a", "b", "c"]), RouteTable::default());
    let context = GateContext {
        agents: &agents,
        routes: &routes,
        settled: true,
        told: true,
        siblings: &SiblingLoads::new(),
    };
    let mut gate = evacuated_gate(&agents, &routes);
    let verdict = gate.arrived(&open(2, 0), &place(), context, NOW);
    let refused = matches!(verdict, Verdict::Refuse { reason: RefuseReason::NoTarget, .. });
    assert!(refused, "{verdict:?}");
    let mut placement = FlowPlacement::default();
    placement.retain(&agents);
    assert!(placement.place(&flow(2), orders(), &agents, &[], NOW).is_none());
    assert!(agents.all_evacuated(orders()));
    assert!(!table(&["a", "b"]).all_evacuated(orders()));
}

#[test]
fn evacuated_agents_searched() {
    let agents = table(&["a", "b", "c"]);
    let mut place = None;
    let mut visited = Vec::new();
    while let Some((next, agent)) = agents.next_in_search(&flow(1), &[orders()], place, None) {
        visited.push(agent.process.0);
        place = Some(next);
    }
    assert!((1..=4).all(|n| visited.contains(&n)), "{visited:?}");
}

#[test]
fn suspect_not_used_instead() {
    let members = [
        member(1, "a"),
        Member { status: MemberStatus::Suspect, ..member(2, "a") },
        member(3, "b"),
    ];
    let agents =
        AgentTable::new(members.iter(), &zone("a")).with_evacuations(&evacuating(1, &["a"]));
    let taking: Vec<u64> = agents.taking_new(orders()).map(|a| a.process.0).collect();
    assert_eq!(taking, [3]);
}

/// An evacuated agent reported that it takes no new flows, and then sent no further report. It must get
/// new flows again once the order is withdrawn.
#[test]
fn withdrawn_order_serves_again() {
    let mut placement = FlowPlacement::default();
    placement.retain(&table(&[]));
    let placed =
        |placement: &mut FlowPlacement, agents: &AgentTable, ports: std::ops::Range<u16>| {
            let mut counts = [0; 5];
            for port in ports {
                let agent = placement.place(&flow(port), orders(), agents, &[], NOW).unwrap();
                counts[usize::try_from(agent.process.0).unwrap()] += 1;
            }
            counts
        };
    let evacuated = table(&["a"]);
    placement.retain(&evacuated);
    for n in [1, 2] {
        let full =
            LoadReport { in_use: 4, queued: 9, flows: 40, ..LoadReport::idle(ProcessId(n), 0) };
        placement.report(full);
    }
    let counts = placed(&mut placement, &evacuated, 0..40);
    assert_eq!(counts[1] + counts[2], 0, "{counts:?}");
    let back = table(&[]);
    placement.retain(&back);
    let counts = placed(&mut placement, &back, 40..80);
    assert!(counts[1] + counts[2] >= 20, "{counts:?}");
}
