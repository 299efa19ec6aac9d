//! Open-loop load on the users' deployments, with one JSON result a run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::caller::Call;
use crate::traffic::{FeedLog, Verdict, Verdicts, ask_on, feed};
use crate::usage::Usage;
use crate::{Caller, Cluster, ClusterSpec, ServiceSpec, StandinError};

/// Delay of each packet at the fabric, each way.
const DELAY: Duration = Duration::from_millis(1);
const SAMPLE: Duration = Duration::from_millis(50);
const FLOWS_PER_GROUP: usize = 24;
const MEAN_SERVICE_MS: f64 = 20.0;
const CALL_LIMIT: Duration = Duration::from_secs(15);
const FIGURES: u8 = 3;

/// What a run consists of.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadSpec {
    /// `kiosks` or `ristebud`.
    pub deployment: String,
    /// Placement of requests.
    pub placement: String,
    /// Load of the first service, as a share of its slots.
    pub load: f64,
    /// Share of the load that one group asks for; the rest is divided among the others.
    pub flood: f64,
    /// Seconds.
    pub seconds: u64,
    /// Long feeds open meanwhile.
    pub feeds: usize,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Kill a balancer in the middle.
    pub kill_balancer: bool,
    /// Stop an agent as planned in the middle.
    pub stop_agent: bool,
    /// The baseline: callers ask the targets themselves in turn, over HTTP/1.1, past dillmill.
    #[serde(default)]
    pub straight: bool,
}

/// What a group saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct GroupResult {
    /// Requests.
    pub asked: u64,
    /// Whole answers.
    pub whole: u64,
    /// Told "not run".
    pub not_run: u64,
    /// Told "unknown".
    pub unknown: u64,
    /// Broken off.
    pub broken: u64,
    /// Median time of whole answers beyond the time at the target, in milliseconds.
    pub wait_p50_ms: f64,
    /// 99th percentile of it.
    pub wait_p99_ms: f64,
}

/// What a process used.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ProcessResult {
    /// Processor time as a share of one core.
    pub core: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Control bytes sent and received a second.
    pub control_bytes_per_second: f64,
}

/// The result of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadResult {
    /// The run.
    pub spec: LoadSpec,
    /// By group.
    pub groups: BTreeMap<String, GroupResult>,
    /// Feeds that broke off or had a gap.
    pub broken_feeds: usize,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Answers of another service.
    pub wrong_service: u64,
    /// Mean over samples of the most loaded target's slots in use over the mean target's.
    pub imbalance: f64,
    /// Mean share of slots in use.
    pub utilisation: f64,
    /// Requests handed over between agents, as a share of all.
    pub handed_over: f64,
    /// Requests that targets shed because their slots were overrun.
    pub shed: u64,
    /// By process.
    pub processes: BTreeMap<String, ProcessResult>,
}

fn cluster_spec(spec: &LoadSpec) -> Result<(ClusterSpec, usize), StandinError> {
    let operation = format!("operation: {{ warm_up: 0ms, placement: {} }}\n", spec.placement);
    let (balancers, services, slots) = match spec.deployment.as_str() {
        "kiosks" => (4, [("cotiza", 7), ("cuadre", 4)], 5),
        "ristebud" => (3, [("orders", 7), ("fulfilment", 3)], 7),
        other => return Err(StandinError::new("read deployment", format!("no {other}"))),
    };
    let services = services.iter().map(|(name, n)| ServiceSpec::new(name, *n, slots)).collect();
    let groups = ["north", "south", "east"].map(|g| (g.to_owned(), 10)).to_vec();
    let spec = ClusterSpec {
        balancers,
        services,
        groups,
        root_extra: operation,
        seed: spec.seed,
        log: "warn".to_owned(),
        ..ClusterSpec::default()
    };
    Ok((spec, slots))
}

struct Measured {
    waits: Histogram<u64>,
    verdicts: Verdicts,
}

type Shared = Rc<RefCell<BTreeMap<String, Measured>>>;

