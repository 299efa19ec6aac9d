//! Tests how many processes query the store when all start, and how soon the first one does.

use std::time::Duration;

use dillmill_core::StartDelay;
use dillmill_core::membership::FleetSize;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn delay() -> StartDelay {
    StartDelay { base: MS * 30, spread: MS * 120, per_process: MS * 3 / 2 }
}

fn shares(n: u32) -> impl Iterator<Item = f64> {
    (0..n).map(move |i| f64::from(i) / f64::from(n))
}

/// Load: all processes start, and none learns the routes from peers for 0.2 s. If the delay did not
/// grow with the fleet, all of them would query the store by then.
#[rstest]
#[case::small(15)]
#[case::large(982)]
#[case::twice(1964)]
#[case::to_come(13_060)]
fn few_ask_in_large_fleets(#[case] n: u32) {
    let ask = |share| delay().of(share, FleetSize(n)) <= MS * 200;
    assert!(shares(n).filter(|share| ask(*share)).count() <= 150);
}

#[test]
fn small_fleet_asks_soon() {
    let waits: Vec<Duration> = shares(15).map(|s| delay().of(s, FleetSize(15))).collect();
    assert_eq!(waits[0], MS * 30);
    assert!(waits.iter().all(|wait| *wait < MS * 150));
}

#[test]
fn unknown_size_is_small() {
    assert_eq!(delay().of(1.0, FleetSize(0)), MS * 150);
}
