//! Tests of evacuated data centres with real processes, observed by callers and targets.

use std::time::Duration;

use dillmill_core::Interval;
use dillmill_standins::flow_fleet::{FleetLayout, wait};
use dillmill_standins::flow_target::FlowTarget;
use dillmill_standins::platform::PlatformFaults;
use dillmill_standins::{FlowCaller, FlowError, FlowFleet, OpenFlow, StandinError};

const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Targets alternate between `zone-1` and `zone-2`.
const LAYOUT: FleetLayout = FleetLayout {
    link: None,
    zones: 2,
    overload: false,
    idle_timeout: Interval::from_millis(15_000),
};
/// VMs of the targets in `zone-2`, which the tests evacuate.
const EVACUATED_VMS: [&str; 2] = ["orders-2", "orders-4"];

fn on_runtime(test: impl Future<Output = Result<(), StandinError>>) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(test).unwrap();
}

/// Opens `n` flows and sends a request on each; returns them with the names of the targets that answered.
async fn open_and_request<'a>(
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
    EVACUATED_VMS.iter().map(|vm| fleet.target(vm).map(FlowTarget::opened)).sum()
}

/// Opens flows until one is opened at a target of the second data centre.
async fn wait_for_evacuable_targets(
    caller: &FlowCaller,
    fleet: &FlowFleet,
) -> Result<(), StandinError> {
    let before = opened(fleet)?;
    let started = std::time::Instant::now();
    while opened(fleet)? == before {
        assert!(started.elapsed() < WAIT_TIMEOUT, "no flow was opened at {EVACUATED_VMS:?}");
        open_and_request(caller, fleet, 4).await;
    }
    Ok(())
}

/// Waits until the metric of every process shows this number of evacuated data centres.
async fn wait_for_evacuations(fleet: &mut FlowFleet, zones: f64) -> Result<(), StandinError> {
    let names = ["balancer-1", "balancer-2", "orders-1", "orders-2", "orders-3", "orders-4"];
    let started = std::time::Instant::now();
    for name in names {
        let mut shown = -1.0;
        while (shown - zones).abs() > 0.1 {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{name} shows {shown} evacuated data centres, not {zones}"
            );
            shown = fleet.metric(name, "dillmill_evacuated_data_centres").await.unwrap_or(-1.0);
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

#[test]
fn evacuated_gets_nothing_new() {
    on_runtime(async {
        let mut fleet = FlowFleet::start_with_layout(LAYOUT, 2, &[("orders", 4)]).await?;
        let caller = fleet.caller(0).await?;
        wait_for_evacuable_targets(&caller, &fleet).await?;
        let mut flows = open_and_request(&caller, &fleet, 12).await;
        fleet.evacuate("zone-2", true).await?;
        wait_for_evacuations(&mut fleet, 1.0).await?;
        let before = opened(&fleet)?;
        let later = open_and_request(&caller, &fleet, 20).await;
        assert!(later.iter().all(|(_, target)| !EVACUATED_VMS.contains(&target.as_str())));
        for (flow, target) in &mut flows {
            assert_eq!(flow.request().await.as_ref(), Ok(&*target), "an open flow stays");
        }
        assert_eq!(opened(&fleet)?, before);
        fleet.evacuate("zone-2", false).await?;
        wait_for_evacuations(&mut fleet, 0.0).await?;
        wait_for_evacuable_targets(&caller, &fleet).await?;
        Ok(())
    });
}

/// A process that starts while the store is unreachable must not send new flows to an evacuated data
/// centre: it learns the evacuation orders from its peers.
#[test]
fn restarted_ones_know_it() {
    on_runtime(async {
        let mut fleet = FlowFleet::start_with_layout(LAYOUT, 2, &[("orders", 4)]).await?;
        let caller = fleet.caller(0).await?;
        wait_for_evacuable_targets(&caller, &fleet).await?;
        fleet.evacuate("zone-2", true).await?;
        wait_for_evacuations(&mut fleet, 1.0).await?;
        fleet.store_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
        let before = opened(&fleet)?;
        for vm in ["balancer-1", "orders-2", "orders-4"] {
            fleet.kill(vm)?;
            fleet.run(vm)?;
        }
        let router = fleet.router();
        wait(WAIT_TIMEOUT, "the balancer's return", || router.ready() == 2).await?;
        let later = open_and_request(&caller, &fleet, 20).await;
        assert!(later.iter().all(|(_, target)| !EVACUATED_VMS.contains(&target.as_str())));
        assert_eq!(opened(&fleet)?, before);
        Ok(())
    });
}

/// With all data centres evacuated no target can serve a new flow. Its caller must be reset immediately
/// instead of waiting for its attempt timeout.
#[test]
fn all_evacuated_refused_at_once() {
    on_runtime(async {
        let mut fleet = FlowFleet::start_with_layout(LAYOUT, 2, &[("orders", 4)]).await?;
        let caller = fleet.caller(0).await?;
        wait_for_evacuable_targets(&caller, &fleet).await?;
        let mut flows = open_and_request(&caller, &fleet, 4).await;
        fleet.evacuate("Zone_2", true).await?;
        fleet.evacuate("zone-2", true).await?;
        fleet.evacuate("zone-1", true).await?;
        wait_for_evacuations(&mut fleet, 2.0).await?;
        // A balancer that has just started waits for state that it may not have received yet.
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
        wait_for_evacuations(&mut fleet, 1.0).await?;
        let later = open_and_request(&caller, &fleet, 6).await;
        assert!(later.iter().all(|(_, target)| !EVACUATED_VMS.contains(&target.as_str())));
        Ok(())
    });
}