/// Makes a run and returns its result.
///
/// # Errors
///
/// Fails when the cluster can't be started or does not answer.
pub async fn run(spec: LoadSpec) -> Result<LoadResult, StandinError> {
    let (cluster_spec, slots) = cluster_spec(&spec)?;
    let service = cluster_spec.services[0].name.clone();
    let targets = cluster_spec.services[0].targets;
    let groups: Vec<String> = cluster_spec.groups.iter().map(|(g, _)| g.clone()).collect();
    let mut cluster = Box::pin(Cluster::start(cluster_spec)).await?;
    cluster
        .fabric_rules(|rules| rules.delay_ms = DELAY.as_millis().try_into().unwrap_or(1))
        .await?;
    let feeds = open_feeds(&cluster, &service, spec.feeds).await?;
    let measured: Shared = Rc::default();
    #[expect(clippy::cast_precision_loss, reason = "a few slots")]
    let rate = spec.load * (targets * slots) as f64 / (MEAN_SERVICE_MS / 1000.0);
    let before = usages(&mut cluster);
    let started = Instant::now();
    let span = Duration::from_secs(spec.seconds);
    let address = cluster.service_address(&service)?;
    let straight = if spec.straight { Some(Straight::new(&cluster, &service)?) } else { None };
    let mut sources = Vec::new();
    for (i, group) in (0_u64..).zip(&groups) {
        let share = if i == 0 { spec.flood } else { (1.0 - spec.flood) / 2.0 };
        let source = Source {
            service: service.clone(),
            group: group.clone(),
            address,
            certificate: cluster.certificate().to_owned(),
            rate: rate * share,
            seed: spec.seed * 1000 + i,
            span,
            measured: measured.clone(),
            straight: straight.clone(),
        };
        sources.push(compio::runtime::spawn(source.run()));
    }
    let (imbalance, utilisation) =
        sample(&mut cluster, &service, &spec, slots, started, span).await?;
    for source in sources {
        let _ = source.await;
    }
    let after = usages(&mut cluster);
    let elapsed = started.elapsed();
    let mut result = LoadResult {
        groups: BTreeMap::new(),
        broken_feeds: feeds.iter().filter(|f| f.borrow().ended.is_some()).count(),
        doubled: 0,
        wrong_service: 0,
        imbalance,
        utilisation,
        handed_over: 0.0,
        shed: 0,
        processes: process_results(&cluster, &before, &after, elapsed).await,
        spec,
    };
    take_counts(&cluster, &service, &mut result).await?;
    let asked = take_groups(&measured, &mut result);
    let handed = handed_over(&cluster).await;
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    {
        result.handed_over = handed as f64 / asked.max(1) as f64;
    }
    Ok(result)
}

async fn open_feeds(
    cluster: &Cluster,
    service: &str,
    n: usize,
) -> Result<Vec<Rc<RefCell<FeedLog>>>, StandinError> {
    let mut feeds = Vec::new();
    for _ in 0..n {
        feeds.push(feed(cluster, service, "token-south").await?);
    }
    Ok(feeds)
}

fn usages(cluster: &mut Cluster) -> BTreeMap<String, Usage> {
    let members = cluster.members();
    let mut usages = BTreeMap::new();
    for name in members {
        if let Ok(process) = cluster.process(&name) {
            usages.insert(name, Usage::of(process.id()));
        }
    }
    usages
}

#[expect(clippy::cast_precision_loss, reason = "bytes and milliseconds far below 2^52")]
async fn process_results(
    cluster: &Cluster,
    before: &BTreeMap<String, Usage>,
    after: &BTreeMap<String, Usage>,
    elapsed: Duration,
) -> BTreeMap<String, ProcessResult> {
    let mut results = BTreeMap::new();
    for (name, after) in after {
        let Some(before) = before.get(name) else { continue };
        let sent = cluster.metric(name, "dillmill_control_sent_bytes").await.unwrap_or(0);
        let received = cluster.metric(name, "dillmill_control_received_bytes").await.unwrap_or(0);
        let result = ProcessResult {
            core: after.cpu_since(before).as_secs_f64() / elapsed.as_secs_f64(),
            memory: after.memory,
            control_bytes_per_second: (sent + received) as f64 / elapsed.as_secs_f64(),
        };
        results.insert(name.clone(), result);
    }
    results
}

