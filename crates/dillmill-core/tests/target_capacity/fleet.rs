//! Targets, agents' reports and balancers in virtual time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::placement::{LoadDetail, LoadReport};
use dillmill_core::target_flows::TargetFlows;
use dillmill_core::{
    AgentTable, FlowPlacement, FlowTuple, Member, ProcessId, Role, Segment, SegmentKind,
    ServiceTag, TargetPace, Timestamp, Weight,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub(crate) const TARGETS: usize = 44;
pub(crate) const SLOTS: u16 = 3;
const BALANCERS: usize = 8;
const WORK_MS: f64 = 47.0;
/// Mean work of all requests, as 3 % take 7 times as long.
const MEAN_WORK_MS: f64 = WORK_MS * 1.18;
pub(crate) const ONE_OFF: u16 = 443;
const LONG: u16 = 444;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000) + Duration::from_millis(ms)
}

pub(crate) fn ms_of(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn addr(ip: u32, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(ip.into(), port)
}

fn stalls() -> ServiceTag {
    ServiceTag::from(&"stalls".parse().unwrap())
}

fn table() -> AgentTable {
    let member = |n: u32| Member {
        weight: Weight(SLOTS),
        ..Member::new(
            ProcessId(u64::from(n)),
            format!("vm-{n}").parse().unwrap(),
            "near".parse().unwrap(),
            Role::Agent("stalls".parse().unwrap()),
            addr(n + 1, 7001),
            addr(n + 1, 7000),
        )
    };
    let members: Vec<Member> = (0..u32::try_from(TARGETS).unwrap()).map(member).collect();
    AgentTable::new(members.iter(), &"near".parse().unwrap())
}

fn seg(flow: FlowTuple, kind: SegmentKind, ack: u32, len: u16) -> Segment {
    Segment { flow, kind, seq: 100, ack, len, returned: false, mark: 0 }
}

pub(crate) struct Target {
    flows: TargetFlows,
    pub(crate) speed: f64,
    pub(crate) running: Vec<(FlowTuple, u64)>,
    pub(crate) queue: VecDeque<(FlowTuple, f64)>,
    /// Mean of service times as it was before service times were capped.
    mean_work: f64,
    began: HashMap<FlowTuple, (u64, bool)>,
    busy: usize,
}

impl Target {
    fn take(&mut self, flow: FlowTuple, ack: u32, work: f64, ms: u64) {
        self.flows.note_caller(&seg(flow, SegmentKind::Data, ack, 300), SLOTS, at(ms));
        let unqueued = self.running.len() + self.queue.len() < usize::from(SLOTS);
        self.began.insert(flow, (ms, unqueued));
        self.queue.push_back((flow, work / self.speed));
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small times")]
    #[expect(clippy::cast_precision_loss, reason = "small times")]
    fn step(&mut self, ms: u64) -> Vec<FlowTuple> {
        let done: Vec<_> = self.running.extract_if(.., |(_, end)| *end <= ms).collect();
        for (flow, _) in &done {
            self.flows.note_target(&seg(*flow, SegmentKind::Data, 101, 700), at(ms));
            if let Some((began, true)) = self.began.remove(flow) {
                self.mean_work += ((ms - began) as f64 - self.mean_work) / 8.0;
            }
        }
        while self.running.len() < usize::from(SLOTS) {
            let Some((flow, work)) = self.queue.pop_front() else { break };
            self.running.push((flow, ms + work as u64));
        }
        self.busy += self.running.len();
        done.into_iter().map(|(flow, _)| flow).collect()
    }

    #[expect(clippy::cast_possible_truncation, reason = "small numbers")]
    fn report(&mut self, n: usize, rule: Rule, ms: u64) -> LoadReport {
        let load = self.flows.load(at(ms));
        let in_use = load.requests.min(u32::from(SLOTS));
        let work = match rule {
            Rule::Earlier => Duration::from_secs_f64(self.mean_work / 1000.0),
            Rule::Present => self.flows.measured_work().unwrap_or_default(),
        };
        let flow_demand = (rule == Rule::Present).then(|| self.flows.flow_demand(at(ms)));
        LoadReport {
            in_use: in_use as u16,
            queued: (load.requests - in_use) as u16,
            flows: load.flows,
            pace: TargetPace { work, cold: None },
            detail: LoadDetail { flow_demand, ..LoadDetail::default() },
            ..LoadReport::idle(ProcessId(n as u64), SLOTS)
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// Placement before it counted the demand of flows and speeds from 1.25 times the typical time.
    Earlier,
    Present,
}

pub(crate) struct Balancer {
    placement: FlowPlacement,
    reports: Vec<(LoadReport, u32)>,
    typical: Duration,
}

impl Balancer {
    pub(crate) fn report(&mut self, report: LoadReport) {
        self.placement.report(report);
        match report.pace.work {
            Duration::ZERO => {}
            work if work > self.typical => self.typical += self.typical / 50,
            _ => self.typical -= self.typical / 50,
        }
        self.reports[usize::try_from(report.process.0).unwrap()] = (report, 0);
    }

    pub(crate) fn place(
        &mut self,
        flow: FlowTuple,
        agents: &AgentTable,
        rule: Rule,
        ms: u64,
    ) -> usize {
        if rule == Rule::Present {
            let agent = self.placement.place(&flow, stalls(), agents, &[], at(ms)).unwrap();
            return usize::try_from(agent.process.0).unwrap();
        }
        let thousandths = |span: Duration| span.as_micros() * 1000 / self.typical.as_micros();
        let cost = |(report, sent): &(LoadReport, u32)| {
            let requests = u32::from(report.in_use) + u32::from(report.queued) + sent;
            let ahead = (requests * 1000 + report.flows * 50) / u32::from(SLOTS);
            if report.pace.work < self.typical * 2 {
                return u128::from(ahead);
            }
            thousandths(report.pace.work) - 1000 + thousandths(report.pace.work * ahead / 1000)
        };
        let key = |n: &usize| (cost(&self.reports[*n]), flow.score(*n as u64));
        let best = (0..TARGETS).min_by_key(key).unwrap();
        self.reports[best].1 += 1;
        best
    }
}

struct LongFlow {
    target: usize,
    balancer: usize,
    period: f64,
    ends: u64,
    ack: u32,
}

/// What callers got.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    requests: f64,
    in_time: f64,
    /// Shares of the slots of slow and of fast targets in use.
    pub(crate) busy: [f64; 2],
}

impl Outcome {
    pub(crate) fn late(&self) -> f64 {
        1.0 - self.in_time / self.requests
    }
}

pub(crate) struct Fleet {
    pub(crate) rng: SmallRng,
    rule: Rule,
    pub(crate) agents: AgentTable,
    pub(crate) targets: Vec<Target>,
    pub(crate) balancers: Vec<Balancer>,
    in_flight: VecDeque<(u64, LoadReport)>,
    open: HashMap<FlowTuple, (u64, usize)>,
    long: HashMap<FlowTuple, LongFlow>,
    due: BTreeMap<u64, Vec<FlowTuple>>,
    next_flow: u32,
    outcome: Outcome,
}

impl Fleet {
    pub(crate) fn new(seed: u64, rule: Rule, speeds: [f64; 2]) -> Self {
        let agents = table();
        let target = |n: usize| Target {
            flows: TargetFlows::default(),
            speed: speeds[usize::from(!n.is_multiple_of(4))],
            running: Vec::new(),
            queue: VecDeque::new(),
            mean_work: 50.0,
            began: HashMap::new(),
            busy: 0,
        };
        let balancer = |_| {
            let mut placement = FlowPlacement::default();
            placement.retain(&agents);
            let idle = |n: usize| (LoadReport::idle(ProcessId(n as u64), SLOTS), 0);
            Balancer { placement, reports: (0..TARGETS).map(idle).collect(), typical: ms_of(50) }
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            rule,
            targets: (0..TARGETS).map(target).collect(),
            balancers: (0..BALANCERS).map(balancer).collect(),
            agents,
            in_flight: VecDeque::new(),
            open: HashMap::new(),
            long: HashMap::new(),
            due: BTreeMap::new(),
            next_flow: 0,
            outcome: Outcome::default(),
        }
    }

    fn work(&mut self) -> f64 {
        let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let tail = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
        WORK_MS * tail * (0.5 * normal - 0.125).exp()
    }

    fn open(&mut self, port: u16, ms: u64) {
        self.next_flow += 1;
        let caller = addr(0x6440_0000 + self.next_flow, 40_000);
        let flow = FlowTuple::new(caller, addr(0xc612_0001, port));
        let balancer = self.rng.random_range(0..BALANCERS);
        let target = self.balancers[balancer].place(flow, &self.agents, self.rule, ms);
        let flows = &mut self.targets[target].flows;
        flows.opening(flow, 0, at(ms));
        flows.note_target(&seg(flow, SegmentKind::Accept, 1, 0), at(ms));
        flows.note_caller(&seg(flow, SegmentKind::Data, 101, 0), SLOTS, at(ms));
        let period = [400.0, 1000.0, 2500.0][usize::try_from(self.next_flow % 3).unwrap()];
        let ends = if port == LONG { ms + 10_000 } else { ms };
        self.long.insert(flow, LongFlow { target, balancer, period, ends, ack: 101 });
        self.request(flow, ms);
    }

    fn request(&mut self, flow: FlowTuple, ms: u64) {
        let work = self.work();
        let long = &self.long[&flow];
        self.open.insert(flow, (ms, long.target));
        let sent = seg(flow, SegmentKind::Data, long.ack, 300);
        self.balancers[long.balancer].placement.note_packet(&sent, at(ms));
        self.targets[long.target].take(flow, long.ack, work, ms);
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small times")]
    fn answered(&mut self, flow: FlowTuple, ms: u64) {
        let Some((began, target)) = self.open.remove(&flow) else { return };
        let objective = if flow.route().port() == LONG { 300 } else { 400 };
        self.outcome.requests += 1.0;
        self.outcome.in_time += f64::from(u8::from(ms - began <= objective));
        let long = self.long.get_mut(&flow).unwrap();
        long.ack += 700;
        if ms < long.ends {
            let period = long.period;
            let next = ms + 1 + (-period * (1.0 - self.rng.random::<f64>()).ln()) as u64;
            self.due.entry(next).or_default().push(flow);
            return;
        }
        let closed = self.long.remove(&flow).unwrap();
        let finish = seg(flow, SegmentKind::Finish, closed.ack, 0);
        self.balancers[closed.balancer].placement.note_packet(&finish, at(ms));
        self.targets[target].flows.note_caller(&finish, SLOTS, at(ms));
    }

    /// Runs until `until` with `one_off` and `long` new flows a second.
    pub(crate) fn run(&mut self, from: u64, until: u64, one_off: f64, long: f64) {
        for ms in from..until {
            for (port, rate) in [(ONE_OFF, one_off), (LONG, long)] {
                if self.rng.random_bool(rate / 1000.0) {
                    self.open(port, ms);
                }
            }
            for flow in self.due.remove(&ms).unwrap_or_default() {
                self.request(flow, ms);
            }
            for n in 0..TARGETS {
                for flow in self.targets[n].step(ms) {
                    self.answered(flow, ms);
                }
                if (ms + 7 * n as u64).is_multiple_of(50) {
                    let report = self.targets[n].report(n, self.rule, ms);
                    self.in_flight.push_back((ms + 50, report));
                }
            }
            while self.in_flight.front().is_some_and(|(due, _)| *due <= ms) {
                let (_, report) = self.in_flight.pop_front().unwrap();
                self.balancers.iter_mut().for_each(|balancer| balancer.report(report));
            }
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn measure(mut self, ms: u64) -> Outcome {
        let share = |busy: usize| busy as f64 / (ms as f64 * f64::from(SLOTS));
        let mean = |slow: bool| {
            let of: Vec<usize> = (0..TARGETS)
                .filter(|n| (n % 4 == 0) == slow)
                .map(|n| self.targets[n].busy)
                .collect();
            share(of.iter().sum::<usize>()) / of.len() as f64
        };
        self.outcome.busy = [mean(true), mean(false)];
        self.outcome
    }
}

/// Returns the rates of new flows at which `load` of the capacity of targets of `speeds` is used: one
/// request in five comes on a flow of its own, as `card-pay` does.
pub(crate) fn rates(load: f64, speeds: [f64; 2]) -> (f64, f64) {
    let capacity = (11.0 * speeds[0] + 33.0 * speeds[1]) * 3.0 * 1000.0 / MEAN_WORK_MS;
    // A long-lived flow brings 13 requests in its 10 s: 22, 10 and 4, and the first.
    (load * capacity * 0.2, load * capacity * 0.8 / 12.5)
}

pub(crate) fn simulate(seed: u64, rule: Rule, speeds: [f64; 2]) -> Outcome {
    let mut fleet = Fleet::new(seed, rule, speeds);
    let (one_off, long) = rates(0.8, speeds);
    fleet.run(0, 15_000, one_off, long);
    fleet.outcome = Outcome::default();
    fleet.targets.iter_mut().for_each(|target| target.busy = 0);
    fleet.run(15_000, 40_000, one_off, long);
    fleet.measure(25_000)
}
