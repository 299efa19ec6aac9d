//! A short run of the soak of packet flows; longer ones are run by hand (`dillmill-standins soak`).
//!
//! Seeds that have failed stay here: 19 (a burst of short flows was refused by idle targets, as an answered
//! flow counted as a request for 30 ms; the decision's own test is `answered_flow_counts_no_more`), 10 (11 of 20
//! openings were reset after all faults, once in 15 runs; cause not traced, see docs/QUESTIONS.md), 48 (a new flow was
//! answered by the route's next service before the soak had noted the change: its own fault). Seed 301 is one with thin links, 401 one with
//! two data centres that are evacuated by turns.

use std::time::Duration;

use dillmill_standins::flow_soak;
use rstest::rstest;

#[rstest]
fn promises_hold(#[values(1, 2, 10, 19, 48, 301, 401)] seed: u64) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    let length = Duration::from_secs(8);
    let report = runtime.block_on(flow_soak::run(seed, length)).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.answered > 50, "{report:#?}");
}
