//! Compares queueing orders for waiting opening packets, in virtual time after a power failure.

use dillmill_standins::waiting::{Order, Tally, menus, play};
use rstest::rstest;

fn tally(order: Order, load: f64) -> Tally {
    play(order, &menus(load), 7)
}

#[rstest]
#[case(360.0)]
#[case(430.0)]
fn patience_loses_least(#[case] load: f64) {
    let patience = tally(Order::Patience, load);
    let newest = tally(Order::Newest, load);
    assert!(patience.lost * 3 < newest.lost, "{patience:?} {newest:?}");
}

/// Oldest-first never recovers: once the queueing delay is as long as the callers' attempt timeout,
/// targets work on packets of callers that have just given up.
#[test]
fn oldest_first_never_recovers() {
    let oldest = tally(Order::Oldest, 480.0);
    let patience = tally(Order::Patience, 480.0);
    assert!(oldest.in_vain > 10 * patience.in_vain.max(1), "{oldest:?} {patience:?}");
    assert!(oldest.lost > 3 * patience.lost, "{oldest:?} {patience:?}");
}

#[test]
fn calm_service_is_in_time() {
    for order in Order::ALL {
        let trouble = dillmill_standins::waiting::Trouble {
            outage: std::time::Duration::ZERO,
            cold: 1.0,
            ..menus(300.0)
        };
        let tally = play(order, &trouble, 7);
        assert_eq!((tally.late, tally.lost), (0, 0), "{order}: {tally:?}");
    }
}
