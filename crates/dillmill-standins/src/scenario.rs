//! Runs scripted test scenarios on a cluster of real processes.
//!
//! A script is a golden file of steps, each with its expected output. Steps print only invariants
//! (counts that must be zero, order, settled states) and no times.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, Runtime};
use goldenscript::Context;

use crate::caller::Call;
use crate::traffic::{
    FeedLog, OutcomeCounts, RequestOutcome, Traffic, call_on_new_flow, feed, key_runs, traffic,
};
use crate::{Cluster, StandinError};
use steps::{
    POLL_INTERVAL, SETTLE_TIMEOUT, apply_change, ask_many, cluster_spec, first_agent, flood,
    running_agent, send_forged_packets, slots, wait_in_force, wait_until_left, wrong_service,
};

mod step;
mod steps;

pub use step::Step;

/// Runs the steps of one script; each script needs its own runner.
pub struct ScenarioRunner {
    runtime: Runtime,
    cluster: Option<Cluster>,
    feeds: BTreeMap<String, Rc<RefCell<FeedLog>>>,
    traffic: BTreeMap<String, Rc<RefCell<Traffic>>>,
    pending: Vec<Rc<RefCell<Option<OutcomeCounts>>>>,
    frozen: Option<String>,
    flood: Vec<JoinHandle<RequestOutcome>>,
}

impl ScenarioRunner {
    /// Creates a runner; the script starts its cluster with [`Step::Start`].
    ///
    /// # Errors
    ///
    /// Fails when the async runtime can't be created.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            runtime: Runtime::new()?,
            cluster: None,
            feeds: BTreeMap::new(),
            traffic: BTreeMap::new(),
            pending: Vec::new(),
            frozen: None,
            flood: Vec::new(),
        })
    }
}

impl goldenscript::Runner for ScenarioRunner {
    type Command = Step;

    fn run(&mut self, step: &Step, _: &Context) -> Result<String, Box<dyn Error>> {
        let runtime = self.runtime.clone();
        Ok(runtime.block_on(Box::pin(self.step(step)))?)
    }
}

fn require_cluster(cluster: Option<&mut Cluster>) -> Result<&mut Cluster, StandinError> {
    cluster.ok_or_else(|| StandinError::new("run step", "the script has not started a cluster"))
}

impl ScenarioRunner {
    async fn step(&mut self, step: &Step) -> Result<String, StandinError> {
        if let Step::Start { forming, .. } = step {
            return self.start(step, *forming).await;
        }
        let cluster = require_cluster(self.cluster.as_mut())?;
        match step {
            Step::Start { .. } => Ok(String::new()),
            Step::Ask { service, n, ms, group } => {
                let group = group.as_deref().unwrap_or("tellers");
                let outcome_counts = ask_many(cluster, service, *n, ms.unwrap_or(1), group).await?;
                Ok(outcome_counts.to_string())
            }
            Step::AskKey { .. } => self.ask_key(step).await,
            Step::Runs { service, key } => {
                Ok(format!("{key} ran {} times\n", key_runs(cluster, service, key).await?))
            }
            Step::Feed { name, service } => {
                let log = feed(cluster, service, "token-screens").await?;
                self.feeds.insert(name.clone(), log);
                Ok(format!("{name} open\n"))
            }
            Step::Flood { service, n, group, ms } => {
                self.flood = flood(cluster, service, *n, group, *ms).await?;
                Ok(String::new())
            }
            Step::EndFlood => self.end_flood().await,
            Step::CloseFeed(name) => {
                if let Some(log) = self.feeds.remove(name) {
                    log.borrow_mut().close = true;
                }
                Ok(String::new())
            }
            Step::Feeds { within } => {
                let limit = within.map_or(SETTLE_TIMEOUT, Duration::from_millis);
                self.show_feeds(limit).await
            }
            Step::Traffic { name, service, every, ms } => {
                let every = Duration::from_millis(every.unwrap_or(10));
                let started = traffic(cluster, service, every, ms.unwrap_or(2))?;
                self.traffic.insert(name.clone(), started);
                Ok(String::new())
            }
            Step::EndTraffic { name, some_refused } => {
                let log = self.traffic.remove(name).ok_or_else(|| {
                    StandinError::new("end traffic", format!("no traffic named {name}"))
                })?;
                Traffic::end(&log, cluster, *some_refused).await
            }
            Step::Settled => cluster.wait_ready().await.map(|()| "all serve\n".to_owned()),
            Step::InForce => wait_in_force(cluster).await,
            Step::Left(agent) => wait_until_left(cluster, agent).await,
            Step::Pause(ms) => {
                compio::time::sleep(Duration::from_millis(*ms)).await;
                Ok(String::new())
            }
            Step::KillRunning(service) => {
                let agent = running_agent(cluster, service).await?;
                cluster.process(&agent)?.kill();
                cluster.remove_process(&agent);
                Ok(String::new())
            }
            Step::KillFirst(service) => {
                let agent = first_agent(cluster, service).await?;
                cluster.process(&agent)?.kill();
                cluster.remove_process(&agent);
                Ok(String::new())
            }
            Step::RestartRunning(service) => {
                let agent = running_agent(cluster, service).await?;
                cluster.process(&agent)?.kill();
                cluster.restart(&agent)?;
                Ok(String::new())
            }
            Step::FreezeRunning(service) => {
                let agent = running_agent(cluster, service).await?;
                cluster.process(&agent)?.freeze()?;
                self.frozen = Some(agent);
                Ok(String::new())
            }
            Step::ThawLast => {
                let agent = self.frozen.take().unwrap_or_default();
                cluster.process(&agent)?.thaw()?;
                Ok(String::new())
            }
            Step::Background => self.show_background().await,
            Step::Slots => slots(cluster).await,
            Step::WrongService => wrong_service(cluster).await,
            Step::Counted { name, metric } => {
                let counted = cluster.metric(name, metric).await? > 0;
                Ok(format!("{metric} of {name}: {}\n", if counted { "some" } else { "none" }))
            }
            Step::Forge { service, n } => send_forged_packets(cluster, service, *n).await,
            _ => apply_change(cluster, step).await,
        }
    }

