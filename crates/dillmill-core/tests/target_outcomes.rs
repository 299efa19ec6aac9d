//! When a target that breaks requests off is set aside.

use std::time::Duration;

use dillmill_core::Timestamp;
use dillmill_core::outcomes::Outcomes;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn failed(outcomes: &mut Outcomes, times: u32, now: Timestamp) {
    for _ in 0..times {
        outcomes.request_reset(now);
    }
}

#[test]
fn one_witness_is_not_enough() {
    let mut outcomes = Outcomes::default();
    failed(&mut outcomes, 2, START);
    assert!(!outcomes.failing(START));
    outcomes.answer();
    failed(&mut outcomes, 2, START);
    assert!(!outcomes.failing(START), "an answer lies between");
    failed(&mut outcomes, 1, START);
    assert!(outcomes.failing(START));
}

#[test]
fn next_request_tells() {
    let mut outcomes = Outcomes::default();
    failed(&mut outcomes, 3, START);
    assert!(outcomes.failing(at(499)));
    assert!(!outcomes.failing(at(500)));
    failed(&mut outcomes, 1, at(510));
    assert!(outcomes.failing(at(1500)), "twice as long");
    assert!(!outcomes.failing(at(1510)));
    outcomes.answer();
    failed(&mut outcomes, 2, at(1600));
    assert!(!outcomes.failing(at(1600)));
}

/// What was given to it before it was set aside says nothing new.
#[test]
fn earlier_flows_do_not_lengthen_the_rest() {
    let mut outcomes = Outcomes::default();
    failed(&mut outcomes, 30, START);
    assert!(!outcomes.failing(at(500)));
}

#[test]
fn sound_target_starts_anew() {
    let mut outcomes = Outcomes::default();
    for ms in [0, 500, 1500, 3500] {
        failed(&mut outcomes, 3, at(ms));
    }
    assert!(outcomes.failing(at(5400)), "two seconds at most");
    for _ in 0..8 {
        outcomes.answer();
    }
    failed(&mut outcomes, 3, at(6000));
    assert!(!outcomes.failing(at(6500)));
}

/// As many requests without an answer as the target has slots show that it answers none.
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

/// A row of answers out of line counts like requests broken off, with its own length.
#[test]
fn odd_answers_in_a_row() {
    let mut outcomes = Outcomes::default();
    for _ in 0..4 {
        outcomes.outlier_answer(5, START);
    }
    outcomes.answer();
    for _ in 0..4 {
        outcomes.outlier_answer(5, START);
    }
    assert!(!outcomes.failing(START), "a usual one lies between");
    outcomes.outlier_answer(5, START);
    assert!(outcomes.failing(START));
}
