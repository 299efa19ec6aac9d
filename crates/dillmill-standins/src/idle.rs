//! Measures what processes use for control traffic alone, in clusters of several sizes without callers,
//! and what open flows cost.

use std::time::Duration;

use serde_json::json;

use crate::usage::Usage;
use crate::{Cluster, ClusterSpec, ServiceSpec, StandinError};

const SETTLE_TIME: Duration = Duration::from_secs(25);
const MEASURE_TIME: Duration = Duration::from_secs(20);

/// Measures a cluster of `balancers` and `targets` without callers, with `changes` settings changes, and
/// prints one JSON line.
///
/// # Errors
///
/// Fails when the cluster can't be started or does not answer.
#[expect(clippy::cast_precision_loss, reason = "bytes and milliseconds far below 2^52")]
pub async fn run(balancers: usize, targets: usize, changes: u64) -> Result<(), StandinError> {
    let spec = ClusterSpec {
        balancers,
        services: vec![ServiceSpec::new("cotiza", targets, 5)],
        log: "warn".to_owned(),
        ..ClusterSpec::default()
    };
    let mut cluster = Box::pin(Cluster::start(spec)).await?;
    compio::time::sleep(SETTLE_TIME).await;
    let before = process_usages(&mut cluster).await?;
    let platform_before = cluster.platform_counts().await?;
    for n in 0..changes {
        cluster.ctl(&["edit", "groups/tellers", &format!("limits.weight={}", 20 + n % 50)])?;
    }
    compio::time::sleep(MEASURE_TIME).await;
    let after = process_usages(&mut cluster).await?;
    let platform_after = cluster.platform_counts().await?;
    let seconds = MEASURE_TIME.as_secs_f64();
    let mean = |role: &str, value: fn(&ProcessUsage) -> u64| {
        let of_role = |all: &[ProcessUsage]| -> u64 {
            all.iter().filter(|t| t.is_balancer == (role == "balancer")).map(value).sum()
        };
        let count = after.iter().filter(|t| t.is_balancer == (role == "balancer")).count();
        (of_role(&after) - of_role(&before)) as f64 / count.max(1) as f64 / seconds
    };
    let memory = |role: &str| {
        let all = after.iter().filter(|t| t.is_balancer == (role == "balancer"));
        all.map(|t| t.memory).max().unwrap_or(0)
    };
    let result = json!({
        "balancers": balancers,
        "agents": targets,
        "changes": changes,
        "balancer_bytes_per_second": mean("balancer", |t| t.bytes),
        "agent_bytes_per_second": mean("agent", |t| t.bytes),
        "balancer_core": mean("balancer", |t| t.cpu_ms) / 1000.0,
        "agent_core": mean("agent", |t| t.cpu_ms) / 1000.0,
        "balancer_memory": memory("balancer"),
        "agent_memory": memory("agent"),
        "platform_reads_per_second": (platform_after.reads - platform_before.reads) as f64 / seconds,
        "platform_writes_per_second": (platform_after.writes - platform_before.writes) as f64 / seconds,
        "platform_watches": platform_after.watches,
    });
    println!("{result}");
    Ok(())
}

struct ProcessUsage {
    is_balancer: bool,
    bytes: u64,
    cpu_ms: u64,
    memory: u64,
}

async fn process_usages(cluster: &mut Cluster) -> Result<Vec<ProcessUsage>, StandinError> {
    let mut process_usages = Vec::new();
    for name in cluster.members() {
        let sent = cluster.metric(&name, "dillmill_control_sent_bytes").await?;
        let received = cluster.metric(&name, "dillmill_control_received_bytes").await?;
        let usage = Usage::of(cluster.process(&name)?.id());
        process_usages.push(ProcessUsage {
            is_balancer: name.starts_with('b'),
            bytes: u64::try_from(sent + received).unwrap_or(0),
            cpu_ms: usage.cpu_ms,
            memory: usage.memory,
        });
    }
    Ok(process_usages)
}

/// Measures memory and processor time of open flows on an agent and a balancer, and prints one JSON
/// line.
///
/// # Errors
///
/// Fails when the cluster can't be started or a flow can't be opened.
#[expect(clippy::cast_precision_loss, reason = "bytes and milliseconds far below 2^52")]
pub async fn flows(flows: usize) -> Result<(), StandinError> {
    let spec = ClusterSpec {
        balancers: 1,
        services: vec![ServiceSpec::new("cotiza", 1, 5)],
        log: "warn".to_owned(),
        ..ClusterSpec::default()
    };
    let mut cluster = Box::pin(Cluster::start(spec)).await?;
    let before = process_usages(&mut cluster).await?;
    let mut open = Vec::with_capacity(flows);
    for _ in 0..flows {
        open.push(cluster.caller("cotiza").await?);
    }
    compio::time::sleep(Duration::from_secs(2)).await;
    let opened = process_usages(&mut cluster).await?;
    compio::time::sleep(MEASURE_TIME).await;
    let idle = process_usages(&mut cluster).await?;
    let of = |all: &[ProcessUsage], balancer: bool, value: fn(&ProcessUsage) -> u64| {
        all.iter().filter(|t| t.is_balancer == balancer).map(value).sum::<u64>()
    };
    let per_flow = |balancer: bool| {
        let growth =
            of(&opened, balancer, |t| t.memory).saturating_sub(of(&before, balancer, |t| t.memory));
        growth as f64 / flows as f64
    };
    let core = |balancer: bool| {
        let used = of(&idle, balancer, |t| t.cpu_ms) - of(&opened, balancer, |t| t.cpu_ms);
        used as f64 / 1000.0 / MEASURE_TIME.as_secs_f64()
    };
    let handshake = |balancer: bool| {
        let used = of(&opened, balancer, |t| t.cpu_ms) - of(&before, balancer, |t| t.cpu_ms);
        used as f64 / flows as f64
    };
    let result = json!({
        "flows": flows,
        "agent_bytes_per_flow": per_flow(false),
        "balancer_bytes_per_flow": per_flow(true),
        "agent_core_idle": core(false),
        "balancer_core_idle": core(true),
        "agent_cpu_ms_per_handshake": handshake(false),
        "balancer_cpu_ms_per_handshake": handshake(true),
    });
    println!("{result}");
    Ok(())
}
