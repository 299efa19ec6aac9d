//! Tests which run of a target a heartbeat is attributed to.

use std::time::Duration;

use dillmill_core::target_runs::{HeartbeatOutcome, Predecessor};
use dillmill_core::{StartTime, TargetRun, TargetRuns, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn at(ms: u64) -> Timestamp {
    NOW + Duration::from_millis(ms)
}

/// Returns a run that does not report its start time.
fn undated(id: &str) -> TargetRun {
    TargetRun::new(id)
}

fn run(id: &str, started: u64) -> TargetRun {
    TargetRun::new(id).started(StartTime(started))
}

/// Feeds heartbeat 7 of run `a`, then the heartbeats of run `b` up to `last`. Returns the state and
/// the time of the last heartbeat in milliseconds.
fn replaced(last: u64) -> (TargetRuns, u64) {
    let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
    assert_eq!(
        runs.heartbeat(&undated("a"), 7, at(0)),
        HeartbeatOutcome::NewRun(Predecessor::None)
    );
    let mut ms = 4000;
    assert_eq!(
        runs.heartbeat(&undated("b"), 1, at(ms)),
        HeartbeatOutcome::NewRun(Predecessor::Unsure)
    );
    for number in 2..=last {
        ms += 1200;
        assert_eq!(runs.heartbeat(&undated("b"), number, at(ms)), HeartbeatOutcome::Current);
    }
    (runs, ms)
}

/// Heartbeats of the earlier run that a network partition has delayed arrive together, at any time and
/// in any order. They must not bring that run back.
#[rstest]
fn earlier_run_never_returns(
    #[values(1, 2, 5)] last: u64,
    #[values(1, 900, 2900, 6000)] after: u64,
    #[values([8, 9, 10], [10, 8, 9], [9, 10, 8], [7, 7, 12])] numbers: [u64; 3],
    #[values(0, 30, 200)] spacing: u64,
) {
    let (mut runs, mut ms) = replaced(last);
    ms += after;
    for number in numbers {
        assert_eq!(
            runs.heartbeat(&undated("a"), number, at(ms)),
            HeartbeatOutcome::Late,
            "{number}"
        );
        ms += spacing;
    }
    assert_eq!(runs.heartbeat(&undated("b"), last + 1, at(ms)), HeartbeatOutcome::Current);
}

/// A late heartbeat of an earlier run arrives at an agent that has restarted and does not know that run.
#[test]
fn unknown_earlier_run_is_late() {
    let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
    runs.heartbeat(&undated("b"), 3, at(0));
    assert_eq!(runs.heartbeat(&undated("a"), 9, at(700)), HeartbeatOutcome::Late);
    assert_eq!(runs.heartbeat(&undated("b"), 4, at(1200)), HeartbeatOutcome::Current);
}

/// The first heartbeat that a restarted agent receives is a late one of an earlier run. The live run
/// replaces that run at once.
#[test]
fn late_heartbeat_first() {
    let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
    runs.heartbeat(&undated("a"), 9, at(0));
    assert_eq!(
        runs.heartbeat(&undated("b"), 2, at(300)),
        HeartbeatOutcome::NewRun(Predecessor::Unsure)
    );
    assert_eq!(runs.heartbeat(&undated("a"), 10, at(400)), HeartbeatOutcome::Late);
}

/// A live run that was mistaken for an ended one becomes current again, because its heartbeats keep
/// coming at the pace of a live run.
#[test]
fn live_run_returns() {
    let (mut runs, ms) = replaced(2);
    assert_eq!(
        runs.heartbeat(&undated("c"), 1, at(ms + 10)),
        HeartbeatOutcome::NewRun(Predecessor::Unsure)
    );
    let heard: Vec<HeartbeatOutcome> =
        (1..=4).map(|n| runs.heartbeat(&undated("b"), 2 + n, at(ms + n * 1200))).collect();
    assert_eq!(
        heard,
        [
            HeartbeatOutcome::Late,
            HeartbeatOutcome::Late,
            HeartbeatOutcome::NewRun(Predecessor::Unsure),
            HeartbeatOutcome::Current
        ]
    );
}

#[test]
fn own_late_heartbeat_ignored() {
    let (mut runs, ms) = replaced(4);
    assert_eq!(runs.heartbeat(&undated("b"), 3, at(ms + 5)), HeartbeatOutcome::Late);
    assert!(runs.is_current(&undated("b")) && !runs.is_current(&undated("a")));
}

/// A target restarts under the same id and numbers its heartbeats from 1 again. These must not be
/// taken for late ones.
#[test]
fn reused_id_new_run() {
    let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
    assert_eq!(
        runs.heartbeat(&run("a", 100), 40, at(0)),
        HeartbeatOutcome::NewRun(Predecessor::None)
    );
    let ended = Predecessor::Ended { lived: at(0) };
    assert_eq!(runs.heartbeat(&run("a", 900), 1, at(900)), HeartbeatOutcome::NewRun(ended));
    assert_eq!(
        runs.heartbeat(&run("a", 100), 41, at(950)),
        HeartbeatOutcome::Late,
        "from the previous run"
    );
    assert_eq!(runs.heartbeat(&run("a", 900), 2, at(2100)), HeartbeatOutcome::Current);
    assert_eq!(runs.heartbeat(&run("a", 900), 2, at(2110)), HeartbeatOutcome::Late, "a duplicate");
}

/// The clock was set back before the target restarted, so the live run has the earlier start time.
#[test]
fn clock_set_back() {
    let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
    runs.heartbeat(&run("a", 5000), 9, at(0));
    let heard: Vec<HeartbeatOutcome> =
        (1..=4).map(|n| runs.heartbeat(&run("a", 3000), n, at(1000 + n * 1200))).collect();
    assert_eq!(heard[0], HeartbeatOutcome::Late, "may be a late heartbeat of an earlier run");
    assert!(heard.contains(&HeartbeatOutcome::NewRun(Predecessor::Unsure)), "{heard:?}");
    assert_eq!(heard[3], HeartbeatOutcome::Current);
}

/// If the current run reports its start time, a heartbeat without one is from another run.
#[test]
fn undated_run_is_late() {
    let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
    runs.heartbeat(&run("a", 100), 3, at(0));
    assert_eq!(runs.heartbeat(&undated("a"), 1, at(10)), HeartbeatOutcome::Late);
    assert_eq!(runs.heartbeat(&undated("b"), 1, at(20)), HeartbeatOutcome::Late);
    assert!(runs.is_current(&run("a", 100)));
}

/// Only some messages that a run is ending may end the current run: one without a start time may be
/// from an earlier run with the same id.
#[rstest]
#[case::its_own(Some(200), false, true)]
#[case::of_the_run_before(Some(100), true, false)]
#[case::of_either_run(None, false, false)]
#[case::of_either_after_an_announcement(None, true, true)]
fn end_messages(#[case] started: Option<u64>, #[case] announced: bool, #[case] ends: bool) {
    let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
    runs.heartbeat(&run("a", 100), 3, at(0));
    runs.heartbeat(&run("a", 200), 1, at(900));
    let ending = TargetRun::new("a").started(started.map(StartTime));
    assert_eq!(runs.may_end(&ending, announced), ends);
}

/// A run of a target in a generated history.
#[derive(Debug, Clone)]
struct RunSpec {
    old_id: bool,
    /// Error of the clock when the run starts.
    clock_ms: i64,
    heartbeats: u64,
    /// Time without a target between the previous run and this one.
    gap_ms: u64,
}

fn run_spec(clock: std::ops::Range<i64>) -> impl Strategy<Value = RunSpec> {
    (any::<bool>(), clock, 1..9_u64, 100..4000_u64).prop_map(
        |(old_id, clock_ms, heartbeats, gap_ms)| RunSpec { old_id, clock_ms, heartbeats, gap_ms },
    )
}

/// Generates periods, as start and length, in which heartbeats are held back until the period ends.
fn delays() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0..30_000_u64, 1..6000_u64), 0..4)
}

