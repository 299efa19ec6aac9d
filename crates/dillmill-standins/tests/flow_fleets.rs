//! Tests of packet flows through real processes, observed by callers while balancers, agents, targets,
//! settings and the store change or fail.

use std::time::{Duration, Instant};

use dillmill_core::store_selection::{REGISTERED_PROCESSES, WATCHERS};
use dillmill_standins::flow_fleet::wait;
use dillmill_standins::platform::PlatformFaults;
use dillmill_standins::{FlowCaller, FlowError, FlowFleet, OpenFlow, StandinError};
use futures_util::future::join_all;
use rstest::rstest;

const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time from the store's acknowledgement of a configuration until it must be in force, as the settings of
/// the processes state it.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);
/// Longer than the pause between two renewals of a lease.
const IDLE: Duration = Duration::from_secs(2);
/// A setting must be in force this long after the store accepted it, even if connections to the store fail.
const SETTING_IN_FORCE_LIMIT: Duration = Duration::from_secs(8);

fn on_runtime(test: impl Future<Output = Result<(), StandinError>>) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(test).unwrap();
}

/// Opens flows until `n` are open. Attempts that fail are repeated, as callers do.
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

/// Opens flows until the first target has one. Its agent serves only after the target's first heartbeat,
/// which may arrive after the first flows.
async fn open_until_first<'a>(
    caller: &'a FlowCaller,
    fleet: &FlowFleet,
) -> Result<Vec<OpenFlow<'a>>, StandinError> {
    let mut flows = open(caller, fleet, 6).await;
    let started = Instant::now();
    while fleet.target("orders-1")?.opened() == 0 && started.elapsed() < WAIT_TIMEOUT {
        flows.extend(open(caller, fleet, 3).await);
    }
    Ok(flows)
}

/// Sends a request on every flow, and returns the names of the targets that answered.
async fn request_all(flows: &mut [OpenFlow<'_>]) -> Vec<Result<String, FlowError>> {
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
        let targets = request_all(&mut flows).await;
        assert!(targets.iter().all(Result::is_ok), "{targets:?}");
        fleet.kill("balancer-2")?;
        assert_eq!(request_all(&mut flows).await, targets, "after a kill");
        fleet.run("balancer-2")?;
        wait(WAIT_TIMEOUT, "the balancer's return", || fleet.router().ready() == 3).await?;
        assert_eq!(request_all(&mut flows).await, targets, "after its return");
        assert!(fleet.stop("balancer-1").await?);
        assert_eq!(request_all(&mut flows).await, targets, "after a planned stop");
        Ok(())
    });
}

/// Guards against refusals of new flows right after a configuration has first named their service, while its
/// targets are idle. Agents refused the heartbeats that came before, and served only after the next one.
#[test]
fn first_route_served() {
    on_runtime(async {
        let services = ["labels", "stock", "invoices", "returns"];
        let all = [&["orders"], services.as_slice()].concat();
        let all: Vec<(&str, u8)> = all.into_iter().map(|service| (service, 1)).collect();
        let mut fleet = FlowFleet::start(3, &all).await?;
        for service in services {
            let name = format!("{service}-1");
            fleet.kill(&name)?;
            fleet.run(&name)?;
            // The agent knows the configuration before the first heartbeat.
            let silence = Duration::from_millis(500);
            fleet.run_silent_target(&name, &format!("{name}/1"), silence).await?;
        }
        let refused = change_routes(&fleet, &services).await?;
        assert_eq!(refused, []);
        Ok(())
    });
}

/// Guards against the same refusals when the new service's target has taken the place of another service's. The
/// heartbeats of such a target are refused until the configuration names the service.
#[test]
fn moved_target_served() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(3, &[("orders", 4)]).await?;
        let services = ["labels", "stock", "invoices"];
        for (n, service) in (2..).zip(services) {
            let name = format!("orders-{n}");
            fleet.set_service(&name, service)?;
            fleet.run_target(&name, &format!("{name}/1")).await?;
        }
        let refused = change_routes(&fleet, &services).await?;
        assert_eq!(refused, []);
        Ok(())
    });
}