async fn take_counts(
    cluster: &Cluster,
    service: &str,
    result: &mut LoadResult,
) -> Result<(), StandinError> {
    let mut keys: BTreeMap<String, u64> = BTreeMap::new();
    for target in cluster.target_names() {
        let counts = cluster.target_counts(&target).await?;
        result.wrong_service += counts.wrong_service;
        if target.starts_with(service) {
            result.shed += counts.shed;
            for (key, n) in counts.keys {
                *keys.entry(key).or_default() += n;
            }
        }
    }
    result.doubled = keys.values().filter(|n| **n > 1).count().try_into().unwrap_or(u64::MAX);
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "microseconds far below 2^52")]
fn take_groups(measured: &Shared, result: &mut LoadResult) -> u64 {
    let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    let mut all = 0;
    for (group, m) in measured.borrow().iter() {
        let v = &m.verdicts;
        let refused: usize = v.refused.values().sum();
        let asked = count(v.whole + v.not_run + v.unknown + v.broken + v.wrong_service + refused);
        all += asked;
        result.wrong_service += count(v.wrong_service);
        result.groups.insert(
            group.clone(),
            GroupResult {
                asked,
                whole: count(v.whole),
                not_run: count(v.not_run),
                unknown: count(v.unknown),
                broken: count(v.broken),
                wait_p50_ms: m.waits.value_at_quantile(0.5) as f64 / 1000.0,
                wait_p99_ms: m.waits.value_at_quantile(0.99) as f64 / 1000.0,
            },
        );
    }
    all
}

async fn handed_over(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for name in cluster.members() {
        let n = cluster.metric(&name, "dillmill_handed_over").await.unwrap_or(0);
        sum += u64::try_from(n).unwrap_or(0);
    }
    sum
}

/// Samples the targets until the end, and makes the run's faults in the middle.
#[expect(clippy::cast_precision_loss, reason = "a few slots")]
async fn sample(
    cluster: &mut Cluster,
    service: &str,
    spec: &LoadSpec,
    slots: usize,
    started: Instant,
    span: Duration,
) -> Result<(f64, f64), StandinError> {
    let names: Vec<String> =
        cluster.target_names().into_iter().filter(|t| t.starts_with(service)).collect();
    let (mut ratios, mut uses) = (Vec::new(), Vec::new());
    let mut faults_due = true;
    while started.elapsed() < span {
        if faults_due && started.elapsed() > span / 2 {
            faults_due = false;
            make_faults(cluster, service, spec)?;
        }
        let mut in_use = Vec::new();
        for name in &names {
            in_use.push(cluster.target_counts(name).await?.running);
        }
        let sum: usize = in_use.iter().sum();
        let mean = sum as f64 / names.len() as f64;
        let most = in_use.iter().max().copied().unwrap_or(0) as f64;
        if mean > 0.0 {
            ratios.push(most / mean);
        }
        uses.push(mean / slots as f64);
        compio::time::sleep(SAMPLE).await;
    }
    let average = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
    Ok((average(&ratios), average(&uses)))
}

fn make_faults(cluster: &mut Cluster, service: &str, spec: &LoadSpec) -> Result<(), StandinError> {
    if spec.kill_balancer {
        cluster.process("b1")?.kill();
    }
    if spec.stop_agent {
        cluster.process(&format!("{service}-a1"))?.terminate()?;
    }
    Ok(())
}

/// Requests of one group at random times, on a set of flows.
struct Source {
    service: String,
    group: String,
    address: SocketAddr,
    certificate: String,
    rate: f64,
    seed: u64,
    span: Duration,
    measured: Shared,
    straight: Option<Straight>,
}

/// Callers that ask the targets themselves.
#[derive(Debug, Clone)]
struct Straight {
    client: cyper::Client,
    targets: Vec<SocketAddr>,
    next: Rc<Cell<usize>>,
}

