//! A randomized soak of packet flows: real processes, faults from outside, promises checked meanwhile by
//! what callers and targets see.
//!
//! Everything that is drawn comes from the seed; how processes and callers interleave does not.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::flow_caller::FlowEnd;
use crate::flow_fleet::{FleetLayout, wait};
use crate::flow_proxy::ProxyMode;
use crate::platform::PlatformFaults;
use crate::{FlowCaller, FlowFleet, StandinError};

/// How long after a change of the route an old service may still get new flows.
const IN_FORCE: Duration = Duration::from_secs(3);
/// How long after an unplanned fault of its VM a flow may be given up.
const DISTURBED: Duration = Duration::from_secs(5);
const CALLERS: u8 = 6;
const SERVICES: [&str; 2] = ["orders", "labels"];
const TARGETS: u8 = 3;
const BALANCERS: u8 = 3;
const SETTLE: Duration = Duration::from_secs(20);
/// Seeds from this one on are played with balancers that have thin links, so that packets wait there. Earlier ones stay as they
/// were when they failed.
const THIN_FROM: u64 = 300;
/// Some 100 kB a second: the callers' packets and the messages between processes fill it now and then.
const THIN_LINK: &str = "0.8 Mbit/s";
/// Seeds from this one on are played in two data centres, of which one is evacuated now and then.
const ZONES_FROM: u64 = 400;
const ZONES: u8 = 2;

/// What came of a soak.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// What was done, in order.
    pub actions: Vec<String>,
    /// Requests answered.
    pub answered: u64,
    /// Flows or tries that ended without an answer, as faults explain.
    pub ended: u64,
    /// Where the logs of all processes are, if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// What is true at a moment, against which callers hold what they see.
struct Facts {
    started: Instant,
    report: SoakReport,
    living: BTreeSet<String>,
    disturbed: BTreeMap<String, Instant>,
    routes: Vec<(Instant, &'static str)>,
    /// The data centre that is evacuated, and since when.
    evacuated: Option<(u8, Instant)>,
}

type Shared = Rc<RefCell<Facts>>;

impl Facts {
    fn act(&mut self, what: &str) {
        let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
        self.report.actions.push(line);
    }

    fn breaks(&mut self, what: &str) {
        let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
        self.report.broken.push(line);
    }

    fn was_disturbed(&self, vm: &str) -> bool {
        let recent = |at: &Instant| at.elapsed() < DISTURBED;
        self.disturbed.get(vm).is_some_and(recent)
            || self.disturbed.iter().any(|(n, at)| n.starts_with("balancer") && recent(at))
    }

    /// Returns the services that a flow opened at `at` may be answered by.
    fn services(&self, at: Instant) -> Vec<&'static str> {
        let begin = at.checked_sub(IN_FORCE).unwrap_or(at);
        let before = self.routes.iter().rfind(|(since, _)| *since <= begin);
        let after = self.routes.iter().filter(|(since, _)| *since > begin);
        before.into_iter().chain(after).map(|(_, service)| *service).collect()
    }

    /// Returns whether a flow that was opened at `at` must not have gone to `run`.
    fn is_evacuated(&self, run: &str, at: Instant) -> bool {
        let number = vm_of(run).rsplit('-').next().and_then(|n| n.parse::<u8>().ok());
        let in_force = |(zone, since): (u8, Instant)| {
            let there = number.is_some_and(|n| (n - 1) % ZONES + 1 == zone);
            there && at > since + IN_FORCE
        };
        self.evacuated.is_some_and(in_force)
    }

    fn check_reset(&mut self, owner: &str) {
        let vm = vm_of(owner);
        if self.living.contains(owner) && !self.was_disturbed(vm) {
            self.breaks(&format!("flow of {owner} reset while its target lives"));
        }
        self.report.ended += 1;
    }
}

/// A run of a target is named after its VM: `orders-1/4`.
fn vm_of(run: &str) -> &str {
    run.split('/').next().unwrap_or(run)
}