/// Guards against new flows that wait for a service without any target until their callers give up: they may
/// wait for a moment after the configuration has first named the service, and are refused then.
#[test]
fn service_without_targets_refused() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 1)]).await?;
        // Balancers that have just started keep new flows anyway.
        compio::time::sleep(Duration::from_millis(2500)).await;
        let caller = fleet.caller(0).await?;
        fleet.set_route(2, "labels").await?;
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(caller.open(fleet.route()).await.err(), Some(FlowError::Reset), "at first");
        assert_eq!(caller.open(fleet.route()).await.err(), Some(FlowError::Reset), "then");
        Ok(())
    });
}

/// Leads the route to each of `services` in turn, and returns the new flows that failed meanwhile.
async fn change_routes<'a>(
    fleet: &FlowFleet,
    services: &[&'a str],
) -> Result<Vec<(&'a str, FlowError)>, StandinError> {
    // Balancers that have just started keep new flows anyway.
    compio::time::sleep(Duration::from_millis(2500)).await;
    let caller = fleet.caller(0).await?;
    let mut refused = Vec::new();
    for (version, service) in (2..).zip(services) {
        fleet.set_route(version, service).await?;
        // Not a multiple of the heartbeat interval, so the changes come at different times within it.
        let until = Instant::now() + Duration::from_millis(450);
        while Instant::now() < until {
            if let Err(e) = caller.open(fleet.route()).await {
                refused.push((*service, e));
            }
        }
    }
    Ok(refused)
}

#[test]
fn flows_survive_agents() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 12).await;
        let targets = request_all(&mut flows).await;
        for n in 1..=3 {
            fleet.kill(&format!("orders-{n}"))?;
        }
        fleet.kill("balancer-1")?;
        for n in 1..=3 {
            fleet.run(&format!("orders-{n}"))?;
        }
        fleet.run("balancer-1")?;
        assert_eq!(request_all(&mut flows).await, targets);
        Ok(())
    });
}

/// Guards against requests that run at two targets, and against incomplete answers, on open flows whose
/// requests may not be repeated. Meanwhile balancers are killed and targets are replaced, some of them
/// under the old id.
#[test]
fn unrepeatable_requests_run_once() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(3, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 9).await;
        let mut executed = Vec::new();
        for round in 0..12 {
            match round {
                2 => fleet.kill("balancer-1")?,
                4 => fleet.run("balancer-1")?,
                3 | 6 => {
                    executed.push(fleet.target("orders-2")?.executed());
                    fleet.run_target("orders-2", &format!("orders-2/{round}")).await?;
                }
                8 => fleet.kill("balancer-2")?,
                9 => {
                    executed.push(fleet.target("orders-3")?.executed());
                    fleet.run_target("orders-3", "orders-3/2").await?;
                }
                _ => {}
            }
            let answers = join_all(flows.iter_mut().map(OpenFlow::request)).await;
            for (i, answer) in answers.iter().enumerate().rev() {
                match answer {
                    Ok(name) => assert!(name.starts_with("orders-"), "incomplete answer {name:?}"),
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
            executed.push(fleet.target(&format!("orders-{n}"))?.executed());
        }
        let all: Vec<_> = executed.iter().flatten().collect();
        let once: std::collections::BTreeSet<_> = all.iter().collect();
        assert!(all.len() >= 9 * 8, "{} requests have run", all.len());
        assert_eq!(all.len(), once.len(), "some requests have run at two targets");
        Ok(())
    });
}

#[test]
fn leaving_target_gets_nothing_new() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 9).await;
        let targets = request_all(&mut flows).await;
        let leaving = fleet.target("orders-1")?;
        leaving.drain();
        wait(WAIT_TIMEOUT, "the acknowledgement", || leaving.drain_acknowledged()).await?;
        let opened = leaving.opened();
        let mut later = open(&caller, &fleet, 20).await;
        let answers = request_all(&mut later).await;
        assert!(answers.iter().all(|a| a.as_ref().is_ok_and(|id| id != "orders-1")), "{answers:?}");
        assert_eq!(leaving.opened(), opened);
        assert_eq!(request_all(&mut flows).await, targets, "open flows stay");
        Ok(())
    });
}