    async fn start(&mut self, step: &Step, forming: bool) -> Result<String, StandinError> {
        let cluster = Box::pin(Cluster::start(cluster_spec(step))).await?;
        if !forming {
            cluster.wait_rings().await?;
        }
        self.cluster = Some(cluster);
        Ok("all serve\n".to_owned())
    }

    async fn ask_key(&mut self, step: &Step) -> Result<String, StandinError> {
        let Step::AskKey { service, key, ms, deadline, at_once, background } = step else {
            return Ok(String::new());
        };
        let cluster = require_cluster(self.cluster.as_mut())?;
        let path = format!("/run?service={service}&ms={}", ms.unwrap_or(1));
        let mut call = Call::new(path, "token-tellers").key(key.clone());
        call.deadline_ms = *deadline;
        let address = cluster.service_address(service)?;
        let certificate = cluster.certificate().to_owned();
        let mut tasks = Vec::new();
        for _ in 0..at_once.unwrap_or(1) {
            let (call, certificate, service) = (call.clone(), certificate.clone(), service.clone());
            tasks.push(compio::runtime::spawn(async move {
                call_on_new_flow(address, &certificate, &service, &call).await
            }));
        }
        let outcome = Rc::new(RefCell::new(None));
        let sum = {
            let outcome = outcome.clone();
            async move {
                let mut outcome_counts = OutcomeCounts::default();
                for task in tasks {
                    if let Ok(request_outcome) = task.await {
                        outcome_counts.add(request_outcome);
                    }
                }
                *outcome.borrow_mut() = Some(outcome_counts);
            }
        };
        if background.unwrap_or(false) {
            compio::runtime::spawn(sum).detach();
            self.pending.push(outcome);
            return Ok(String::new());
        }
        sum.await;
        let outcome_counts = outcome.borrow_mut().take().unwrap_or_default();
        Ok(outcome_counts.to_string())
    }

    async fn end_flood(&mut self) -> Result<String, StandinError> {
        let mut outcome_counts = OutcomeCounts::default();
        for one in self.flood.drain(..) {
            outcome_counts.add(one.await.unwrap_or(RequestOutcome::Broken));
        }
        let some = |n: usize| if n > 0 { "some" } else { "none" };
        Ok(format!(
            "{} whole, {} told to come back, {} unknown, {} broken\n",
            some(outcome_counts.whole),
            some(outcome_counts.not_run),
            outcome_counts.unknown,
            outcome_counts.broken,
        ))
    }

    async fn show_background(&mut self) -> Result<String, StandinError> {
        let mut out = String::new();
        for pending in self.pending.drain(..) {
            let begun = Instant::now();
            while pending.borrow().is_none() && begun.elapsed() < SETTLE_TIMEOUT {
                compio::time::sleep(POLL_INTERVAL).await;
            }
            match &*pending.borrow() {
                Some(outcome_counts) => out.push_str(&outcome_counts.to_string()),
                None => out.push_str("no answer\n"),
            }
        }
        Ok(out)
    }

    async fn show_feeds(&self, limit: Duration) -> Result<String, StandinError> {
        let before: Vec<u64> = self.feeds.values().map(|f| f.borrow().ticks).collect();
        let begun = Instant::now();
        while begun.elapsed() < limit {
            let progressed = self.feeds.values().zip(&before).all(|(feed, before)| {
                let feed = feed.borrow();
                feed.ended.is_some() || feed.ticks >= before + 3
            });
            if progressed {
                break;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let mut out = String::new();
        for ((name, feed), before) in self.feeds.iter().zip(&before) {
            let feed = feed.borrow();
            let state = match &feed.ended {
                Some(cause) => format!("ended: {cause}"),
                None if feed.ticks > *before => "goes on, no gap".to_owned(),
                None => "stands still".to_owned(),
            };
            let _ = writeln!(out, "{name} {state}");
        }
        Ok(out)
    }
}
