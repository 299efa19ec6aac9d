//! Tests on real processes that flows may rest for as long as the configuration says.
//!
//! Guards against resets of resting flows: agents forgot a flow 20 to 40 s after its last packet, whatever
//! the configured idle timeout, and a search then proved that nobody held it
//! (docs/incidents/resting-flows-reset.md).

use std::time::{Duration, Instant};

use dillmill_core::Interval;
use dillmill_standins::flow_fleet::FleetLayout;
use dillmill_standins::{FlowCaller, FlowFleet, StandinError};

const IDLE_TIMEOUT: Interval = Interval::from_millis(50_000);
/// Twice the time after which a flow was forgotten at the earliest.
const REST: Duration = Duration::from_secs(41);
const FLOWS: usize = 6;

async fn rest(caller: &FlowCaller, fleet: &FlowFleet) -> Result<(), StandinError> {
    let mut resting = Vec::new();
    while resting.len() < FLOWS {
        let Ok(mut flow) = caller.open(fleet.route()).await else { continue };
        if let Ok(target) = flow.request().await {
            resting.push((flow, target));
        }
    }
    // Tables of flows only drop entries while they are used.
    let started = Instant::now();
    while started.elapsed() < REST {
        if let Ok(mut flow) = caller.open(fleet.route()).await {
            let _ = flow.request().await;
        }
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    for (flow, target) in &mut resting {
        assert_eq!(flow.request().await.ok().as_ref(), Some(&*target), "after {REST:?} of rest");
    }
    Ok(())
}

#[test]
fn resting_flows_survive() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let layout = FleetLayout { idle_timeout: IDLE_TIMEOUT, ..FleetLayout::default() };
        let fleet = FlowFleet::start_with_layout(layout, 2, &[("orders", 3)]).await.unwrap();
        let caller = fleet.caller(0).await.unwrap();
        rest(&caller, &fleet).await.unwrap();
    });
}