#[test]
fn route_moves_for_new_flows_only() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 2), ("labels", 2)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 6).await;
        let targets = request_all(&mut flows).await;
        assert!(targets.iter().all(|a| a.as_ref().is_ok_and(|id| id.starts_with("orders"))));
        fleet.set_route(5, "labels").await?;
        compio::time::sleep(Duration::from_secs(3)).await;
        let mut later = open(&caller, &fleet, 12).await;
        let answers = request_all(&mut later).await;
        assert!(
            answers.iter().all(|a| a.as_ref().is_ok_and(|id| id.starts_with("labels"))),
            "{answers:?}"
        );
        assert_eq!(request_all(&mut flows).await, targets, "open flows stay");
        Ok(())
    });
}

#[test]
fn store_outage_changes_nothing() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 2)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 6).await;
        let targets = request_all(&mut flows).await;
        fleet.store_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
        // A process that starts during the outage gets all its state from its peers.
        fleet.kill("balancer-2")?;
        fleet.run("balancer-2")?;
        wait(WAIT_TIMEOUT, "the balancer's return", || fleet.router().ready() == 2).await?;
        assert_eq!(request_all(&mut flows).await, targets);
        open(&caller, &fleet, 6).await;
        Ok(())
    });
}

/// Flows of a target that has ended must be reset, also if the next run reports the same id: the run named
/// `orders-1/2` reports the id of the run before, `orders-1`.
#[rstest]
#[case::another_id("orders-1/1")]
#[case::old_id("orders-1/2")]
fn flows_of_an_ended_target_reset(#[case] run: &str) {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 2)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open_until_first(&caller, &fleet).await?;
        let targets = request_all(&mut flows).await;
        assert!(targets.contains(&Ok("orders-1".to_owned())), "{targets:?}");
        fleet.run_target("orders-1", run).await?;
        for (flow, target_name) in flows.iter_mut().zip(&targets) {
            let lost = target_name.as_ref().is_ok_and(|id| id == "orders-1");
            assert_eq!(flow.reset_within(Duration::from_secs(2)).await, lost, "{target_name:?}");
        }
        let started = Instant::now();
        while fleet.target("orders-1")?.opened() == 0 && started.elapsed() < WAIT_TIMEOUT {
            open(&caller, &fleet, 3).await;
        }
        let leaving = fleet.target("orders-1")?;
        assert!(leaving.opened() > 0, "the new run serves");
        leaving.drain();
        wait(WAIT_TIMEOUT, "the new run's leave", || leaving.drain_acknowledged()).await
    });
}

/// A new run of a target can take flows before it sends its first heartbeat; these must not be reset by that
/// heartbeat. Found in a test day with targets that crash and restart.
#[test]
fn flows_of_a_silent_new_run_kept() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 1)]).await?;
        let caller = fleet.caller(0).await?;
        let mut lost = open_until_first(&caller, &fleet).await?;
        let silence = Duration::from_millis(600);
        fleet.run_silent_target("orders-1", "orders-1-again", silence).await?;
        let mut flows = open(&caller, &fleet, 6).await;
        let targets = request_all(&mut flows).await;
        assert!(targets.iter().all(Result::is_ok), "{targets:?}");
        for flow in &mut lost {
            assert!(flow.reset_within(Duration::from_secs(2)).await, "of the earlier run");
        }
        compio::time::sleep(silence).await;
        assert_eq!(request_all(&mut flows).await, targets, "after the first heartbeat");
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
        assert!(request_all(&mut flows).await.iter().all(Result::is_ok));
        Ok(())
    });
}

/// Guards against processes that a stop signal kills while they start: the signal was caught only once all else
/// had started. Found in a soak with restarts in series (seed 20010).
#[test]
fn early_stop_obeyed() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(1, &[("orders", 1)]).await?;
        for round in 0..5 {
            assert!(fleet.stop("orders-1").await?, "round {round}");
            fleet.run("orders-1")?;
            let started = Instant::now();
            while !fleet.catches_hang_up("orders-1")? {
                assert!(started.elapsed() < WAIT_TIMEOUT, "SIGHUP is not caught");
                compio::time::sleep(Duration::from_micros(200)).await;
            }
        }
        Ok(())
    });
}