/// Runs a soak of `length` with everything drawn from `seed`.
///
/// # Errors
///
/// Fails when the fleet can't be started or does not recover.
pub async fn run(seed: u64, length: Duration) -> Result<SoakReport, StandinError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let link = THIN_LINK.parse().ok().filter(|_| seed >= THIN_FROM);
    let services = SERVICES.map(|s| (s, TARGETS));
    let zones = if seed >= ZONES_FROM { ZONES } else { 1 };
    let layout = FleetLayout { link, zones };
    let mut fleet = FlowFleet::start_as(layout, BALANCERS, &services).await?;
    let started = Instant::now();
    let names: Vec<String> = SERVICES
        .iter()
        .flat_map(|service| (1..=TARGETS).map(move |n| format!("{service}-{n}")))
        .collect();
    let facts = Rc::new(RefCell::new(Facts {
        started,
        report: SoakReport::default(),
        living: names.iter().cloned().collect(),
        disturbed: BTreeMap::new(),
        routes: vec![(started.checked_sub(IN_FORCE).unwrap_or(started), SERVICES[0])],
        evacuated: None,
    }));
    let mut tasks = Vec::new();
    for n in 0..CALLERS {
        let caller = fleet.caller(n).await?;
        let load = call(caller, fleet.route(), facts.clone(), rng.random(), started + length);
        tasks.push(compio::runtime::spawn(load));
    }
    let mut faults = Faults { rng, names, facts: facts.clone(), runs: 0, version: 1, zones };
    while started.elapsed() < length {
        faults.next(&mut fleet).await?;
        let pause = faults.rng.random_range(50..700);
        compio::time::sleep(Duration::from_millis(pause)).await;
    }
    for task in tasks {
        task.await.map_err(|_| StandinError::new("join a caller", "it panicked"))?;
    }
    faults.settle(&mut fleet).await?;
    let mut report = std::mem::take(&mut facts.borrow_mut().report);
    if !report.broken.is_empty() {
        report.logs = Some(fleet.keep_logs());
    }
    Ok(report)
}

