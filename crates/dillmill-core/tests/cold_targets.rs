//! Tests how the slots of a target that has just started ramp up.

use std::time::Duration;

use dillmill_core::warm_up::slots;
use dillmill_core::{Slots, Timestamp};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1000);

fn after(full: u16, warm_up_ms: u64, ms: u64) -> u16 {
    let warm_up = Duration::from_millis(warm_up_ms);
    slots(Slots(full), warm_up, START, START + Duration::from_millis(ms)).0
}

#[rstest]
#[case::first_at_once(7, 5000, 0, 1)]
#[case::part(7, 5000, 2500, 3)]
#[case::almost(7, 5000, 4999, 6)]
#[case::all(7, 5000, 5000, 7)]
#[case::later(7, 5000, 60_000, 7)]
#[case::no_warm_up(7, 0, 0, 7)]
#[case::one_slot(1, 5000, 10, 1)]
#[case::no_slots(0, 5000, 10, 0)]
fn slots_ramp_up(
    #[case] full: u16,
    #[case] warm_up_ms: u64,
    #[case] ms: u64,
    #[case] expected: u16,
) {
    assert_eq!(after(full, warm_up_ms, ms), expected);
}

#[test]
fn slots_never_shrink() {
    let ramp: Vec<u16> = (0..6000).map(|ms| after(7, 5000, ms)).collect();
    assert!(ramp.is_sorted());
}