/// A flow must wait while its agent restarts for the second time. The fault: the balancer had forgotten
/// the agent's first run and had the flow searched at the targets of other agents. Found in one of
/// our own test days, in which agents were restarted twice by rolling restarts.
#[test]
fn flow_waits_for_its_agent() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(1, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open_until_first(&caller, &fleet).await?;
        let targets = request_all(&mut flows).await;
        for n in 1..=3 {
            fleet.kill(&format!("orders-{n}"))?;
            fleet.run(&format!("orders-{n}"))?;
        }
        compio::time::sleep(Duration::from_secs(2)).await;
        let mut mine = Vec::new();
        for (flow, target_name) in flows.into_iter().zip(targets) {
            if target_name.as_ref().is_ok_and(|id| id == "orders-1") {
                mine.push(flow);
            }
        }
        assert!(!mine.is_empty(), "the first target has no flow");
        fleet.kill("orders-1")?;
        let later = async {
            compio::time::sleep(Duration::from_millis(1200)).await;
            let misdirected = fleet.target("orders-2")?.returned_packets()
                + fleet.target("orders-3")?.returned_packets();
            assert_eq!(misdirected, 0, "packets arrived at targets of other agents");
            fleet.run("orders-1")
        };
        let asking = futures_util::future::join_all(mine.iter_mut().map(OpenFlow::request));
        let (answers, executed) = futures_util::future::join(asking, later).await;
        executed?;
        assert!(answers.iter().all(|a| a.as_ref().is_ok_and(|id| id == "orders-1")), "{answers:?}");
        Ok(())
    });
}

/// Guards against packets lost at a full link. 16 flows send requests at the same moment through balancers
/// with links of 0.25 Mbit/s: packets that find the link full wait until the timer sends them, none is
/// dropped, and the flows stay at their targets.
#[test]
fn packets_wait_for_a_thin_link() {
    on_runtime(async {
        let link = "0.25 Mbit/s".parse().ok();
        let mut fleet = FlowFleet::start_with_link(link, 2, &[("orders", 3)]).await?;
        let caller = fleet.caller(0).await?;
        let mut flows = open(&caller, &fleet, 16).await;
        let targets = request_all(&mut flows).await;
        assert!(targets.iter().all(Result::is_ok), "{targets:?}");
        for _ in 0..3 {
            let answers = join_all(flows.iter_mut().map(OpenFlow::request)).await;
            assert_eq!(answers, targets);
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

/// Waits until all processes that watch the store wait for a change there. Processes register, and watch,
/// only some time after their start.
async fn wait_for_watches(fleet: &FlowFleet) -> Result<(), StandinError> {
    let started = Instant::now();
    while fleet.open_watches().await? < WATCHERS as u64 {
        assert!(started.elapsed() < WAIT_TIMEOUT, "too few processes watch the store");
        compio::time::sleep(Duration::from_millis(25)).await;
    }
    Ok(())
}

/// Waits until new flows are served by `service`, for at most `limit`.
async fn wait_for_service(caller: &FlowCaller, fleet: &FlowFleet, service: &str, limit: Duration) {
    let started = Instant::now();
    loop {
        let mut flows = open(caller, fleet, 1).await;
        let answer = flows[0].request().await;
        if answer.is_ok_and(|run| run.starts_with(service)) {
            return;
        }
        assert!(started.elapsed() < limit, "the changed route is not in force");
    }
}

/// Processes must replace connections to the store on which nothing arrives any more, as happens when a
/// firewall has dropped their state. All open connections go silent for good; a later change must still
/// take effect. All processes that watch the store wait for a change at that moment: earlier, the connections
/// that matter may not exist yet.
#[test]
fn silent_connections_replaced() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 2), ("labels", 2)]).await?;
        let caller = fleet.caller(0).await?;
        fleet.set_routes(2, "orders", &["labels"]).await?;
        open(&caller, &fleet, 4).await;
        for labels in ["labels-1", "labels-2"] {
            let target = fleet.target(labels)?;
            wait(WAIT_TIMEOUT, "the heartbeats", || target.ready_acknowledged()).await?;
        }
        wait_for_watches(&fleet).await?;

        fleet.proxy().silence_open_connections();
        fleet.set_routes(3, "labels", &["orders"]).await?;
        wait_for_service(&caller, &fleet, "labels", SETTING_IN_FORCE_LIMIT).await;
        assert!(fleet.proxy().discarded_bytes() > 0, "no silenced connection was used");
        Ok(())
    });
}

