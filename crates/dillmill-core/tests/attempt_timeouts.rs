//! Tests how the attempt timeout of callers is learned from those that gave up.

use std::time::Duration;

use dillmill_core::Timestamp;
use dillmill_core::attempt_timeout::{AttemptTimeoutEstimator, assumed};
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn noted(outcomes: &[(u64, bool)]) -> AttemptTimeoutEstimator {
    let mut attempt_timeout = AttemptTimeoutEstimator::default();
    for (waited, opened) in outcomes {
        attempt_timeout.note(ms(*waited), *opened, NOW);
    }
    attempt_timeout
}

const ASSUMED: Duration = ms(1360);

#[rstest]
#[case::unknown(None, false, 1360)]
#[case::run_once(Some(2500), false, 1360)]
#[case::run_once_soon(Some(900), false, 860)]
#[case::repeatable(Some(2400), true, 760)]
#[case::long_and_repeatable(Some(8000), true, 1360)]
fn assumed_before_observations(
    #[case] timeout: Option<u64>,
    #[case] repeatable: bool,
    #[case] waits: u64,
) {
    assert_eq!(assumed(timeout.map(ms), repeatable), ms(waits));
}

#[test]
fn nothing_learned_at_first() {
    assert_eq!(AttemptTimeoutEstimator::default().refine(ASSUMED, NOW), ASSUMED);
    assert_eq!(noted(&[(10, true), (700, true), (1300, true)]).refine(ASSUMED, NOW), ASSUMED);
}

#[test]
fn limit_where_most_gave_up() {
    let seen = [(500, true), (840, false), (850, false), (860, false), (810, true), (1200, false)];
    assert_eq!(noted(&seen).refine(ASSUMED, NOW), ms(800));
}

/// If callers wait longer than was assumed, the longer timeout is learned.
#[test]
fn longer_timeout_learned() {
    let seen = [(850, true), (870, true), (890, true), (1210, false), (1220, false), (1230, false)];
    assert_eq!(noted(&seen).refine(ms(700), NOW), ms(900));
    assert_eq!(noted(&seen).refine(ASSUMED, NOW), ms(1200));
}

/// Some callers have a shorter timeout. While most are still waiting, serving them is worth it.
#[test]
fn minority_does_not_count() {
    let some = [(600, false), (610, false), (620, false), (630, true), (640, true), (650, true)];
    assert_eq!(noted(&some).refine(ASSUMED, NOW), ASSUMED);
}

#[test]
fn single_losses_do_not_count() {
    assert_eq!(noted(&[(300, false), (310, false)]).refine(ASSUMED, NOW), ASSUMED);
}

/// Waits that are no longer tried because callers had given up are tried again after a while.
#[test]
fn old_losses_decay() {
    let mut attempt_timeout = noted(&[(840, false), (850, false), (860, false)]);
    assert_eq!(attempt_timeout.refine(ASSUMED, NOW), ms(800));
    attempt_timeout.note(ms(10), true, NOW + ms(2100));
    assert_eq!(attempt_timeout.refine(ASSUMED, NOW + ms(2100)), ASSUMED);
}
