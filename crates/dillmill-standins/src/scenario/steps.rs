//! Implements single scenario steps: they change a cluster or inspect its state.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;

use super::step::Step;
use crate::caller::Call;
use crate::platform::PlatformFaults;
use crate::target::TargetRules;
use crate::traffic::{OutcomeCounts, RequestOutcome, call_on_flow, call_on_new_flow};
use crate::{Cluster, ClusterSpec, ServiceSpec, StandinError};

pub(super) const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

pub(super) fn cluster_spec(step: &Step) -> ClusterSpec {
    let Step::Start { balancers, cotiza, cuadre, slots, seed, watchers, operation, limits, .. } =
        step
    else {
        return ClusterSpec::default();
    };
    let slots = slots.unwrap_or(5);
    let mut services = vec![ServiceSpec::new("cotiza", cotiza.unwrap_or(2), slots)];
    if cuadre != &Some(0) {
        services.push(ServiceSpec::new("cuadre", cuadre.unwrap_or(2), slots));
    }
    // Without a warm-up by default, so that only scenarios that set one wait for it.
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

pub(super) async fn ask_many(
    cluster: &Cluster,
    service: &str,
    n: usize,
    ms: u64,
    group: &str,
) -> Result<OutcomeCounts, StandinError> {
    let call = Call::new(format!("/run?service={service}&ms={ms}"), format!("token-{group}"));
    let address = cluster.service_address(service)?;
    let mut outcome_counts = OutcomeCounts::default();
    for _ in 0..n {
        outcome_counts.add(call_on_new_flow(address, cluster.certificate(), service, &call).await);
    }
    Ok(outcome_counts)
}

const FLOOD_FLOWS: usize = 12;

pub(super) async fn flood(
    cluster: &Cluster,
    service: &str,
    n: usize,
    group: &str,
    ms: u64,
) -> Result<Vec<JoinHandle<RequestOutcome>>, StandinError> {
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
            call_on_flow(&mut caller, &service, &call).await.unwrap_or(RequestOutcome::Broken)
        }));
    }
    Ok(requests)
}

/// Runs a step that changes processes, settings or faults.
pub(super) async fn apply_change(
    cluster: &mut Cluster,
    step: &Step,
) -> Result<String, StandinError> {
    match step {
        Step::Kill(name) => {
            cluster.process(name)?.kill();
            cluster.remove_process(name);
        }
        Step::Freeze(name) => cluster.process(name)?.freeze()?,
        Step::Thaw(name) => cluster.process(name)?.thaw()?,
        Step::Terminate(name) => cluster.process(name)?.terminate()?,
        Step::Stop(name) => {
            cluster.process(name)?.terminate()?;
            return wait_for_exit(cluster, name).await;
        }
        Step::Wait(name) => return wait_for_exit(cluster, name).await,
        Step::Restart(name) => cluster.restart(name)?,
        Step::AddBalancer(name) => cluster.start_balancer(name)?,
        Step::AddTarget(service, i) => {
            cluster.start_target_with_agent(&ServiceSpec::new(service, 0, 5), *i)?;
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
            let faults = PlatformFaults {
                down: *down,
                slow_ms: *slow,
                lose_write_answers: *lose,
                ..PlatformFaults::default()
            };
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

pub(super) async fn wait_for_exit(
    cluster: &mut Cluster,
    name: &str,
) -> Result<String, StandinError> {
    let ended = cluster.process(name)?.wait(STOP_TIMEOUT).await;
    cluster.remove_process(name);
    Ok(match ended {
        Some(true) => format!("{name} ended well\n"),
        Some(false) => format!("{name} failed\n"),
        None => format!("{name} did not end\n"),
    })
}

/// Replaces loopback addresses, which differ from run to run, by `ADDRESS`.
pub(super) fn without_addresses(text: &str) -> String {
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

pub(super) async fn wait_in_force(cluster: &Cluster) -> Result<String, StandinError> {
    let output = cluster.ctl(&["status", "--wait", "15s"])?;
    compio::time::sleep(Duration::ZERO).await;
    Ok(match output.code {
        0 => "in force everywhere\n".to_owned(),
        _ => format!("{}{}", output.out, output.err),
    })
}

/// Waits until a target of the service runs a request, and returns the agent of that target.
pub(super) async fn running_agent(
    cluster: &Cluster,
    service: &str,
) -> Result<String, StandinError> {
    let begun = Instant::now();
    while begun.elapsed() < SETTLE_TIMEOUT {
        for target in cluster.target_names().iter().filter(|t| t.starts_with(service)) {
            if cluster.target_counts(target).await?.running > 0 {
                return Ok(target.replace("-t", "-a"));
            }
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    Err(StandinError::new("find the running target", "no target of the service runs a request"))
}

/// Returns the agent that began the ring of a service, by its event of epoch 1.
pub(super) async fn first_agent(cluster: &Cluster, service: &str) -> Result<String, StandinError> {
    let begins = format!("ring of {service} has epoch 1\"");
    for name in cluster.members().into_iter().filter(|name| name.starts_with(service)) {
        if cluster.has_event(&name, &begins).await? {
            return Ok(name);
        }
    }
    Err(StandinError::new("find the first agent", "no agent has logged epoch 1 of the ring"))
}

/// Waits until no process except the given agent itself counts that agent as serving.
pub(super) async fn wait_until_left(
    cluster: &Cluster,
    agent: &str,
) -> Result<String, StandinError> {
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
        if begun.elapsed() > SETTLE_TIMEOUT {
            return Ok(format!("still taken for serving by {behind:?}\n"));
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

pub(super) async fn slots(cluster: &Cluster) -> Result<String, StandinError> {
    let (mut shed, mut overrun) = (0, 0);
    for name in cluster.target_names() {
        if let Ok(counts) = cluster.target_counts(&name).await {
            shed += counts.shed;
            overrun += u64::from(counts.most_at_once > cluster.target_slots(&name)?);
        }
    }
    Ok(format!("{shed} shed by targets, {overrun} targets overrun\n"))
}

pub(super) async fn wrong_service(cluster: &Cluster) -> Result<String, StandinError> {
    let mut wrong = 0;
    for name in cluster.target_names() {
        wrong += cluster.target_counts(&name).await?.wrong_service;
    }
    Ok(format!("{wrong} requests at the wrong service\n"))
}

pub(super) async fn send_forged_packets(
    cluster: &Cluster,
    service: &str,
    n: usize,
) -> Result<String, StandinError> {
    use rand::{Rng, SeedableRng};
    let address = cluster.service_address(service)?;
    let socket =
        compio::net::UdpSocket::bind("127.0.0.1:0").await.map_err(StandinError::at("bind"))?;
    let mut rng = rand::rngs::SmallRng::seed_from_u64(5);
    for _ in 0..n {
        // A short header, a connection id of flow key 1 with random content, and random bytes.
        let mut packet = vec![0_u8; 60];
        rng.fill(&mut packet[..]);
        packet[0] = 0x40;
        packet[1] = 1;
        let sent = socket.send_to(packet, address).await;
        sent.0.map_err(StandinError::at("send"))?;
    }
    Ok(String::new())
}
