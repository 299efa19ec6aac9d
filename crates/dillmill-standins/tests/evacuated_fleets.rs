//! Evacuated data centres, on real processes: what callers and targets see.

use std::time::Duration;

use dillmill_standins::flow_fleet::{FleetLayout, wait};
use dillmill_standins::flow_target::FlowTarget;
use dillmill_standins::platform::PlatformFaults;
use dillmill_standins::{FlowCaller, FlowError, FlowFleet, OpenFlow, StandinError};

const LIMIT: Duration = Duration::from_secs(15);
/// Targets are in `zone-1` and `zone-2` by turns.
const LAYOUT: FleetLayout = FleetLayout { link: None, zones: 2 };
/// The evacuated ones.
const EVEN: [&str; 2] = ["orders-2", "orders-4"];

fn on_runtime(test: impl Future<Output = Result<(), StandinError>>) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(test).unwrap();
}

/// Opens `n` flows and asks on each; returns them with the targets that have answered.
async fn ask_new<'a>(
    caller: &'a FlowCaller,
    fleet: &FlowFleet,
    n: usize,
) -> Vec<(OpenFlow<'a>, String)> {
    let mut answered = Vec::new();
    for _ in 0..n * 10 {
        if let Ok(mut flow) = caller.open(fleet.route()).await
            && let Ok(target) = flow.request().await
        {
            answered.push((flow, target));
        }
        if answered.len() == n {
            return answered;
        }
    }
    panic!("{} of {n} flows answered", answered.len());
}

fn opened(fleet: &FlowFleet) -> Result<u64, StandinError> {
    EVEN.iter().map(|vm| fleet.target(vm).map(FlowTarget::opened)).sum()
}

/// Waits until flows are opened at targets of the second data centre too.
async fn wait_for_all(caller: &FlowCaller, fleet: &FlowFleet) -> Result<(), StandinError> {
    let before = opened(fleet)?;
    let started = std::time::Instant::now();
    while opened(fleet)? == before {
        assert!(started.elapsed() < LIMIT, "no flow at {EVEN:?}");
        ask_new(caller, fleet, 4).await;
    }
    Ok(())
}

/// Waits until all processes know how many data centres are evacuated.
async fn known(fleet: &mut FlowFleet, zones: f64) -> Result<(), StandinError> {
    let names = ["balancer-1", "balancer-2", "orders-1", "orders-2", "orders-3", "orders-4"];
    let started = std::time::Instant::now();
    for name in names {
        let mut shown = -1.0;
        while (shown - zones).abs() > 0.1 {
            assert!(started.elapsed() < LIMIT, "{name} knows of {shown}, not {zones}");
            shown = fleet.metric(name, "dillmill_evacuated_data_centres").await.unwrap_or(-1.0);
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

#[test]
fn evacuated_gets_nothing_new() {
    on_runtime(async {
        let mut fleet = FlowFleet::start_as(LAYOUT, 2, &[("orders", 4)]).await?;
        let caller = fleet.caller(0).await?;
        wait_for_all(&caller, &fleet).await?;
        let mut flows = ask_new(&caller, &fleet, 12).await;
        fleet.evacuate("zone-2", true).await?;
        known(&mut fleet, 1.0).await?;
        let before = opened(&fleet)?;
        let later = ask_new(&caller, &fleet, 20).await;
        assert!(later.iter().all(|(_, target)| !EVEN.contains(&target.as_str())));
        for (flow, target) in &mut flows {
            assert_eq!(flow.request().await.as_ref(), Ok(&*target), "an open flow stays");
        }
        assert_eq!(opened(&fleet)?, before);
        fleet.evacuate("zone-2", false).await?;
        known(&mut fleet, 0.0).await?;
        wait_for_all(&caller, &fleet).await?;
        Ok(())
    });
}

/// Processes that start while the store is away learn from their peers what was ordered before.
#[test]
fn restarted_ones_know_it() {
    on_runtime(async {
        let mut fleet = FlowFleet::start_as(LAYOUT, 2, &[("orders", 4)]).await?;
        let caller = fleet.caller(0).await?;
        wait_for_all(&caller, &fleet).await?;
        fleet.evacuate("zone-2", true).await?;
        known(&mut fleet, 1.0).await?;
        fleet.store_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
        let before = opened(&fleet)?;
        for vm in ["balancer-1", "orders-2", "orders-4"] {
            fleet.kill(vm)?;
            fleet.run(vm)?;
        }
        let router = fleet.router();
        wait(LIMIT, "the balancer's return", || router.ready() == 2).await?;
        let later = ask_new(&caller, &fleet, 20).await;
        assert!(later.iter().all(|(_, target)| !EVEN.contains(&target.as_str())));
        assert_eq!(opened(&fleet)?, before);
        Ok(())
    });
}

/// Nothing is left to serve a new flow: its caller hears it at once, not at the end of its patience.
#[test]
fn all_evacuated_refused_at_once() {
    on_runtime(async {
        let mut fleet = FlowFleet::start_as(LAYOUT, 2, &[("orders", 4)]).await?;
        let caller = fleet.caller(0).await?;
        wait_for_all(&caller, &fleet).await?;
        let mut flows = ask_new(&caller, &fleet, 4).await;
        fleet.evacuate("Zone_2", true).await?;
        fleet.evacuate("zone-2", true).await?;
        fleet.evacuate("zone-1", true).await?;
        known(&mut fleet, 2.0).await?;
        // A balancer that has only just started waits for what it may not know yet.
        compio::time::sleep(Duration::from_secs(2)).await;
        for _ in 0..5 {
            let started = std::time::Instant::now();
            assert_eq!(caller.open(fleet.route()).await.err(), Some(FlowError::Reset));
            assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
        }
        for (flow, target) in &mut flows {
            assert_eq!(flow.request().await.as_ref(), Ok(&*target), "an open flow stays");
        }
        fleet.evacuate("zone-1", false).await?;
        known(&mut fleet, 1.0).await?;
        let later = ask_new(&caller, &fleet, 6).await;
        assert!(later.iter().all(|(_, target)| !EVEN.contains(&target.as_str())));
        Ok(())
    });
}
