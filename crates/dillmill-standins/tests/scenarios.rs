//! Runs each script in `tests/scenarios` on a separate cluster.

use std::path::PathBuf;

use dillmill_standins::scenario::ScenarioRunner;
use rstest::rstest;

#[rstest]
fn scenario(#[files("tests/scenarios/*")] script: PathBuf) {
    goldenscript::run(&mut ScenarioRunner::new().unwrap(), script).unwrap();
}