/// A watch whose connection has gone silent looks like one that waits for a change. The connections over
/// which the leases are renewed live on, so nothing else shows it: the watches ended at their timeout, 10 s
/// after the change.
#[test]
fn idle_connections_replaced() {
    on_runtime(async {
        let fleet = FlowFleet::start(2, &[("orders", 2), ("labels", 2)]).await?;
        let caller = fleet.caller(0).await?;
        fleet.set_routes(2, "orders", &["labels"]).await?;
        for labels in ["labels-1", "labels-2"] {
            let target = fleet.target(labels)?;
            wait(WAIT_TIMEOUT, "the heartbeats", || target.ready_acknowledged()).await?;
        }
        wait_for_watches(&fleet).await?;
        compio::time::sleep(IDLE + Duration::from_millis(500)).await;

        let silenced = fleet.proxy().silence_idle_connections(IDLE);
        assert!(silenced >= WATCHERS, "only {silenced} connections were idle");
        fleet.set_routes(3, "labels", &["orders"]).await?;
        wait_for_service(&caller, &fleet, "labels", CONFIG_LIMIT).await;
        Ok(())
    });
}

/// All processes that watch the store or have an entry in it lose their power just before a change. The
/// others had to detect that before one of them read the store: the change was in force after up to 4.9 s.
#[test]
fn lost_watchers_replaced() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(2, &[("orders", 5), ("labels", 5)]).await?;
        wait_for_watches(&fleet).await?;
        let started = Instant::now();
        while fleet.registered().await?.len() < REGISTERED_PROCESSES {
            assert!(started.elapsed() < WAIT_TIMEOUT, "too few processes have an entry");
            compio::time::sleep(Duration::from_millis(25)).await;
        }
        compio::time::sleep(Duration::from_secs(2)).await;

        let lost = fleet.registered().await?;
        for name in &lost {
            fleet.power_off(name)?;
        }
        fleet.set_routes(2, "labels", &["orders"]).await?;
        let changed = Instant::now();
        for name in fleet.names() {
            while !lost.contains(&name)
                && fleet.metric(&name, "dillmill_settings_revision").await? < 2.0
            {
                assert!(changed.elapsed() < CONFIG_LIMIT, "{name} lacks the change");
                compio::time::sleep(Duration::from_millis(25)).await;
            }
        }
        Ok(())
    });
}

/// Entries that another writer has left among those of the processes, odd in each way, end no process and
/// keep none from following the settings, also after a loss of power of all. The size of the fleet had made
/// starting processes wait for days.
#[test]
fn odd_entries_ignored() {
    on_runtime(async {
        let mut fleet = FlowFleet::start(3, &[("orders", 2), ("labels", 1)]).await?;
        fleet.set_routes(2, "orders", &["labels"]).await?;
        let deep = "[".repeat(100_000);
        for (n, odd) in
            [&deep, "127.0.0.1:99999", "127.0.0.1:0", "1e999", "\u{0}"].iter().enumerate()
        {
            fleet.write_entry(&format!("dillmill/processes/{n}"), odd).await?;
            fleet.write_entry(&format!("op/odd-{n}"), odd).await?;
        }
        fleet.write_entry("dillmill/fleet-size", "4294967295").await?;
        // The seed, which waits for nobody, does not come back.
        let names = fleet.names();
        for name in &names {
            fleet.kill(name)?;
        }
        let others: Vec<&String> = names.iter().filter(|name| *name != "balancer-1").collect();
        for name in &others {
            fleet.run(name)?;
        }
        let router = fleet.router();
        wait(WAIT_TIMEOUT, "readiness of two balancers", || router.ready() == 2).await?;
        fleet.set_routes(3, "orders", &["labels"]).await?;
        let changed = Instant::now();
        for name in others {
            while fleet.metric(name, "dillmill_settings_revision").await? < 3.0 {
                assert!(changed.elapsed() < CONFIG_LIMIT, "{name} lacks the change");
                compio::time::sleep(Duration::from_millis(25)).await;
            }
        }
        Ok(())
    });
}
