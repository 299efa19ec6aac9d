//! Tests `dillmillctl load` on real processes. Guard against agents whose load does not reach the status
//! of their process, so that operators see a busy service as one without any load.

use std::time::{Duration, Instant};

use dillmill_standins::cluster::CtlOutput;
use dillmill_standins::{Cluster, ClusterSpec, FlowFleet, StandinError};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of agents of the service in each test.
const AGENTS: usize = 2;

fn on_runtime(test: impl Future<Output = Result<(), StandinError>>) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(test).unwrap();
}

/// Asks for the load until `expected` accepts the list of agents.
async fn wait_for(
    ctl: impl Fn() -> Result<CtlOutput, StandinError>,
    expected: impl Fn(&[Value]) -> bool,
) -> Result<(), StandinError> {
    let started = Instant::now();
    loop {
        let output = ctl()?;
        let load: Value = serde_json::from_str(&output.out).unwrap_or_default();
        let agents = load["agents"].as_array().cloned().unwrap_or_default();
        if output.code == 0 && agents.len() == AGENTS && expected(&agents) {
            return Ok(());
        }
        assert!(started.elapsed() < TIMEOUT, "{output:?}");
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn packet_flows_shown() {
    on_runtime(async {
        let fleet = FlowFleet::start(1, &[("orders", 2)]).await?;
        let caller = fleet.caller(0).await?;
        let mut open = Vec::new();
        let started = Instant::now();
        while open.len() < 6 && started.elapsed() < TIMEOUT {
            open.extend(caller.open(fleet.route()).await.ok());
        }
        let ctl = || fleet.ctl("balancer-1", &["load", "orders", "--json"]);
        wait_for(ctl, |agents| {
            let answers = agents.iter().map(|agent| &agent["answer"]);
            let flows: u64 = answers.clone().filter_map(|a| a["flows"].as_u64()).sum();
            let complete = |answer: &Value| {
                let load = &answer["load"];
                load["slots"].as_u64() > Some(0)
                    && load["waiting_by_class"] == serde_json::json!([0, 0, 0, 0])
                    && load["flow_demand"].is_u64()
                    && answer["evacuated"] == false
            };
            flows == 6 && answers.clone().all(complete)
        })
        .await?;
        let table = fleet.ctl("balancer-1", &["load", "orders"])?;
        assert_eq!((table.code, table.out.lines().count()), (0, AGENTS + 1), "{table:?}");
        Ok(())
    });
}

#[test]
fn http3_agents_shown() {
    on_runtime(async {
        let cluster = Box::pin(Cluster::start(ClusterSpec::default())).await?;
        let ctl = || cluster.ctl(&["load", "cotiza", "--json"]);
        wait_for(ctl, |agents| {
            let loads = agents.iter().map(|agent| &agent["answer"]["load"]);
            let mut complete = loads.map(|load| {
                load["slots"] == 5 && load["waiting"] == 0 && load["waiting_by_class"].is_null()
            });
            complete.all(|complete| complete)
        })
        .await
    });
}
