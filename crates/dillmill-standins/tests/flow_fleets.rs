//! Packet flows through real processes: what callers see while balancers, agents, targets, settings
//! and the store change.

use std::time::Duration;

use dillmill_standins::flow_fleet::wait;
use dillmill_standins::platform::PlatformFaults;
use dillmill_standins::{FlowCaller, FlowError, FlowFleet, OpenFlow, StandinError};
use futures_util::future::join_all;
use rstest::rstest;

const LIMIT: Duration = Duration::from_secs(15);
/// A setting is to be in force this long after it was accepted, whatever has become of connections.
const NOTICED: Duration = Duration::from_secs(8);

fn on_runtime(test: impl Future<Output = Result<(), StandinError>>) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(test).unwrap();
}

/// Opens flows until `n` are open; tries that end are made again, as callers do.
async fn open<'a>(caller: &'a FlowCaller, fleet: &FlowFleet, n: usize) -> Vec<OpenFlow<'a>> {
    let mut flows = Vec::new();
    for _ in 0..n * 10 {
        if let Ok(flow) = caller.open(fleet.route()).await {
            flows.push(flow);
        }
        if flows.len() == n {
            return flows;
        }
    }
    panic!("{} of {n} flows open", flows.len());
}

/// Opens flows until the first target has one: its agent serves from its first heartbeat on, which may come
/// after the first flows.
async fn open_until_first<'a>(
    caller: &'a FlowCaller,
    fleet: &FlowFleet,
) -> Result<Vec<OpenFlow<'a>>, StandinError> {
    let mut flows = open(caller, fleet, 6).await;
    let started = std::time::Instant::now();
    while fleet.target("orders-1")?.opened() == 0 && started.elapsed() < LIMIT {
        flows.extend(open(caller, fleet, 3).await);
    }
    Ok(flows)
}

/// Asks on every flow, and returns who answered.
async fn ask(flows: &mut [OpenFlow<'_>]) -> Vec<Result<String, FlowError>> {
    let mut answers = Vec::new();
    for flow in flows {
        answers.push(flow.request().await);
    }
    answers
}

#[test]
fn flows_survive_balancers() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(3, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 12).await;
        let owners = ask(&mut flows).await;
        assert!(owners.iter().all(Result::is_ok), "{owners:?}");
        fleet.kill("balancer-2")?;
        assert_eq!(ask(&mut flows).await, owners, "after a kill");
        fleet.run("balancer-2")?;
        wait(LIMIT, "the balancer's return", || fleet.router().ready() == 3).await?;
        assert_eq!(ask(&mut flows).await, owners, "after its return");
        assert!(fleet.stop("balancer-1").await?);
        assert_eq!(ask(&mut flows).await, owners, "after a planned stop");
        Ok(())
    });
}

#[test]
fn flows_survive_agents() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 12).await;
        let owners = ask(&mut flows).await;
        for n in 1..=3 {
            fleet.kill(&format!("orders-{n}"))?;
        }
        fleet.kill("balancer-1")?;
        for n in 1..=3 {
            fleet.run(&format!("orders-{n}"))?;
        }
        fleet.run("balancer-1")?;
        assert_eq!(ask(&mut flows).await, owners);
        Ok(())
    });
}

/// Requests that may not be repeated, on flows that stay open: each runs at one target once and its answer is whole,
/// while balancers are killed and targets are replaced, also under the old id.
#[test]
fn unrepeatable_requests_run_once() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(3, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 9).await;
        let mut ran = Vec::new();
        for round in 0..12 {
            match round {
                2 => fleet.kill("balancer-1")?,
                4 => fleet.run("balancer-1")?,
                3 | 6 => {
                    ran.push(fleet.target("orders-2")?.ran());
                    fleet.run_target("orders-2", &format!("orders-2/{round}")).await?;
                }
                8 => fleet.kill("balancer-2")?,
                9 => {
                    ran.push(fleet.target("orders-3")?.ran());
                    fleet.run_target("orders-3", "orders-3/2").await?;
                }
                _ => {}
            }
            let answers = join_all(flows.iter_mut().map(OpenFlow::request)).await;
            for (i, answer) in answers.iter().enumerate().rev() {
                match answer {
                    Ok(name) => assert!(name.starts_with("orders-"), "{name:?} is not whole"),
                    Err(_) => drop(flows.swap_remove(i)),
                }
            }
            let missing = 9 - flows.len();
            assert!(round > 2 || missing == 0, "round {round}: {answers:?}");
            if missing > 0 {
                flows.extend(open(&caller, &fleet, missing).await);
            }
        }
        for n in 1..=3 {
            ran.push(fleet.target(&format!("orders-{n}"))?.ran());
        }
        let all: Vec<_> = ran.iter().flatten().collect();
        let once: std::collections::BTreeSet<_> = all.iter().collect();
        assert!(all.len() >= 9 * 8, "{} requests have run", all.len());
        assert_eq!(all.len(), once.len(), "some have run at two targets");
        Ok(())
    });
}

