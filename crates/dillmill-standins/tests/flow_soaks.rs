//! A short run of the soak of packet flows; longer ones are run by hand (`dillmill-standins soak`).

use std::time::Duration;

use dillmill_standins::flow_soak;
use rstest::rstest;

#[rstest]
fn promises_hold(#[values(1, 2)] seed: u64) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    let length = Duration::from_secs(8);
    let report = runtime.block_on(flow_soak::run(seed, length)).unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.answered > 50, "{report:#?}");
}
