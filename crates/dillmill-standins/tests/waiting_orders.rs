//! Compares queueing orders for waiting opening packets, in virtual time after a power failure.

use dillmill_standins::waiting::{QueueOrder, Tally, menu_service, simulate};
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