impl Straight {
    fn new(cluster: &Cluster, service: &str) -> Result<Self, StandinError> {
        let names = cluster.target_names().into_iter().filter(|t| t.starts_with(service));
        let targets = names.map(|name| cluster.target(&name)).collect::<Result<Vec<_>, _>>()?;
        let client = cyper::Client::new().map_err(StandinError::at("make a client"))?;
        Ok(Self { client, targets, next: Rc::default() })
    }

    /// Asks the next target, with the delay that the fabric has in other runs.
    async fn ask(&self, call: &Call) -> Verdict {
        let turn = self.next.get();
        self.next.set(turn + 1);
        compio::time::sleep(2 * DELAY).await;
        let url = format!("http://{}{}", self.targets[turn % self.targets.len()], call.path);
        let answer = async {
            let response = self.client.get(url)?.send().await?;
            let status = response.status().as_u16();
            response.bytes().await.map(|_| status)
        };
        match answer.await {
            Ok(200) => Verdict::Whole,
            Ok(503) => Verdict::NotRun,
            Ok(status) => Verdict::Refused(status),
            Err(_) => Verdict::Broken,
        }
    }
}

impl Source {
    async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut flows: Vec<Option<Caller>> = Vec::new();
        for _ in 0..FLOWS_PER_GROUP {
            flows.push(Caller::connect(self.address, &self.certificate).await.ok());
        }
        let flows: Vec<Rc<RefCell<Option<Caller>>>> =
            flows.into_iter().map(|f| Rc::new(RefCell::new(f))).collect();
        let started = Instant::now();
        let mut next = Duration::ZERO;
        let mut n = 0_u64;
        let mut tasks = Vec::new();
        while next < self.span {
            compio::time::sleep_until(started + next).await;
            let flow = flows[rng.random_range(0..flows.len())].clone();
            let ms = exponential(&mut rng, MEAN_SERVICE_MS);
            let key = format!("{}-{}-{n}", self.service, self.group);
            tasks.push(compio::runtime::spawn(self.one(flow, key, ms)));
            n += 1;
            next += Duration::from_secs_f64(exponential(&mut rng, 1.0 / self.rate));
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    fn one(
        &self,
        flow: Rc<RefCell<Option<Caller>>>,
        key: String,
        ms: f64,
    ) -> impl Future<Output = ()> + use<> {
        let ms = Duration::from_secs_f64(ms / 1000.0);
        let path = format!("/run?service={}&ms={}", self.service, ms.as_millis());
        let call = Call::new(path, format!("token-{}", self.group)).key(key);
        let (service, group) = (self.service.clone(), self.group.clone());
        let (address, certificate) = (self.address, self.certificate.clone());
        let measured = self.measured.clone();
        let straight = self.straight.clone();
        async move {
            let started = Instant::now();
            let work = async {
                if let Some(straight) = &straight {
                    return Some(straight.ask(&call).await);
                }
                loop {
                    let known = flow.borrow().as_ref().map(Caller::share);
                    let mut caller = match known {
                        Some(caller) => caller,
                        None => Caller::connect(address, &certificate).await.ok()?,
                    };
                    match ask_on(&mut caller, &service, &call).await {
                        Some(verdict) => {
                            let broken = verdict == Verdict::Broken;
                            *flow.borrow_mut() = (!broken).then_some(caller);
                            return Some(verdict);
                        }
                        None => *flow.borrow_mut() = None,
                    }
                }
            };
            let verdict = compio::time::timeout(CALL_LIMIT, work).await.ok().flatten();
            let wait = started
                .elapsed()
                .saturating_sub(Duration::from_millis(u64::try_from(ms.as_millis()).unwrap_or(0)));
            record(&measured, group, verdict.unwrap_or(Verdict::Broken), wait);
        }
    }
}

fn record(measured: &Shared, group: String, verdict: Verdict, wait: Duration) {
    let mut measured = measured.borrow_mut();
    let m = measured.entry(group).or_insert_with(|| Measured {
        waits: Histogram::new(FIGURES).unwrap_or_else(|_| unreachable!("3 figures are allowed")),
        verdicts: Verdicts::default(),
    });
    m.verdicts.add(verdict);
    if verdict == Verdict::Whole {
        let _ = m.waits.record(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX));
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}
