//! Scripted scenarios on a cluster of real processes.
//!
//! A script is a golden file: steps, then the output that they must give. Steps print invariants
//! (counts that must be zero, order, settled states), never times.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, Runtime};
use goldenscript::Context;

use crate::caller::Call;
use crate::traffic::{FeedLog, Traffic, Verdict, Verdicts, ask, feed, key_runs, traffic};
use crate::{Cluster, StandinError};
use steps::{
    POLL, SETTLE_LIMIT, ask_many, change, first_agent, flood, forge, in_force, left, running_agent,
    slots, spec, wrong_service,
};

mod step;
mod steps;

pub use step::Step;

/// Runs scripts; each script has a runner of its own.
pub struct ScenarioRunner {
    runtime: Runtime,
    cluster: Option<Cluster>,
    feeds: BTreeMap<String, Rc<RefCell<FeedLog>>>,
    traffic: BTreeMap<String, Rc<RefCell<Traffic>>>,
    waiting: Vec<Rc<RefCell<Option<Verdicts>>>>,
    frozen: Option<String>,
    flood: Vec<JoinHandle<Verdict>>,
}

impl ScenarioRunner {
    /// Creates a runner without a cluster.
    ///
    /// # Errors
    ///
    /// Fails when no runtime can be made.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            runtime: Runtime::new()?,
            cluster: None,
            feeds: BTreeMap::new(),
            traffic: BTreeMap::new(),
            waiting: Vec::new(),
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

fn started(cluster: Option<&mut Cluster>) -> Result<&mut Cluster, StandinError> {
    cluster.ok_or_else(|| StandinError::new("run step", "no cluster was started"))
}

impl ScenarioRunner {
    async fn step(&mut self, step: &Step) -> Result<String, StandinError> {
        if let Step::Start { forming, .. } = step {
            return self.start(step, *forming).await;
        }
        let cluster = started(self.cluster.as_mut())?;
        match step {
            Step::Start { .. } => Ok(String::new()),
            Step::Ask { service, n, ms, group } => {
                let group = group.as_deref().unwrap_or("tellers");
                let verdicts = ask_many(cluster, service, *n, ms.unwrap_or(1), group).await?;
                Ok(verdicts.to_string())
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
                let limit = within.map_or(SETTLE_LIMIT, Duration::from_millis);
                self.show_feeds(limit).await
            }
            Step::Traffic { name, service, every, ms } => {
                let every = Duration::from_millis(every.unwrap_or(10));
                let started = traffic(cluster, service, every, ms.unwrap_or(2))?;
                self.traffic.insert(name.clone(), started);
                Ok(String::new())
            }
            Step::EndTraffic { name, some_refused } => {
                let log = self
                    .traffic
                    .remove(name)
                    .ok_or_else(|| StandinError::new("end traffic", format!("no {name}")))?;
                Traffic::end(&log, cluster, *some_refused).await
            }
            Step::Settled => cluster.wait_ready().await.map(|()| "all serve\n".to_owned()),
            Step::InForce => in_force(cluster).await,
            Step::Left(agent) => left(cluster, agent).await,
            Step::Pause(ms) => {
                compio::time::sleep(Duration::from_millis(*ms)).await;
                Ok(String::new())
            }
            Step::KillRunning(service) => {
                let agent = running_agent(cluster, service).await?;
                cluster.process(&agent)?.kill();
                cluster.forget(&agent);
                Ok(String::new())
            }
            Step::KillFirst(service) => {
                let agent = first_agent(cluster, service).await?;
                cluster.process(&agent)?.kill();
                cluster.forget(&agent);
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
            Step::Forge { service, n } => forge(cluster, service, *n).await,
            _ => change(cluster, step).await,
        }
    }

    async fn start(&mut self, step: &Step, forming: bool) -> Result<String, StandinError> {
        let cluster = Box::pin(Cluster::start(spec(step))).await?;
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
        let cluster = started(self.cluster.as_mut())?;
        let path = format!("/run?service={service}&ms={}", ms.unwrap_or(1));
        let mut call = Call::new(path, "token-tellers").key(key.clone());
        call.deadline_ms = *deadline;
        let address = cluster.service_address(service)?;
        let certificate = cluster.certificate().to_owned();
        let mut tasks = Vec::new();
        for _ in 0..at_once.unwrap_or(1) {
            let (call, certificate, service) = (call.clone(), certificate.clone(), service.clone());
            tasks.push(compio::runtime::spawn(async move {
                ask(address, &certificate, &service, &call).await
            }));
        }
        let outcome = Rc::new(RefCell::new(None));
        let sum = {
            let outcome = outcome.clone();
            async move {
                let mut verdicts = Verdicts::default();
                for task in tasks {
                    if let Ok(verdict) = task.await {
                        verdicts.add(verdict);
                    }
                }
                *outcome.borrow_mut() = Some(verdicts);
            }
        };
        if background.unwrap_or(false) {
            compio::runtime::spawn(sum).detach();
            self.waiting.push(outcome);
            return Ok(String::new());
        }
        sum.await;
        let verdicts = outcome.borrow_mut().take().unwrap_or_default();
        Ok(verdicts.to_string())
    }

    async fn end_flood(&mut self) -> Result<String, StandinError> {
        let mut verdicts = Verdicts::default();
        for one in self.flood.drain(..) {
            verdicts.add(one.await.unwrap_or(Verdict::Broken));
        }
        let some = |n: usize| if n > 0 { "some" } else { "none" };
        Ok(format!(
            "{} whole, {} told to come back, {} unknown, {} broken\n",
            some(verdicts.whole),
            some(verdicts.not_run),
            verdicts.unknown,
            verdicts.broken,
        ))
    }

    async fn show_background(&mut self) -> Result<String, StandinError> {
        let mut out = String::new();
        for waiting in self.waiting.drain(..) {
            let begun = Instant::now();
            while waiting.borrow().is_none() && begun.elapsed() < SETTLE_LIMIT {
                compio::time::sleep(POLL).await;
            }
            match &*waiting.borrow() {
                Some(verdicts) => out.push_str(&verdicts.to_string()),
                None => out.push_str("no answer\n"),
            }
        }
        Ok(out)
    }

    async fn show_feeds(&self, limit: Duration) -> Result<String, StandinError> {
        let before: Vec<u64> = self.feeds.values().map(|f| f.borrow().ticks).collect();
        let begun = Instant::now();
        while begun.elapsed() < limit {
            let moved = self.feeds.values().zip(&before).all(|(feed, before)| {
                let feed = feed.borrow();
                feed.ended.is_some() || feed.ticks >= before + 3
            });
            if moved {
                break;
            }
            compio::time::sleep(POLL).await;
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
