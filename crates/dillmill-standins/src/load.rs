//! Runs the users' deployments under open-loop load, with one JSON result for each run.

mod direct;
mod generator;
mod load_result;
mod load_spec;
mod measurements;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use direct::DirectCaller;
use generator::LoadGenerator;
pub use load_result::{GroupResult, LoadResult, ProcessResult};
pub use load_spec::LoadSpec;
use measurements::MeasurementsByGroup;

use crate::traffic::{FeedLog, feed};
use crate::usage::Usage;
use crate::{Cluster, ClusterSpec, ServiceSpec, StandinError};

/// Delay that the fabric adds to each packet in each direction.
const FABRIC_DELAY: Duration = Duration::from_millis(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const MEAN_SERVICE_MS: f64 = 20.0;

fn cluster_spec(spec: &LoadSpec) -> Result<(ClusterSpec, usize), StandinError> {
    let operation = format!("operation: {{ warm_up: 0ms, placement: {} }}\n", spec.placement);
    let (balancers, services, slots) = match spec.deployment.as_str() {
        "kiosks" => (4, [("cotiza", 7), ("cuadre", 4)], 5),
        "ristebud" => (3, [("orders", 7), ("fulfilment", 3)], 7),
        other => {
            return Err(StandinError::new(
                "read deployment",
                format!("unknown deployment {other}"),
            ));
        }
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

/// Makes one load run and returns its result.
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
        .fabric_rules(|rules| rules.delay_ms = FABRIC_DELAY.as_millis().try_into().unwrap_or(1))
        .await?;
    let feeds = open_feeds(&cluster, &service, spec.feeds).await?;
    let measurements = MeasurementsByGroup::default();
    #[expect(clippy::cast_precision_loss, reason = "a few slots")]
    let rate = spec.load * (targets * slots) as f64 / (MEAN_SERVICE_MS / 1000.0);
    let before = usages(&mut cluster);
    let started = Instant::now();
    let span = Duration::from_secs(spec.seconds);
    let address = cluster.service_address(&service)?;
    let direct = if spec.direct { Some(DirectCaller::new(&cluster, &service)?) } else { None };
    let mut generators = Vec::new();
    for (i, group) in (0_u64..).zip(&groups) {
        let share = if i == 0 { spec.flood } else { (1.0 - spec.flood) / 2.0 };
        let generator = LoadGenerator {
            service: service.clone(),
            group: group.clone(),
            address,
            certificate: cluster.certificate().to_owned(),
            rate: rate * share,
            seed: spec.seed * 1000 + i,
            span,
            measurements: measurements.clone(),
            direct: direct.clone(),
        };
        generators.push(compio::runtime::spawn(generator.run()));
    }
    let (imbalance, utilisation) =
        sample(&mut cluster, &service, &spec, slots, started, span).await?;
    for generator in generators {
        let _ = generator.await;
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
    add_target_counts(&cluster, &service, &mut result).await?;
    let asked = measurements.write_to(&mut result);
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

async fn add_target_counts(
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

async fn handed_over(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for name in cluster.members() {
        let n = cluster.metric(&name, "dillmill_handed_over").await.unwrap_or(0);
        sum += u64::try_from(n).unwrap_or(0);
    }
    sum
}

/// Samples the slots in use at the targets until the run ends, and injects the run's faults halfway
/// through. Returns the mean imbalance and utilisation.
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
            inject_faults(cluster, service, spec)?;
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
        compio::time::sleep(SAMPLE_INTERVAL).await;
    }
    let average = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
    Ok((average(&ratios), average(&uses)))
}

fn inject_faults(
    cluster: &mut Cluster,
    service: &str,
    spec: &LoadSpec,
) -> Result<(), StandinError> {
    if spec.kill_balancer {
        cluster.process("b1")?.kill();
    }
    if spec.stop_agent {
        cluster.process(&format!("{service}-a1"))?.terminate()?;
    }
    Ok(())
}
