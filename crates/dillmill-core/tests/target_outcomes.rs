//! Tests when a target that aborts requests is ejected, and for how long.

use std::time::Duration;

use dillmill_core::Timestamp;
use dillmill_core::outcomes::Outcomes;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn fail(outcomes: &mut Outcomes, times: u32, now: Timestamp) {
    for _ in 0..times {
        outcomes.request_reset(now);
    }
}

#[test]
fn two_failures_not_enough() {
    let mut outcomes = Outcomes::default();
    fail(&mut outcomes, 2, START);
    assert!(!outcomes.failing(START));
    outcomes.answer();
    fail(&mut outcomes, 2, START);
    assert!(!outcomes.failing(START), "an answer came in between");
    fail(&mut outcomes, 1, START);
    assert!(outcomes.failing(START));
}

#[test]
fn next_failure_doubles_ejection() {
    let mut outcomes = Outcomes::default();
    fail(&mut outcomes, 3, START);
    assert!(outcomes.failing(at(499)));
    assert!(!outcomes.failing(at(500)));
    fail(&mut outcomes, 1, at(510));
    assert!(outcomes.failing(at(1500)), "twice as long");
    assert!(!outcomes.failing(at(1510)));
    outcomes.answer();
    fail(&mut outcomes, 2, at(1600));
    assert!(!outcomes.failing(at(1600)));
}

/// Failures of requests that were given to a target before its ejection do not lengthen the ejection.
#[test]
fn earlier_flows_keep_ejection_time() {
    let mut outcomes = Outcomes::default();
    fail(&mut outcomes, 30, START);
    assert!(!outcomes.failing(at(500)));
}

#[test]
fn recovery_resets_ejection() {
    let mut outcomes = Outcomes::default();
    for ms in [0, 500, 1500, 3500] {
        fail(&mut outcomes, 3, at(ms));
    }
    assert!(outcomes.failing(at(5400)), "two seconds at most");
    for _ in 0..8 {
        outcomes.answer();
    }
    fail(&mut outcomes, 3, at(6000));
    assert!(!outcomes.failing(at(6500)));
}

/// As many overdue requests as the target has slots, three at most, show that it answers none.
#[test]
fn all_slots_overdue() {
    for (slots, needed) in [(1, 1), (2, 2), (3, 3), (7, 3)] {
        let mut outcomes = Outcomes::default();
        for n in 1..=needed {
            assert!(!outcomes.failing(START), "{slots} slots, {n} overdue");
            outcomes.overdue(slots, START);
        }
        assert!(outcomes.failing(START), "{slots} slots");
    }
}

/// Consecutive outlier answers count like aborted requests, with a threshold of their own.
#[test]
fn consecutive_outliers_fail() {
    let mut outcomes = Outcomes::default();
    for _ in 0..4 {
        outcomes.outlier_answer(5, START);
    }
    outcomes.answer();
    for _ in 0..4 {
        outcomes.outlier_answer(5, START);
    }
    assert!(!outcomes.failing(START), "a usual answer came in between");
    outcomes.outlier_answer(5, START);
    assert!(outcomes.failing(START));
}
