//! New flows while targets leave that have only just started, so that processes do not know all agents yet.

use std::time::{Duration, Instant};

use dillmill_standins::{FlowCaller, FlowError, FlowFleet, StandinError};
use futures_util::future::join_all;

const CALLERS: u8 = 8;
const TARGETS: u8 = 8;
/// Targets that leave at once; the others serve on.
const LEAVING: u8 = 5;

/// Opens flows one after the other until `until`, and returns how those ended that were not opened.
async fn open_flows(caller: &FlowCaller, fleet: &FlowFleet, until: Instant) -> Vec<FlowError> {
    let mut failed = Vec::new();
    while Instant::now() < until {
        failed.extend(caller.open(fleet.route()).await.err());
    }
    failed
}

/// Guards against refusals of new flows by an agent whose target leaves before the agent knows that its siblings
/// serve. Found in soaks with seeds 10 and 9229.
#[test]
fn early_leave_served() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    let test = async {
        let fleet = FlowFleet::start(3, &[("orders", TARGETS)]).await?;
        let mut callers = Vec::new();
        for n in 0..CALLERS {
            callers.push(fleet.caller(n).await?);
        }
        for n in 1..=LEAVING {
            fleet.target(&format!("orders-{n}"))?.drain();
        }
        let until = Instant::now() + Duration::from_millis(500);
        let failed = join_all(callers.iter().map(|c| open_flows(c, &fleet, until))).await.concat();
        assert_eq!(failed, []);
        Ok::<(), StandinError>(())
    };
    runtime.block_on(test).unwrap();
}
