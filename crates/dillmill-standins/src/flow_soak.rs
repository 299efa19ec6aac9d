//! Randomized soak test of packet flows: runs real processes, injects faults, and checks the guarantees by
//! what callers and targets observe.
//!
//! All random choices come from the seed; the interleaving of processes and callers does not.

mod burst;
mod expectations;
mod faults;
mod outages;
mod planned;
mod soak_plan;
mod soak_report;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use expectations::{Expectations, SharedExpectations};
use faults::Faults;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use soak_plan::SoakPlan;
pub use soak_report::SoakReport;

use crate::flow_caller::FlowError;
use crate::{FlowCaller, FlowFleet, StandinError};

/// Time after a change of the route or an evacuation order during which new flows may still follow the old
/// state.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
const SERVICES: [&str; 2] = ["orders", "labels"];

/// File in the folder of the logs that holds the seed, the violations and the actions of a failed run.
const REPORT_FILE: &str = "report.txt";

/// Runs a soak for `length` with all random choices drawn from `seed`.
///
/// # Errors
///
/// Fails when the fleet can't be started or the report of a failed run can't be written.
pub async fn run(seed: u64, length: Duration) -> Result<SoakReport, StandinError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = SoakPlan::of(seed);
    let services = SERVICES.map(|s| (s, plan.targets));
    let mut fleet = FlowFleet::start_with_layout(plan.layout, plan.balancers, &services).await?;
    let started = Instant::now();
    let names: Vec<String> = SERVICES
        .iter()
        .flat_map(|service| (1..=plan.targets).map(move |n| format!("{service}-{n}")))
        .collect();
    let expectations = Rc::new(RefCell::new(Expectations {
        started,
        report: SoakReport::default(),
        live_runs: names.iter().cloned().collect(),
        last_faults: BTreeMap::new(),
        last_changes: BTreeMap::new(),
        last_burst: None,
        routes: vec![(started.checked_sub(PROPAGATION_LIMIT).unwrap_or(started), SERVICES[0])],
        evacuated: None,
        planned: plan.planned,
    }));
    let mut tasks = Vec::new();
    for n in 0..plan.callers {
        let caller = fleet.caller(n).await?;
        let route =
            if plan.layout.overload && n % 2 == 0 { fleet.urgent_route() } else { fleet.route() };
        let load = run_caller(caller, route, expectations.clone(), rng.random(), started + length);
        tasks.push(compio::runtime::spawn(load));
    }
    let mut faults = Faults {
        rng,
        names,
        expectations: expectations.clone(),
        runs: 0,
        version: 1,
        plan,
        stopping: BTreeSet::new(),
        burst_caller: Rc::new(fleet.caller(plan.callers + 1).await?),
    };
    let outcome = inject_faults(&mut faults, &mut fleet, tasks, started + length).await;
    if let Err(e) = outcome {
        expectations.borrow_mut().log_violation(&e.to_string());
    }
    let mut report = std::mem::take(&mut expectations.borrow_mut().report);
    if !report.violations.is_empty() {
        let logs = fleet.keep_logs();
        std::fs::write(logs.join(REPORT_FILE), format!("seed {seed}\n{report:#?}\n"))
            .map_err(StandinError::at("write the report"))?;
        report.logs = Some(logs);
    }
    Ok(report)
}

/// Injects faults until `until`, waits for the callers, and checks that the fleet has recovered.
async fn inject_faults(
    faults: &mut Faults,
    fleet: &mut FlowFleet,
    callers: Vec<JoinHandle<()>>,
    until: Instant,
) -> Result<(), StandinError> {
    if faults.plan.planned {
        faults.run_planned(fleet, until).await?;
    } else {
        while Instant::now() < until {
            faults.next(fleet).await?;
            let pause = faults.rng.random_range(50..700);
            compio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
    for task in callers {
        task.await.map_err(|_| StandinError::new("join a caller", "it panicked"))?;
    }
    faults.check_recovery(fleet).await
}

/// Runs a soak for each seed and prints its result.
///
/// # Errors
///
/// Fails after the last seed if a guarantee was violated in any run.
pub async fn run_seeds(seeds: std::ops::Range<u64>, length: Duration) -> Result<(), StandinError> {
    let mut failed = Vec::new();
    for seed in seeds {
        let report = match Box::pin(run(seed, length)).await {
            Ok(report) => report,
            Err(e) => SoakReport { violations: vec![e.to_string()], ..SoakReport::default() },
        };
        println!(
            "seed {seed}: {} answered, {} ended, {} actions, {} broken",
            report.answered,
            report.ended_unanswered,
            report.actions.len(),
            report.violations.len()
        );
        if !report.violations.is_empty() {
            for line in report.actions.iter().chain(&report.violations) {
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
    Err(StandinError::new("soak", format!("guarantees violated with seeds {}", failed.join(" "))))
}

/// Runs a caller that sends many requests on one flow, and opens others in between for single requests.
async fn run_caller(
    caller: FlowCaller,
    route: SocketAddrV4,
    expectations: SharedExpectations,
    seed: u64,
    until: Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept = None;
    while Instant::now() < until {
        let fresh = rng.random_ratio(1, 3);
        let at = Instant::now();
        let open = match kept.take().filter(|_| !fresh) {
            Some(open) => Ok(open),
            None => caller.open(route).await.map(|flow| (flow, (None, at))),
        };
        let (mut flow, (before, opened)) = match open {
            Ok(open) => open,
            Err(e) => {
                expectations.borrow_mut().check_new_flow_end(e, false, at);
                continue;
            }
        };
        match (flow.request().await, before) {
            (Ok(run), before) => {
                expectations.borrow_mut().check_answer(before.as_deref(), &run, opened);
                kept = Some((flow, (Some(run), opened)));
            }
            (Err(FlowError::Reset), Some(run)) => {
                expectations.borrow_mut().check_reset_allowed(&run);
            }
            (Err(FlowError::Silent), Some(run)) => {
                expectations.borrow_mut().check_silence_allowed(&run, at);
            }
            (Err(e), None) => expectations.borrow_mut().check_new_flow_end(e, true, opened),
        }
        compio::time::sleep(Duration::from_millis(rng.random_range(10..120))).await;
    }
}