/// Runs a soak for each seed and prints what came of it.
///
/// # Errors
///
/// Fails when a promise was broken, after the last seed.
pub async fn run_seeds(seeds: std::ops::Range<u64>, length: Duration) -> Result<(), StandinError> {
    let mut failed = Vec::new();
    for seed in seeds {
        let report = match Box::pin(run(seed, length)).await {
            Ok(report) => report,
            Err(e) => SoakReport { broken: vec![e.to_string()], ..SoakReport::default() },
        };
        println!(
            "seed {seed}: {} answered, {} ended, {} actions, {} broken",
            report.answered,
            report.ended,
            report.actions.len(),
            report.broken.len()
        );
        if !report.broken.is_empty() {
            for line in report.actions.iter().chain(&report.broken) {
                println!("  {line}");
            }
            if let Some(logs) = &report.logs {
                println!("  logs are in {}", logs.display());
            }
            failed.push(seed.to_string());
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(StandinError::new("soak", format!("promises broken with seeds {}", failed.join(" "))))
}

/// A caller that keeps one flow for many requests and opens others for one each.
async fn call(caller: FlowCaller, route: SocketAddrV4, facts: Shared, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept = None;
    while Instant::now() < until {
        let fresh = rng.random_ratio(1, 3);
        let at = Instant::now();
        let (mut flow, owner) = if let Some(open) = kept.take().filter(|_| !fresh) {
            open
        } else if let Ok(flow) = caller.open(route).await {
            (flow, (None, at))
        } else {
            facts.borrow_mut().report.ended += 1;
            continue;
        };
        let (before, opened) = owner;
        match flow.request().await {
            Ok(run) => {
                check_answer(&mut facts.borrow_mut(), before.as_deref(), &run, opened);
                kept = Some((flow, (Some(run), opened)));
            }
            Err(FlowEnd::Reset) => match before {
                Some(run) => facts.borrow_mut().check_reset(&run),
                None => facts.borrow_mut().report.ended += 1,
            },
            Err(FlowEnd::Silent) => facts.borrow_mut().report.ended += 1,
        }
        compio::time::sleep(Duration::from_millis(rng.random_range(10..120))).await;
    }
}

fn check_answer(facts: &mut Facts, before: Option<&str>, run: &str, opened: Instant) {
    facts.report.answered += 1;
    match before {
        Some(before) if before != run => {
            facts.breaks(&format!("flow of {before} answered by {run}"));
        }
        Some(_) => {}
        None => {
            if facts.is_evacuated(run, opened) {
                facts
                    .breaks(&format!("new flow answered by {run}, whose data centre is evacuated"));
            }
            let allowed = facts.services(opened);
            if !allowed.iter().any(|service| run.starts_with(service)) {
                facts.breaks(&format!("new flow answered by {run}, only {allowed:?} may"));
            }
        }
    }
}

/// Draws faults and does them.
struct Faults {
    rng: StdRng,
    names: Vec<String>,
    facts: Shared,
    runs: u32,
    version: u64,
    zones: u8,
}

impl Faults {
    fn any_vm(&mut self) -> String {
        let balancers = usize::from(BALANCERS);
        let n = self.rng.random_range(0..self.names.len() + balancers);
        match self.names.get(n) {
            Some(name) => name.clone(),
            None => format!("balancer-{}", n - self.names.len() + 1),
        }
    }

    fn disturb(&self, vm: &str, what: &str) {
        let mut facts = self.facts.borrow_mut();
        facts.act(&format!("{what} {vm}"));
        facts.disturbed.insert(vm.to_owned(), Instant::now());
    }

    fn short(&mut self, most_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(20..most_ms))
    }

    async fn next(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let kinds = if self.zones > 1 { 15 } else { 12 };
        match self.rng.random_range(0..kinds) {
            0 | 1 => self.kill(fleet).await,
            2 => self.stop(fleet).await,
            3 | 4 => self.pause(fleet).await,
            5 => self.replace_target(fleet).await,
            6 => self.drain_target(fleet).await,
            7 | 8 => self.change_route(fleet).await,
            9 => self.break_store(fleet).await,
            10 => self.break_proxy(fleet).await,
            12.. => self.evacuate(fleet).await,
            _ => {
                let vm = self.any_vm();
                self.facts.borrow_mut().act(&format!("hang up {vm}"));
                fleet.hang_up(&vm)
            }
        }
    }

    /// Kills one to three processes at once and starts them again.
    async fn kill(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let count = self.rng.random_range(1..=3);
        let vms: BTreeSet<String> = (0..count).map(|_| self.any_vm()).collect();
        for vm in &vms {
            self.disturb(vm, "kill");
            fleet.kill(vm)?;
        }
        compio::time::sleep(self.short(800)).await;
        for vm in &vms {
            fleet.run(vm)?;
            self.disturb(vm, "start");
        }
        Ok(())
    }

    async fn stop(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.any_vm();
        self.facts.borrow_mut().act(&format!("stop {vm}"));
        if !fleet.stop(&vm).await? {
            self.facts.borrow_mut().breaks(&format!("{vm} did not stop as planned"));
        }
        fleet.run(&vm)
    }

    async fn pause(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.any_vm();
        self.disturb(&vm, "pause");
        fleet.freeze(&vm)?;
        compio::time::sleep(self.short(1500)).await;
        fleet.thaw(&vm)?;
        self.disturb(&vm, "resume");
        Ok(())
    }

    async fn replace_target(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.names[self.rng.random_range(0..self.names.len())].clone();
        self.runs += 1;
        let run = format!("{vm}/{}", self.runs);
        {
            let mut facts = self.facts.borrow_mut();
            facts.act(&format!("replace target by {run}"));
            facts.living.retain(|living| vm_of(living) != vm);
        }
        // Callers open flows at the new run before it has spoken.
        let silence = self.short(500);
        fleet.run_silent_target(&vm, &run, silence).await?;
        self.facts.borrow_mut().living.insert(run);
        Ok(())
    }

    /// Has a target leave, holds it to its word for a while, and puts another run in its place.
    async fn drain_target(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.names[self.rng.random_range(0..self.names.len())].clone();
        self.facts.borrow_mut().act(&format!("drain target of {vm}"));
        fleet.target(&vm)?.drain();
        compio::time::sleep(IN_FORCE).await;
        if fleet.target(&vm)?.drain_acknowledged() {
            let opened = fleet.target(&vm)?.opened();
            compio::time::sleep(self.short(800)).await;
            if fleet.target(&vm)?.opened() > opened {
                self.facts.borrow_mut().breaks(&format!("leaving target of {vm} got a new flow"));
            }
        }
        self.runs += 1;
        let run = format!("{vm}/{}", self.runs);
        self.facts.borrow_mut().living.retain(|living| vm_of(living) != vm);
        fleet.run_target(&vm, &run).await?;
        self.facts.borrow_mut().living.insert(run);
        Ok(())
    }

    async fn change_route(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        let changes = self.rng.random_range(1..=4);
        // Processes may follow before the store's answer is here; the time limit runs from that answer on.
        self.facts.borrow_mut().routes.push((Instant::now(), service));
        for _ in 0..changes {
            self.version += self.rng.random_range(1..=3);
            fleet.set_route(self.version, service).await?;
        }
        self.forgive_route();
        self.facts.borrow_mut().act(&format!("route to {service} in {changes} changes"));
        Ok(())
    }

    /// Orders one of the data centres to be evacuated, or takes the order back.
    async fn evacuate(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let before = self.facts.borrow_mut().evacuated.take();
        let zone = before.map_or_else(|| self.rng.random_range(1..=self.zones), |(zone, _)| zone);
        let ordered = before.is_none();
        fleet.evacuate(&format!("zone-{zone}"), ordered).await?;
        let mut facts = self.facts.borrow_mut();
        facts.act(&format!("zone-{zone} is to get no new flows: {ordered}"));
        facts.evacuated = ordered.then(|| (zone, Instant::now()));
        Ok(())
    }

    async fn break_store(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let faults = match self.rng.random_range(0..3) {
            0 => PlatformFaults { down: true, ..PlatformFaults::default() },
            1 => PlatformFaults { slow_ms: 200, ..PlatformFaults::default() },
            _ => PlatformFaults { forget_history: true, ..PlatformFaults::default() },
        };
        self.facts.borrow_mut().act(&format!("store {faults:?}"));
        fleet.store_faults(&faults).await?;
        compio::time::sleep(self.short(2500)).await;
        fleet.store_faults(&PlatformFaults::default()).await?;
        self.facts.borrow_mut().act("store mended");
        self.forgive_route();
        Ok(())
    }

    async fn break_proxy(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let mode = match self.rng.random_range(0..4) {
            0 => ProxyMode::Delay(Duration::from_millis(300)),
            1 => ProxyMode::Silent,
            2 => ProxyMode::OneWay,
            _ => ProxyMode::Reset,
        };
        self.facts.borrow_mut().act(&format!("way to the store {mode:?}"));
        fleet.proxy().set(mode);
        compio::time::sleep(self.short(2500)).await;
        fleet.proxy().set(ProxyMode::Pass);
        self.facts.borrow_mut().act("way to the store mended");
        self.forgive_route();
        Ok(())
    }

    /// A change of a route, or an order to evacuate, that was made while the store could not be read counts from its return.
    fn forgive_route(&self) {
        let mut facts = self.facts.borrow_mut();
        if let Some((since, _)) = facts.routes.last_mut() {
            *since = Instant::now();
        }
        if let Some((_, since)) = &mut facts.evacuated {
            *since = Instant::now();
        }
    }

    /// After all faults everything must serve again.
    async fn settle(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        if self.facts.borrow().evacuated.is_some() {
            self.evacuate(fleet).await?;
        }
        let router = fleet.router();
        let all = usize::from(BALANCERS);
        wait(SETTLE, "readiness after the faults", || router.ready() == all).await?;
        let caller = fleet.caller(CALLERS).await?;
        let mut ends = Vec::new();
        for n in 0..20 {
            match caller.open(fleet.route()).await {
                Ok(mut flow) => {
                    if let Err(end) = flow.request().await {
                        ends.push(format!("request {n} {end:?}"));
                    }
                }
                Err(end) => ends.push(format!("opening {n} {end:?}")),
            }
        }
        if ends.len() > 2 {
            self.facts.borrow_mut().breaks(&format!("of 20 at the end: {}", ends.join(", ")));
        }
        Ok(())
    }
}
