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
use goldenscript::{Command, Context};

use crate::caller::Call;
use crate::platform::PlatformFaults;
use crate::target::TargetRules;
use crate::traffic::{FeedLog, Traffic, Verdict, Verdicts, ask, ask_on, feed, key_runs, traffic};
use crate::{Cluster, ClusterSpec, ServiceSpec, StandinError};

const SETTLE_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// A step of a script.
#[derive(Debug, Clone, Command)]
pub enum Step {
    /// Starts a cluster. Example: `start balancers=3 cotiza=2 cuadre=2`.
    Start {
        /// Balancers.
        #[arg(key)]
        balancers: Option<usize>,
        /// Targets of cotiza.
        #[arg(key)]
        cotiza: Option<usize>,
        /// Targets of cuadre.
        #[arg(key)]
        cuadre: Option<usize>,
        /// Slots of each target.
        #[arg(key)]
        slots: Option<usize>,
        /// Seed of the fabric.
        #[arg(key)]
        seed: Option<u64>,
        /// Processes that watch the platform.
        #[arg(key)]
        watchers: Option<usize>,
        /// Operation of all services, as YAML.
        #[arg(key)]
        operation: Option<String>,
        /// Limits of all groups, as YAML.
        #[arg(key)]
        limits: Option<String>,
    },
    /// Makes requests one after the other, each on a new flow. Example: `ask cotiza 20`.
    Ask {
        /// Service.
        service: String,
        /// Requests.
        n: usize,
        /// Time that each takes at the target.
        #[arg(key)]
        ms: Option<u64>,
        /// Group.
        #[arg(key)]
        group: Option<String>,
    },
    /// Makes one request with a key. Example: `ask_key cotiza k1 ms=10`.
    AskKey {
        /// Service.
        service: String,
        /// Key.
        key: String,
        /// Time that it takes at the target.
        #[arg(key)]
        ms: Option<u64>,
        /// Deadline.
        #[arg(key)]
        deadline: Option<u64>,
        /// Requests with this key at once, each on its own flow.
        #[arg(key)]
        at_once: Option<usize>,
        /// Print only whether the answer is true: whole, not run, or unknown.
        #[arg(key)]
        background: Option<bool>,
    },
    /// Prints how often a key ran, over all targets of a service.
    Runs {
        /// Service.
        service: String,
        /// Key.
        key: String,
    },
    /// Makes many requests at once in the background. Example: `flood cotiza 300 group=screens ms=20`.
    Flood {
        /// Service.
        service: String,
        /// Requests.
        n: usize,
        /// Group.
        #[arg(key)]
        group: String,
        /// Time that each takes at the target.
        #[arg(key)]
        ms: u64,
    },
    /// Waits for the end of the flood and prints what became of it.
    EndFlood,
    /// Opens a long feed. Example: `feed f1 cotiza`.
    Feed {
        /// Name.
        name: String,
        /// Service.
        service: String,
    },
    /// Ends a feed by closing its caller's flow.
    CloseFeed(String),
    /// Prints the state of all feeds after each got some more ticks.
    Feeds,
    /// Starts traffic with keys in the background. Example: `traffic t1 cotiza every=10`.
    Traffic {
        /// Name.
        name: String,
        /// Service.
        service: String,
        /// Milliseconds between requests.
        #[arg(key)]
        every: Option<u64>,
        /// Time that each takes at the target.
        #[arg(key)]
        ms: Option<u64>,
    },
    /// Ends background traffic and prints what became of it.
    EndTraffic {
        /// Name.
        name: String,
        /// Print that some requests may be told "not run" or "unknown".
        #[arg(key, optional)]
        some_refused: bool,
    },
    /// Ends the agent whose target is running a request. Example: `kill_running cotiza`.
    KillRunning(String),
    /// Freezes the agent whose target is running a request.
    FreezeRunning(String),
    /// Lets the agent that was frozen last go on.
    ThawLast,
    /// Prints what became of the requests made in the background.
    Background,
    /// Ends a process without warning.
    Kill(String),
    /// Freezes a process.
    Freeze(String),
    /// Lets a frozen process go on.
    Thaw(String),
    /// Stops a process as planned and waits for its end.
    Stop(String),
    /// Waits for the end of a process that was asked to stop.
    Wait(String),
    /// Asks a process to stop as planned and goes on.
    Terminate(String),
    /// Starts a process again.
    Restart(String),
    /// Adds a balancer.
    AddBalancer(String),
    /// Adds a target and its agent. Example: `add_target cotiza 3`.
    AddTarget(String, usize),
    /// Lets the fabric use only these balancers.
    Use(Vec<String>),
    /// Sets what the fabric does to packets, in thousandths.
    Fabric {
        /// Lost.
        #[arg(key, optional)]
        lose: u32,
        /// Delivered twice.
        #[arg(key, optional)]
        double: u32,
        /// Overtaken.
        #[arg(key, optional)]
        cross: u32,
        /// Delay in milliseconds.
        #[arg(key, optional)]
        delay: u64,
    },
    /// Sets the platform's faults.
    Platform {
        /// Every call fails.
        #[arg(key, optional)]
        down: bool,
        /// Every call takes this much longer.
        #[arg(key, optional)]
        slow: u64,
        /// Writes that take effect without an answer.
        #[arg(key, optional)]
        lose: u32,
    },
    /// Sets how a target behaves.
    Target {
        /// Name.
        name: String,
        /// Slots.
        #[arg(key)]
        slots: Option<usize>,
        /// It sheds everything.
        #[arg(key, optional)]
        draining: bool,
        /// Its answers break off.
        #[arg(key, optional)]
        broken: bool,
    },
    /// Writes a node. Example: `set groups/new "tokens: []"`.
    Set {
        /// Node.
        path: String,
        /// YAML.
        text: String,
    },
    /// Writes a node with a long comment. Example: `set_long groups/new "tokens: []" 20000`.
    SetLong {
        /// Node.
        path: String,
        /// YAML.
        text: String,
        /// Length of the comment, in bytes.
        bytes: usize,
    },
    /// Runs `dillmillctl` and prints its exit code and output.
    Ctl(Vec<String>),
    /// Waits until the newest revision is in force everywhere.
    InForce,
    /// Waits until every process serves and knows all others.
    Settled,
    /// Waits until no process takes new work for an agent. Example: `left cotiza-a1`.
    Left(String),
    /// Lets time pass. Example: `pause 200`.
    Pause(u64),
    /// Prints whether a target's slots were ever overrun.
    Slots,
    /// Prints whether any target got a request of another service.
    WrongService,
    /// Prints whether a counter of a process is above zero.
    Counted {
        /// Process.
        name: String,
        /// Metric.
        metric: String,
    },
    /// Sends packets with foreign and forged connection ids to a service.
    Forge {
        /// Service.
        service: String,
        /// Packets.
        n: usize,
    },
}

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
        if let Step::Start { .. } = step {
            self.cluster = Some(Box::pin(Cluster::start(spec(step))).await?);
            return Ok("all serve\n".to_owned());
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
            Step::Feeds => self.show_feeds().await,
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

    async fn show_feeds(&self) -> Result<String, StandinError> {
        let before: Vec<u64> = self.feeds.values().map(|f| f.borrow().ticks).collect();
        let begun = Instant::now();
        while begun.elapsed() < SETTLE_LIMIT {
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

fn spec(step: &Step) -> ClusterSpec {
    let Step::Start { balancers, cotiza, cuadre, slots, seed, watchers, operation, limits } = step
    else {
        return ClusterSpec::default();
    };
    let slots = slots.unwrap_or(5);
    let mut services = vec![ServiceSpec::new("cotiza", cotiza.unwrap_or(2), slots)];
    if cuadre != &Some(0) {
        services.push(ServiceSpec::new("cuadre", cuadre.unwrap_or(2), slots));
    }
    // Tests don't wait for slow starts unless they say so.
    let operation = operation.as_deref().unwrap_or("warm_up: 0ms");
    let mut root_extra = format!("operation: {{ {operation} }}\n");
    if let Some(limits) = limits {
        let _ = writeln!(root_extra, "limits: {{ {limits} }}");
    }
    ClusterSpec {
        balancers: balancers.unwrap_or(3),
        services,
        root_extra,
        seed: seed.unwrap_or(1),
        watchers: watchers.unwrap_or(24),
        ..ClusterSpec::default()
    }
}

async fn ask_many(
    cluster: &Cluster,
    service: &str,
    n: usize,
    ms: u64,
    group: &str,
) -> Result<Verdicts, StandinError> {
    let call = Call::new(format!("/run?service={service}&ms={ms}"), format!("token-{group}"));
    let address = cluster.service_address(service)?;
    let mut verdicts = Verdicts::default();
    for _ in 0..n {
        verdicts.add(ask(address, cluster.certificate(), service, &call).await);
    }
    Ok(verdicts)
}

const FLOOD_FLOWS: usize = 12;

async fn flood(
    cluster: &Cluster,
    service: &str,
    n: usize,
    group: &str,
    ms: u64,
) -> Result<Vec<JoinHandle<Verdict>>, StandinError> {
    let call = Call::new(format!("/run?service={service}&ms={ms}"), format!("token-{group}"));
    let mut flows = Vec::new();
    for _ in 0..FLOOD_FLOWS {
        flows.push(cluster.caller(service).await?);
    }
    let mut requests = Vec::new();
    for i in 0..n {
        let mut caller = flows[i % flows.len()].share();
        let (call, service) = (call.clone(), service.to_owned());
        requests.push(compio::runtime::spawn(async move {
            ask_on(&mut caller, &service, &call).await.unwrap_or(Verdict::Broken)
        }));
    }
    Ok(requests)
}

/// Steps that change processes, settings or faults.
async fn change(cluster: &mut Cluster, step: &Step) -> Result<String, StandinError> {
    match step {
        Step::Kill(name) => {
            cluster.process(name)?.kill();
            cluster.forget(name);
        }
        Step::Freeze(name) => cluster.process(name)?.freeze()?,
        Step::Thaw(name) => cluster.process(name)?.thaw()?,
        Step::Terminate(name) => cluster.process(name)?.terminate()?,
        Step::Stop(name) => {
            cluster.process(name)?.terminate()?;
            return ended(cluster, name).await;
        }
        Step::Wait(name) => return ended(cluster, name).await,
        Step::Restart(name) => cluster.restart(name)?,
        Step::AddBalancer(name) => cluster.start_balancer(name)?,
        Step::AddTarget(service, i) => {
            cluster.start_pair(&ServiceSpec::new(service, 0, 5), *i)?;
        }
        Step::Use(names) => {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            cluster.use_balancers(&names).await?;
        }
        Step::Fabric { lose, double, cross, delay } => {
            cluster
                .fabric_rules(|rules| {
                    rules.lose_permille = *lose;
                    rules.double_permille = *double;
                    rules.cross_permille = *cross;
                    rules.delay_ms = *delay;
                })
                .await?;
        }
        Step::Platform { down, slow, lose } => {
            let faults = PlatformFaults { down: *down, slow_ms: *slow, lose_write_answers: *lose };
            cluster.platform_faults(&faults).await?;
        }
        Step::Target { name, slots, draining, broken } => {
            let rules = TargetRules {
                slots: slots.unwrap_or(5),
                draining: *draining,
                break_answers: *broken,
                ..TargetRules::default()
            };
            cluster.target_rules(name, &rules).await?;
        }
        Step::Set { path, text } => return cluster.set(path, text),
        Step::SetLong { path, text, bytes } => {
            let line = format!("# {}\n", "-".repeat(97));
            return cluster.set(path, &format!("{text}\n{}", line.repeat(bytes / line.len())));
        }
        Step::Ctl(args) => {
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            let output = cluster.ctl(&args)?;
            let text = format!("exit {}\n{}{}", output.code, output.out, output.err);
            return Ok(without_addresses(&text));
        }
        _ => {}
    }
    Ok(String::new())
}

async fn ended(cluster: &mut Cluster, name: &str) -> Result<String, StandinError> {
    let ended = cluster.process(name)?.wait(STOP_LIMIT).await;
    cluster.forget(name);
    Ok(match ended {
        Some(true) => format!("{name} ended well\n"),
        Some(false) => format!("{name} failed\n"),
        None => format!("{name} did not end\n"),
    })
}

/// Replaces addresses, which differ from run to run.
fn without_addresses(text: &str) -> String {
    let mut out = String::new();
    for word in text.split_inclusive(|c: char| c.is_whitespace()) {
        match word.find("127.") {
            Some(at) => {
                let end = word[at..].find(|c: char| !c.is_ascii_digit() && c != '.' && c != ':');
                let rest = end.map_or("", |end| &word[at + end..]);
                let _ = write!(out, "{}ADDRESS{rest}", &word[..at]);
            }
            None => out.push_str(word),
        }
    }
    out
}

async fn in_force(cluster: &Cluster) -> Result<String, StandinError> {
    let output = cluster.ctl(&["status", "--wait", "15s"])?;
    compio::time::sleep(Duration::ZERO).await;
    Ok(match output.code {
        0 => "in force everywhere\n".to_owned(),
        _ => format!("{}{}", output.out, output.err),
    })
}

/// Returns the agent beside the target that runs a request.
async fn running_agent(cluster: &Cluster, service: &str) -> Result<String, StandinError> {
    let begun = Instant::now();
    while begun.elapsed() < SETTLE_LIMIT {
        for target in cluster.target_names().iter().filter(|t| t.starts_with(service)) {
            if cluster.target_counts(target).await?.running > 0 {
                return Ok(target.replace("-t", "-a"));
            }
        }
        compio::time::sleep(POLL).await;
    }
    Err(StandinError::new("find the running target", "none runs anything"))
}

/// Waits until only the given agent itself takes it for serving, or nobody does.
async fn left(cluster: &Cluster, agent: &str) -> Result<String, StandinError> {
    let others: Vec<String> = cluster.members().into_iter().filter(|m| m != agent).collect();
    let all = u64::try_from(others.len()).unwrap_or(u64::MAX);
    let begun = Instant::now();
    loop {
        let mut behind = Vec::new();
        for name in &others {
            match cluster.status(name).await {
                Ok(status) if status.serving <= all => {}
                Ok(_) => behind.push(name.clone()),
                Err(e) => behind.push(e.to_string()),
            }
        }
        if behind.is_empty() {
            return Ok(format!("nobody gives new work to {agent}\n"));
        }
        if begun.elapsed() > SETTLE_LIMIT {
            return Ok(format!("still taken for serving by {behind:?}\n"));
        }
        compio::time::sleep(POLL).await;
    }
}

async fn slots(cluster: &Cluster) -> Result<String, StandinError> {
    let (mut shed, mut overrun) = (0, 0);
    for name in cluster.target_names() {
        if let Ok(counts) = cluster.target_counts(&name).await {
            shed += counts.shed;
            overrun += u64::from(counts.most_at_once > 5);
        }
    }
    Ok(format!("{shed} shed by targets, {overrun} targets overrun\n"))
}

async fn wrong_service(cluster: &Cluster) -> Result<String, StandinError> {
    let mut wrong = 0;
    for name in cluster.target_names() {
        wrong += cluster.target_counts(&name).await?.wrong_service;
    }
    Ok(format!("{wrong} requests at the wrong service\n"))
}

async fn forge(cluster: &Cluster, service: &str, n: usize) -> Result<String, StandinError> {
    use rand::{Rng, SeedableRng};
    let address = cluster.service_address(service)?;
    let socket =
        compio::net::UdpSocket::bind("127.0.0.1:0").await.map_err(StandinError::at("bind"))?;
    let mut rng = rand::rngs::SmallRng::seed_from_u64(5);
    for _ in 0..n {
        // A short header, a connection id under key 1 with random content, and noise.
        let mut packet = vec![0_u8; 60];
        rng.fill(&mut packet[..]);
        packet[0] = 0x40;
        packet[1] = 1;
        let sent = socket.send_to(packet, address).await;
        sent.0.map_err(StandinError::at("send"))?;
    }
    Ok(String::new())
}
