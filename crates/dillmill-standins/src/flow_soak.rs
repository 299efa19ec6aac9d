//! A randomized soak of packet flows: real processes, faults from outside, promises checked meanwhile by
//! what callers and targets see.
//!
//! Everything that is drawn comes from the seed; how processes and callers interleave does not.

mod expectations;
mod faults;
mod soak_report;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use expectations::{Facts, Shared};
use faults::Faults;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
pub use soak_report::SoakReport;

use crate::flow_caller::FlowError;
use crate::flow_fleet::FleetLayout;
use crate::{FlowCaller, FlowFleet, StandinError};

/// How long after a change of the route an old service may still get new flows.
const IN_FORCE: Duration = Duration::from_secs(3);
const CALLERS: u8 = 6;
const SERVICES: [&str; 2] = ["orders", "labels"];
const TARGETS: u8 = 3;
const BALANCERS: u8 = 3;
/// Seeds from this one on are played with balancers that have thin links, so that packets wait there. Earlier ones stay as they
/// were when they failed.
const THIN_FROM: u64 = 300;
/// Some 100 kB a second: the callers' packets and the messages between processes fill it now and then.
const THIN_LINK: &str = "0.8 Mbit/s";
/// Seeds from this one on are played in two data centres, of which one is evacuated now and then.
const ZONES_FROM: u64 = 400;
const ZONES: u8 = 2;

/// Runs a soak of `length` with everything drawn from `seed`.
///
/// # Errors
///
/// Fails when the fleet can't be started or does not recover.
pub async fn run(seed: u64, length: Duration) -> Result<SoakReport, StandinError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let link = THIN_LINK.parse().ok().filter(|_| seed >= THIN_FROM);
    let services = SERVICES.map(|s| (s, TARGETS));
    let zones = if seed >= ZONES_FROM { ZONES } else { 1 };
    let layout = FleetLayout { link, zones };
    let mut fleet = FlowFleet::start_as(layout, BALANCERS, &services).await?;
    let started = Instant::now();
    let names: Vec<String> = SERVICES
        .iter()
        .flat_map(|service| (1..=TARGETS).map(move |n| format!("{service}-{n}")))
        .collect();
    let expectations = Rc::new(RefCell::new(Facts {
        started,
        report: SoakReport::default(),
        living: names.iter().cloned().collect(),
        disturbed: BTreeMap::new(),
        routes: vec![(started.checked_sub(IN_FORCE).unwrap_or(started), SERVICES[0])],
        evacuated: None,
    }));
    let mut tasks = Vec::new();
    for n in 0..CALLERS {
        let caller = fleet.caller(n).await?;
        let load =
            call(caller, fleet.route(), expectations.clone(), rng.random(), started + length);
        tasks.push(compio::runtime::spawn(load));
    }
    let mut faults =
        Faults { rng, names, expectations: expectations.clone(), runs: 0, version: 1, zones };
    while started.elapsed() < length {
        faults.next(&mut fleet).await?;
        let pause = faults.rng.random_range(50..700);
        compio::time::sleep(Duration::from_millis(pause)).await;
    }
    for task in tasks {
        task.await.map_err(|_| StandinError::new("join a caller", "it panicked"))?;
    }
    faults.settle(&mut fleet).await?;
    let mut report = std::mem::take(&mut expectations.borrow_mut().report);
    if !report.broken.is_empty() {
        report.logs = Some(fleet.keep_logs());
    }
    Ok(report)
}

/// Runs a soak for each seed and prints what came of it.
///
/// # Errors
///
/// Fails when a promise was broken, after the last seed.
pub async fn run_seeds(seeds: std::ops::Range<u64>, length: Duration) -> Result<(), StandinError> {
    let mut failed = Vec::new();
    for seed in seeds {
        let report = match Box::pin(run(seed, length)).await {
            Ok(report) => report,
            Err(e) => SoakReport { broken: vec![e.to_string()], ..SoakReport::default() },
        };
        println!(
            "seed {seed}: {} answered, {} ended, {} actions, {} broken",
            report.answered,
            report.ended,
            report.actions.len(),
            report.broken.len()
        );
        if !report.broken.is_empty() {
            for line in report.actions.iter().chain(&report.broken) {
                println!("  {line}");
            }
            if let Some(logs) = &report.logs {
                println!("  logs are in {}", logs.display());
            }
            failed.push(seed.to_string());
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(StandinError::new("soak", format!("promises broken with seeds {}", failed.join(" "))))
}

/// A caller that keeps one flow for many requests and opens others for one each.
async fn call(
    caller: FlowCaller,
    route: SocketAddrV4,
    expectations: Shared,
    seed: u64,
    until: Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept = None;
    while Instant::now() < until {
        let fresh = rng.random_ratio(1, 3);
        let at = Instant::now();
        let (mut flow, owner) = if let Some(open) = kept.take().filter(|_| !fresh) {
            open
        } else if let Ok(flow) = caller.open(route).await {
            (flow, (None, at))
        } else {
            expectations.borrow_mut().report.ended += 1;
            continue;
        };
        let (before, opened) = owner;
        match flow.request().await {
            Ok(run) => {
                expectations.borrow_mut().check_answer(before.as_deref(), &run, opened);
                kept = Some((flow, (Some(run), opened)));
            }
            Err(FlowError::Reset) => match before {
                Some(run) => expectations.borrow_mut().check_reset(&run),
                None => expectations.borrow_mut().report.ended += 1,
            },
            Err(FlowError::Silent) => expectations.borrow_mut().report.ended += 1,
        }
        compio::time::sleep(Duration::from_millis(rng.random_range(10..120))).await;
    }
}
