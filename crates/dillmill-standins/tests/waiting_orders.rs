//! Compares queueing orders for waiting requests, in virtual time: after a power failure, and under loads
//! beyond the slots.

use std::time::Duration;

use dillmill_standins::waiting::{
    Bursts, ClassTally, QueueOrder, Scenario, Tail, Tally, TargetSpec, lost_and_found,
    menu_service, simulate, simulate_classes, stall_terminals,
};
use rstest::rstest;

fn tally(order: QueueOrder, load: f64) -> Tally {
    simulate(order, &menu_service(load), 7)
}

#[rstest]
#[case(360.0)]
#[case(430.0)]
fn patience_loses_least(#[case] load: f64) {
    let patience = tally(QueueOrder::Agent, load);
    let newest = tally(QueueOrder::Newest, load);
    assert!(patience.lost * 3 < newest.lost, "{patience:?} {newest:?}");
}

/// Oldest-first never recovers: once the queueing delay is as long as the callers' attempt timeout,
/// targets work on packets of callers that have just given up.
#[test]
fn oldest_first_never_recovers() {
    let oldest = tally(QueueOrder::Oldest, 480.0);
    let patience = tally(QueueOrder::Agent, 480.0);
    assert!(oldest.abandoned > 10 * patience.abandoned.max(1), "{oldest:?} {patience:?}");
    assert!(oldest.lost > 3 * patience.lost, "{oldest:?} {patience:?}");
}

#[test]
fn calm_service_is_in_time() {
    for order in QueueOrder::ALL {
        let scenario = dillmill_standins::waiting::OutageScenario {
            outage: std::time::Duration::ZERO,
            cold: 1.0,
            ..menu_service(300.0)
        };
        let tally = simulate(order, &scenario, 7);
        assert_eq!((tally.late, tally.lost), (0, 0), "{order}: {tally:?}");
    }
}

fn share_in_time(tally: Tally) -> f64 {
    f64::from(tally.in_time) / f64::from(tally.in_time + tally.late + tally.lost)
}

fn in_time(order: QueueOrder, scenario: &Scenario) -> Vec<f64> {
    let classes: Vec<ClassTally> = simulate_classes(order, scenario, 7);
    assert!(classes.is_sorted_by_key(|class| class.priority), "{classes:?}");
    classes.into_iter().map(|class| share_in_time(class.tally)).collect()
}

/// Guards against outcomes that are counted for another class, and priorities that don't reach the queues.
#[rstest]
#[case(stall_terminals())]
#[case(lost_and_found())]
fn strict_priority_trades_classes(#[case] scenario: Scenario) {
    let strict = in_time(QueueOrder::StrictPriority, &scenario);
    let newest = in_time(QueueOrder::Newest, &scenario);
    assert!(strict[0] > newest[0] + 0.02, "{strict:?} {newest:?}");
    assert!(strict[1] < newest[1], "{strict:?} {newest:?}");
}

/// Stall terminals on targets that are all alike and share one queue, without tail and bursts.
fn even_terminals() -> Scenario {
    Scenario {
        targets: vec![TargetSpec { slots: 24, speed: 1.0 }],
        tail: None,
        bursts: None,
        ..stall_terminals()
    }
}

/// Guards against a part of a scenario that has no effect on what callers get.
#[rstest]
#[case::queues_of_their_own(Scenario {
    targets: vec![TargetSpec { slots: 1, speed: 1.0 }; 24],
    ..even_terminals()
})]
#[case::slow_target(Scenario {
    targets: vec![TargetSpec { slots: 24, speed: 0.55 }],
    ..even_terminals()
})]
#[case::tail(Scenario { tail: Some(Tail { share: 0.03, factor: 7.0 }), ..even_terminals() })]
#[case::bursts(Scenario {
    bursts: Some(Bursts {
        factor: 2.0,
        period: Duration::from_secs(3),
        length: Duration::from_secs(1),
    }),
    ..even_terminals()
})]
fn harder_load_costs(#[case] harder: Scenario) {
    let even = in_time(QueueOrder::Agent, &even_terminals());
    let harder = in_time(QueueOrder::Agent, &harder);
    assert!(harder[0] + harder[1] < even[0] + even[1] - 0.01, "{harder:?} {even:?}");
}
