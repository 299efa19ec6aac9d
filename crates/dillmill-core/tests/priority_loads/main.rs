//! Tests what callers of two priorities get while a target has lasting load beyond its slots.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use simulation::{FEED, PAYMENT, PER_SECOND, Simulation, Tally};

mod simulation;

/// Payments were stuck behind feeds, whose requests went straight to the target. Feeds must keep
/// being served meanwhile: no more of them may fail than the target has no slots for.
#[test]
fn payments_not_behind_feeds() {
    let load = |_| 1.2;
    let [payments_before, _] = Simulation::new(false).run(load);
    let [payments, feeds] = Simulation::new(true).run(load);
    assert!(payments_before.in_time < 0.3, "{payments_before:?}");
    assert!(payments.in_time > 0.95 && payments.unserved < 0.001, "{payments:?}");
    assert!(feeds.in_time > 0.5 && feeds.unserved < 1.0 - 1.0 / 1.2, "{feeds:?}");
}

/// Requests that a swing of the load leaves behind are served late instead of never.
#[test]
fn swing_leaves_fewer_unserved() {
    let load = |second| if second % 10 < 5 { 1.25 } else { 0.7 };
    let unserved = |tallies: [Tally; 2]| {
        PER_SECOND[PAYMENT] * tallies[PAYMENT].unserved + PER_SECOND[FEED] * tallies[FEED].unserved
    };
    let (before, after) = (Simulation::new(false).run(load), Simulation::new(true).run(load));
    assert!(unserved(after) < 0.8 * unserved(before), "{before:?} {after:?}");
    assert!(after[PAYMENT].in_time > 0.95 && after[FEED].unserved < 0.06, "{after:?}");
}

/// Returns what callers of each kind get of the full value of their requests, over 16 seeds.
fn worth(speed: f64, load: fn(u64) -> f64) -> [f64; 2] {
    let mut worth = [0.0; 2];
    for seed in 1..=16 {
        let mut simulation = Simulation::new(true);
        simulation.rng = StdRng::seed_from_u64(seed);
        (simulation.speed, simulation.heavy_tail) = (speed, true);
        let tallies = simulation.run(load);
        for (sum, tally) in worth.iter_mut().zip(tallies) {
            *sum += (tally.in_time + 0.5 * tally.late) / 16.0;
        }
    }
    worth
}

/// Requests of the lower priority were late although they could have been in time: the order went by
/// 55 % of the objective, of which a slow target needs most for the request itself, and newer requests
/// overtook older ones in each burst. In 48 runs, they got .834, .832 and .827 of their worth, and then
/// .914, .859 and .842.
#[rstest]
#[case::slow(0.55, |_| 0.9, [0.97, 0.90])]
#[case::peak(1.2, |_| 1.05, [0.98, 0.855])]
#[case::swing(1.2, |second| if second % 10 < 5 { 1.25 } else { 0.7 }, [0.98, 0.837])]
fn lower_priority_pays_little(
    #[case] speed: f64,
    #[case] load: fn(u64) -> f64,
    #[case] least: [f64; 2],
) {
    let worth = worth(speed, load);
    assert!(worth[PAYMENT] > least[PAYMENT] && worth[FEED] > least[FEED], "{worth:?}");
}