/// Returns the heartbeats in order of arrival: time, index of the run, identity of the run and number
/// of the heartbeat.
fn arrivals(run_specs: &[RunSpec], delays: &[(u64, u64)]) -> Vec<(u64, usize, TargetRun, u64)> {
    let mut all = Vec::new();
    let mut ms = 0;
    for (i, run_spec) in run_specs.iter().enumerate() {
        ms += run_spec.gap_ms;
        let born = (10_000_000 + ms).checked_add_signed(run_spec.clock_ms).unwrap();
        let id = if run_spec.old_id { "i-0".to_owned() } else { format!("i-{i}") };
        for number in 1..=run_spec.heartbeats {
            let held = delays.iter().filter(|(from, len)| (*from..from + len).contains(&ms));
            let arrives = held.map(|(from, len)| from + len).max().unwrap_or(ms);
            all.push((arrives, i, run(&id, born), number));
            ms += 1200;
        }
    }
    all.sort_by_key(|(ms, ..)| *ms);
    all
}

/// Returns a configuration with a fixed seed, so that every test run has the same cases.
fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(11), cases: 3000, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// As long as clocks do not jump, no run replaces a later one, and each heartbeat number counts once.
    #[test]
    fn runs_in_order(
        run_specs in prop::collection::vec(run_spec(0..1), 1..5),
        delays in delays(),
        restart in 0..40_usize,
    ) {
        let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
        let (mut newest, mut last) = (0, 0);
        for (n, (ms, i, name, number)) in arrivals(&run_specs, &delays).into_iter().enumerate() {
            if n == restart {
                // The agent has restarted and knows no run.
                runs = TargetRuns::new(HEARTBEAT_INTERVAL);
                (newest, last) = (0, 0);
            }
            match runs.heartbeat(&name, number, at(ms)) {
                HeartbeatOutcome::NewRun(predecessor) => {
                    prop_assert!(i > newest || predecessor == Predecessor::None);
                    (newest, last) = (i, number);
                }
                HeartbeatOutcome::Current => {
                    prop_assert!(i == newest && number > last);
                    last = number;
                }
                HeartbeatOutcome::Late => prop_assert!(i < newest || number <= last),
            }
        }
    }

    /// However clocks jump, a run that keeps sending heartbeats is the current one in the end, and
    /// only a run with a later start time proves that its predecessor has ended.
    #[test]
    fn live_run_wins(
        run_specs in prop::collection::vec(run_spec(-4000..4000), 1..4),
        delays in delays(),
    ) {
        let mut runs = TargetRuns::new(HEARTBEAT_INTERVAL);
        let mut current: Option<TargetRun> = None;
        let heard = arrivals(&run_specs, &delays);
        let end = heard.last().map_or(0, |(ms, ..)| *ms);
        let (_, _, name, number) = heard.iter().max_by_key(|(_, i, _, number)| (*i, *number)).cloned().unwrap();
        for (ms, _, name, number) in heard {
            let outcome = runs.heartbeat(&name, number, at(ms));
            if let HeartbeatOutcome::NewRun(predecessor) = outcome {
                if matches!(predecessor, Predecessor::Ended { .. }) {
                    prop_assert_eq!(name.later_than(current.as_ref().unwrap()), Some(true));
                }
                current = Some(name);
            }
        }
        let mut ms = end;
        for more in 1..=5 {
            ms += 1200;
            runs.heartbeat(&name, number + more, at(ms));
        }
        prop_assert!(runs.is_current(&name));
    }
}

/// The first heartbeats of a target that starts together with its agent may not have reached the agent.
#[rstest]
#[case::after_it(1_000_400, true)]
#[case::with_it(999_950, true)]
#[case::before_it(999_800, false)]
fn started_with_its_agent(#[case] started: u64, #[case] with: bool) {
    assert_eq!(run("a", started).started_with(NOW), with);
    assert!(!undated("a").started_with(NOW));
}
