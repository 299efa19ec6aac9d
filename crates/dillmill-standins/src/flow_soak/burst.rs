//! Bursts of new flows, and the check that no queue stays after them.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use rand::Rng;

use super::expectations::SharedExpectations;
use super::faults::Faults;
use crate::{FlowCaller, FlowFleet, StandinError};

/// Flows of a burst that are open at the same time. The three targets of a service have six slots.
const BURST_FLOWS: u32 = 40;
/// Time after a burst within which the queue of each agent must have been empty. Longer than the timeout of
/// a request.
const QUEUE_LIMIT: Duration = Duration::from_secs(4);
/// Time within which a waiting packet is expected at some agent after the start of a burst.
const QUEUE_START_LIMIT: Duration = Duration::from_millis(800);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const WAITING: &str = "dillmill_flow_waiting";

impl Faults {
    /// Opens many flows of both priorities at the same time for a second or two; with `kill_agent`, kills
    /// an agent at which packets wait in the meantime.
    pub(super) async fn burst(
        &mut self,
        fleet: &mut FlowFleet,
        kill_agent: bool,
    ) -> Result<(), StandinError> {
        let length_ms = if self.plan.reused_ports { 200..600 } else { 1000..2000 };
        let length = Duration::from_millis(self.rng.random_range(length_ms));
        if self.plan.reused_ports {
            self.burst_caller.restart_ports();
        }
        self.expectations.borrow_mut().log_action(&format!("burst of {} ms", length.as_millis()));
        let until = Instant::now() + length;
        self.expectations.borrow_mut().last_burst = Some(until);
        let routes = [fleet.route(), fleet.urgent_route()];
        let spawn = |route| {
            let load =
                run_short_flows(self.burst_caller.clone(), route, self.expectations.clone(), until);
            compio::runtime::spawn(load)
        };
        let flows = routes.into_iter().cycle().zip(0..BURST_FLOWS);
        let tasks: Vec<JoinHandle<()>> = flows.map(|(route, _)| spawn(route)).collect();
        if kill_agent {
            self.kill_waiting_agent(fleet).await?;
        }
        for task in tasks {
            task.await.map_err(|_| StandinError::new("join a burst", "it panicked"))?;
        }
        self.check_queues(fleet).await;
        Ok(())
    }

    /// Kills the first agent that is seen with waiting packets, if any, and restarts it.
    async fn kill_waiting_agent(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let Some(vm) = self.find_queue(fleet).await else {
            self.expectations.borrow_mut().log_action("no agent with waiting packets");
            return Ok(());
        };
        self.record_fault(&vm, "kill with waiting packets");
        fleet.kill(&vm)?;
        compio::time::sleep(self.random_delay(800)).await;
        fleet.run(&vm)?;
        self.record_fault(&vm, "start");
        Ok(())
    }

    async fn find_queue(&self, fleet: &mut FlowFleet) -> Option<String> {
        let started = Instant::now();
        while started.elapsed() < QUEUE_START_LIMIT {
            for name in &self.names {
                if fleet.metric(name, WAITING).await.is_ok_and(|waiting| waiting >= 1.0) {
                    return Some(name.clone());
                }
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Checks that the queue of each agent becomes empty.
    async fn check_queues(&self, fleet: &mut FlowFleet) {
        let started = Instant::now();
        for name in &self.names {
            loop {
                let waiting = fleet.metric(name, WAITING).await;
                if waiting.as_ref().is_ok_and(|waiting| *waiting < 1.0) {
                    break;
                }
                if started.elapsed() > QUEUE_LIMIT {
                    let what = format!("queue of {name} stays after a burst: {waiting:?}");
                    self.expectations.borrow_mut().log_violation(&what);
                    break;
                }
                compio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Opens a flow for each of many single requests.
async fn run_short_flows(
    caller: Rc<FlowCaller>,
    route: SocketAddrV4,
    expectations: SharedExpectations,
    until: Instant,
) {
    while Instant::now() < until {
        let opened = Instant::now();
        let answer = match caller.open(route).await {
            Ok(mut flow) => flow.request().await.map_err(|e| (e, true)),
            Err(e) => Err((e, false)),
        };
        let mut expectations = expectations.borrow_mut();
        match answer {
            Ok(run) => expectations.check_answer(None, &run, opened),
            Err((e, accepted)) => expectations.check_new_flow_end(e, accepted, opened),
        }
    }
}