#[test]
fn leaving_target_gets_nothing_new() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 9).await;
        let owners = ask(&mut flows).await;
        let leaving = fleet.target("orders-1")?;
        leaving.drain();
        wait(LIMIT, "the acknowledgement", || leaving.drain_acknowledged()).await?;
        let opened = leaving.opened();
        let mut later = open(&caller, &fleet, 20).await;
        let answers = ask(&mut later).await;
        assert!(answers.iter().all(|a| a.as_ref().is_ok_and(|id| id != "orders-1")), "{answers:?}");
        assert_eq!(leaving.opened(), opened);
        assert_eq!(ask(&mut flows).await, owners, "open flows stay");
        Ok(())
    });
}

#[test]
fn route_moves_for_new_flows_only() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 2), ("labels", 2)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 6).await;
        let owners = ask(&mut flows).await;
        assert!(owners.iter().all(|a| a.as_ref().is_ok_and(|id| id.starts_with("orders"))));
        fleet.set_route(5, "labels").await?;
        compio::time::sleep(Duration::from_secs(3)).await;
        let mut later = open(&caller, &fleet, 12).await;
        let answers = ask(&mut later).await;
        assert!(
            answers.iter().all(|a| a.as_ref().is_ok_and(|id| id.starts_with("labels"))),
            "{answers:?}"
        );
        assert_eq!(ask(&mut flows).await, owners, "open flows stay");
        Ok(())
    });
}

#[test]
fn store_outage_changes_nothing() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 2)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 6).await;
        let owners = ask(&mut flows).await;
        fleet.store_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
        // A process that starts meanwhile learns everything from its peers.
        fleet.kill("balancer-2")?;
        fleet.run("balancer-2")?;
        wait(LIMIT, "the balancer's return", || fleet.router().ready() == 2).await?;
        assert_eq!(ask(&mut flows).await, owners);
        open(&caller, &fleet, 6).await;
        Ok(())
    });
}

/// A run named `orders-1/2` goes by the id of the run before, `orders-1`.
#[rstest]
#[case::another_id("orders-1/1")]
#[case::old_id("orders-1/2")]
fn flows_of_an_ended_target_reset(#[case] run: &str) {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 2)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open_until_first(&caller, &fleet).await?;
        let owners = ask(&mut flows).await;
        assert!(owners.contains(&Ok("orders-1".to_owned())), "{owners:?}");
        fleet.run_target("orders-1", run).await?;
        for (flow, owner) in flows.iter_mut().zip(&owners) {
            let lost = owner.as_ref().is_ok_and(|id| id == "orders-1");
            assert_eq!(flow.reset_within(Duration::from_secs(2)).await, lost, "{owner:?}");
        }
        let started = std::time::Instant::now();
        while fleet.target("orders-1")?.opened() == 0 && started.elapsed() < LIMIT {
            open(&caller, &fleet, 3).await;
        }
        let leaving = fleet.target("orders-1")?;
        assert!(leaving.opened() > 0, "the new run serves");
        leaving.drain();
        wait(LIMIT, "the new run's leave", || leaving.drain_acknowledged()).await
    });
}

