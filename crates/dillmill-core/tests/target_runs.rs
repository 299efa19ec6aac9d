//! Which run of a target a heartbeat speaks for.

use std::time::Duration;

use dillmill_core::target_runs::Heard;
use dillmill_core::{TargetRuns, Timestamp};
use rstest::rstest;

const EVERY: Duration = Duration::from_millis(1200);
const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn at(ms: u64) -> Timestamp {
    NOW + Duration::from_millis(ms)
}

/// Runs `a` up to heartbeat 7 and then `b` up to heartbeat `last`.
fn replaced(last: u64) -> (TargetRuns, u64) {
    let mut runs = TargetRuns::new(EVERY);
    assert_eq!(runs.heartbeat("a", 7, at(0)), Heard::NewRun { first: true });
    let mut ms = 4000;
    assert_eq!(runs.heartbeat("b", 1, at(ms)), Heard::NewRun { first: false });
    for number in 2..=last {
        ms += 1200;
        assert_eq!(runs.heartbeat("b", number, at(ms)), Heard::Current);
    }
    (runs, ms)
}

/// Heartbeats of the earlier run that a cut held back arrive together, whenever and in whatever order.
#[rstest]
fn earlier_run_never_returns(
    #[values(1, 2, 5)] last: u64,
    #[values(1, 900, 2900, 6000)] after: u64,
    #[values([8, 9, 10], [10, 8, 9], [9, 10, 8], [7, 7, 12])] numbers: [u64; 3],
    #[values(0, 30, 200)] apart: u64,
) {
    let (mut runs, mut ms) = replaced(last);
    ms += after;
    for number in numbers {
        assert_eq!(runs.heartbeat("a", number, at(ms)), Heard::Late, "{number}");
        ms += apart;
    }
    assert_eq!(runs.heartbeat("b", last + 1, at(ms)), Heard::Current);
}

/// The agent has started again meanwhile and has not heard of the earlier run.
#[test]
fn unknown_earlier_run_is_late() {
    let mut runs = TargetRuns::new(EVERY);
    runs.heartbeat("b", 3, at(0));
    assert_eq!(runs.heartbeat("a", 9, at(700)), Heard::Late);
    assert_eq!(runs.heartbeat("b", 4, at(1200)), Heard::Current);
}

/// The late heartbeat is the first that a started agent hears; the living run takes its place at once.
#[test]
fn late_one_first() {
    let mut runs = TargetRuns::new(EVERY);
    runs.heartbeat("a", 9, at(0));
    assert_eq!(runs.heartbeat("b", 2, at(300)), Heard::NewRun { first: false });
    assert_eq!(runs.heartbeat("a", 10, at(400)), Heard::Late);
}

/// A run that was taken for over by mistake comes back, as it goes on at the pace of a living one.
#[test]
fn living_run_returns() {
    let (mut runs, ms) = replaced(2);
    assert_eq!(runs.heartbeat("c", 1, at(ms + 10)), Heard::NewRun { first: false });
    let heard: Vec<Heard> =
        (1..=4).map(|n| runs.heartbeat("b", 2 + n, at(ms + n * 1200))).collect();
    assert_eq!(heard, [Heard::Late, Heard::Late, Heard::NewRun { first: false }, Heard::Current]);
}

#[test]
fn own_late_heartbeat_ignored() {
    let (mut runs, ms) = replaced(4);
    assert_eq!(runs.heartbeat("b", 3, at(ms + 5)), Heard::Late);
    assert!(runs.may_be_current("b") && !runs.may_be_current("a"));
}