/// Found by a day with targets that crash and come back: a run takes its first flows before its first heartbeat.
#[test]
fn flows_of_a_silent_new_run_kept() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 1)]).await?;
        let caller = fleet.caller(0).await?;
        let mut lost = open_until_first(&caller, &fleet).await?;
        let silence = Duration::from_millis(600);
        fleet.run_silent_target("orders-1", "orders-1-again", silence).await?;
        let mut flows = open(&caller, &fleet, 6).await;
        let owners = ask(&mut flows).await;
        assert!(owners.iter().all(Result::is_ok), "{owners:?}");
        for flow in &mut lost {
            assert!(flow.reset_within(Duration::from_secs(2)).await, "of the earlier run");
        }
        compio::time::sleep(silence).await;
        assert_eq!(ask(&mut flows).await, owners, "after the first heartbeat");
        Ok(())
    });
}

#[test]
fn hang_up_reads_the_file_again() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(1, &[("orders", 1)]).await?;
        for name in ["balancer-1", "orders-1", "balancer-1", "balancer-1"] {
            fleet.hang_up(name)?;
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        compio::time::sleep(Duration::from_millis(500)).await;
        let log = fleet.log("balancer-1")?;
        assert!(log.contains("settings file read"), "{log}");
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 2).await;
        assert!(ask(&mut flows).await.iter().all(Result::is_ok));
        Ok(())
    });
}

/// Found by a day of our own (agents rolled twice): while an agent was away for the second time, the balancer
/// did not know its first run any more and had the flow searched at the targets of others.
#[test]
fn flow_waits_for_its_agent() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(1, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open_until_first(&caller, &fleet).await?;
        let owners = ask(&mut flows).await;
        for n in 1..=3 {
            fleet.kill(&format!("orders-{n}"))?;
            fleet.run(&format!("orders-{n}"))?;
        }
        compio::time::sleep(Duration::from_secs(2)).await;
        let mut mine = Vec::new();
        for (flow, owner) in flows.into_iter().zip(owners) {
            if owner.as_ref().is_ok_and(|id| id == "orders-1") {
                mine.push(flow);
            }
        }
        assert!(!mine.is_empty(), "no flow of the first target");
        fleet.kill("orders-1")?;
        let later = async {
            compio::time::sleep(Duration::from_millis(1200)).await;
            let strange =
                fleet.target("orders-2")?.given_back() + fleet.target("orders-3")?.given_back();
            assert_eq!(strange, 0, "packets at targets of others");
            fleet.run("orders-1")
        };
        let asking = futures_util::future::join_all(mine.iter_mut().map(OpenFlow::request));
        let (answers, ran) = futures_util::future::join(asking, later).await;
        ran?;
        assert!(answers.iter().all(|a| a.as_ref().is_ok_and(|id| id == "orders-1")), "{answers:?}");
        Ok(())
    });
}

/// Load: 16 callers send requests at the same moment through balancers with 0.25 Mbit/s. Packets that find the link full wait and
/// leave by the timer, none is lost, and the flows stay where they are.
#[test]
fn packets_wait_for_a_thin_link() {
    on_runtime(async {
        let link = "0.25 Mbit/s".parse().ok();
        let mut fleet = FlowFleet::start_behind(link, 2, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 16).await;
        let owners = ask(&mut flows).await;
        assert!(owners.iter().all(Result::is_ok), "{owners:?}");
        for _ in 0..3 {
            let answers = join_all(flows.iter_mut().map(OpenFlow::request)).await;
            assert_eq!(answers, owners);
        }
        let mut waited = 0.0;
        for balancer in ["balancer-1", "balancer-2"] {
            waited += fleet.metric(balancer, "dillmill_link_waited").await?;
            assert!(fleet.metric(balancer, "dillmill_link_dropped").await? < 1.0);
        }
        assert!(waited > 0.0);
        Ok(())
    });
}

/// All connections to the store that are open go silent for good, as behind a firewall that has forgotten them.
#[test]
fn silent_connections_replaced() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 2), ("labels", 2)]).await?;
        let caller = fleet.caller(0).await?;
        fleet.set_route(2, "orders").await?;
        open(&caller, &fleet, 4).await;

        fleet.proxy().silence_open();
        fleet.set_route(3, "labels").await?;
        let started = std::time::Instant::now();
        loop {
            let mut flows = open(&caller, &fleet, 1).await;
            let answer = flows[0].request().await;
            if answer.is_ok_and(|run| run.starts_with("labels")) {
                break;
            }
            assert!(started.elapsed() < NOTICED, "the route is not in force");
        }
        assert!(fleet.proxy().swallowed() > 0, "no connection was in use");
        Ok(())
    });
}
