//! Compares, in virtual time, what callers get with and without admission control, at loads beyond
//! all slots. Guards against refusals that cost callers an answer or that hit high priority first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::placement::{LoadDetail, LoadReport};
use dillmill_core::unservable::{DrainRate, QueuedTurn, min_wait, unservable};
use dillmill_core::{
    AdmissionLevel, FlowTuple, Percent, Priority, ProcessId, RouteEntry, Slots, TargetPace,
    Timestamp, attempt_timeout,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const AGENTS: usize = 4;
const SLOTS: usize = 3;
const RETRY_DELAY_MS: u64 = 60;
const LOAD_MS: u64 = 15_000;
const ATTEMPTS: u32 = 3;

/// What the callers of a service ask for. High priority is a quarter of the requests, and not
/// repeatable.
#[derive(Debug, Clone, Copy)]
struct Service {
    /// Demand in multiples of the slots.
    load: f64,
    work_ms: u32,
    timeout_ms: u64,
    low_repeatable: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Freed { agent: usize },
    AttemptStarts { n: usize },
    AttemptEnds { n: usize, attempt: u32 },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    asked: u64,
    high: bool,
    attempt: u32,
    /// Whether its present attempt has neither been served nor ended.
    waits: bool,
    answered: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Packet {
    n: usize,
    attempt: u32,
    since: u64,
    high: bool,
}

#[derive(Debug, Default)]
struct Agent {
    busy: usize,
    queue: Vec<Packet>,
}

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

impl Service {
    fn route(&self, high: bool) -> RouteEntry {
        RouteEntry {
            timeout: Some(Duration::from_millis(self.timeout_ms)),
            repeatable: !high && self.low_repeatable,
            priority: if high { Priority(1) } else { Priority(2) },
            ..RouteEntry::default()
        }
    }

    /// Returns how long callers wait in an attempt, as the agent assumes.
    fn assumed_ms(&self, high: bool) -> u64 {
        let route = self.route(high);
        let assumed = attempt_timeout::assumed(route.timeout, route.repeatable);
        u64::try_from(assumed.as_millis()).unwrap()
    }
}

impl Packet {
    fn late(&self, now: u64) -> bool {
        now - self.since > if self.high { 220 } else { 165 }
    }

    /// Rank in the order in which agents serve: in time, then late, both by priority and the oldest
    /// first; then those whose callers are gone.
    fn rank(&self, service: &Service, now: u64) -> (u8, bool, u64) {
        match (now - self.since >= service.assumed_ms(self.high), self.late(now)) {
            (true, _) => (2, !self.high, self.since),
            (false, true) => (1, !self.high, self.since),
            (false, false) => (0, !self.high, self.since),
        }
    }

    fn turn(&self, service: &Service, now: u64) -> QueuedTurn {
        let attempt_timeout = Duration::from_millis(service.assumed_ms(self.high));
        QueuedTurn {
            late: self.late(now),
            refusable: at(now).since(at(self.since))
                >= min_wait(Duration::from_millis(service.timeout_ms)),
            attempt_ends: at(self.since) + attempt_timeout,
            timeout: Duration::from_millis(service.timeout_ms),
            priority: service.route(self.high).priority,
            low_priority_share: Percent(0),
        }
    }
}

/// Numbers of requests by high and low priority.
#[derive(Debug, Default)]
struct Outcomes {
    served: [u32; 2],
    refused: [u32; 2],
    /// Refused share of low priority at each 100 ms.
    levels: Vec<u8>,
}

struct Simulation {
    control: bool,
    service: Service,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    requests: Vec<Request>,
    agents: Vec<Agent>,
    level: AdmissionLevel,
    outcomes: Outcomes,
}

fn simulate(control: bool, service: Service, seed: u64) -> Outcomes {
    let mut simulation = Simulation {
        control,
        service,
        rng: StdRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        requests: Vec::new(),
        agents: (0..AGENTS).map(|_| Agent::default()).collect(),
        level: AdmissionLevel::default(),
        outcomes: Outcomes::default(),
    };
    simulation.add_requests();
    for ms in 0..LOAD_MS + 2 * service.timeout_ms {
        simulation.step(ms);
    }
    simulation.count()
}

impl Simulation {
    fn add_requests(&mut self) {
        let slots = f64::from(u32::try_from(AGENTS * SLOTS).unwrap());
        let per_ms = self.service.load * slots / f64::from(self.service.work_ms);
        for ms in 0..LOAD_MS {
            // Thousandths of a millisecond with at most one request each.
            for _ in 0..20 {
                if self.rng.random::<f64>() < per_ms / 20.0 {
                    let high = self.rng.random::<f64>() < 0.25;
                    self.events
                        .push(Reverse((ms, Event::AttemptStarts { n: self.requests.len() })));
                    let request =
                        Request { asked: ms, high, attempt: 0, waits: false, answered: None };
                    self.requests.push(request);
                }
            }
        }
    }

    fn step(&mut self, ms: u64) {
        while let Some(Reverse((_, event))) = self.events.peek().copied().filter(|e| e.0.0 <= ms) {
            self.events.pop();
            match event {
                Event::Freed { agent } => self.agents[agent].busy -= 1,
                Event::AttemptStarts { n } => self.start(n, ms),
                Event::AttemptEnds { n, attempt } => self.end(n, attempt, ms),
            }
        }
        if self.control && ms.is_multiple_of(50) {
            (0..AGENTS).for_each(|agent| self.refuse_unservable(agent, ms));
            (0..AGENTS).for_each(|agent| self.report(agent, ms));
        }
        if ms.is_multiple_of(100) {
            self.level.step(at(ms));
            self.outcomes.levels.push(self.level.level(2).0);
        }
        (0..AGENTS).for_each(|agent| self.serve(agent, ms));
    }

    fn start(&mut self, n: usize, ms: u64) {
        let service = self.service;
        let request = &mut self.requests[n];
        request.attempt += 1;
        request.waits = true;
        let (attempt, high) = (request.attempt, request.high);
        let third = service.timeout_ms / u64::from(ATTEMPTS);
        let lasts = if service.route(high).repeatable { third } else { 1400 };
        let ends = (ms + lasts).min(request.asked + self.service.timeout_ms);
        self.events.push(Reverse((ends, Event::AttemptEnds { n, attempt })));
        let caller = SocketAddrV4::new(
            (0x6440_0000 + u32::try_from(n).unwrap()).into(),
            40_000 + u16::try_from(attempt).unwrap(),
        );
        let flow = FlowTuple::new(caller, "198.18.0.1:443".parse().unwrap());
        if self.control
            && let Some(refusal) = self.level.refusal(&flow, &service.route(high), at(ms))
        {
            if refusal.class == 1 {
                assert!(self.level.level(2) >= Percent(90), "low priority is still admitted");
            }
            return self.refuse(n, attempt, ms);
        }
        let agent = self.agents.iter_mut().min_by_key(|a| a.busy + a.queue.len()).unwrap();
        agent.queue.push(Packet { n, attempt, since: ms, high });
    }

    fn refuse(&mut self, n: usize, attempt: u32, ms: u64) {
        let request = &self.requests[n];
        if request.waits && request.attempt == attempt {
            self.outcomes.refused[usize::from(!request.high)] += 1;
        }
        self.end(n, attempt, ms);
    }

    /// Ends an attempt; the caller begins the next one if it has any left.
    fn end(&mut self, n: usize, attempt: u32, ms: u64) {
        let request = &mut self.requests[n];
        if request.attempt != attempt || !request.waits {
            return;
        }
        request.waits = false;
        let again = ms + RETRY_DELAY_MS;
        if attempt < ATTEMPTS && again < request.asked + self.service.timeout_ms {
            self.events.push(Reverse((again, Event::AttemptStarts { n })));
        }
    }

    fn refuse_unservable(&mut self, agent: usize, ms: u64) {
        let service = self.service;
        let Agent { busy, queue } = &mut self.agents[agent];
        queue.sort_by_key(|packet| packet.rank(&service, ms));
        let turns: Vec<QueuedTurn> = queue.iter().map(|packet| packet.turn(&service, ms)).collect();
        let interval =
            Duration::from_millis(u64::from(self.service.work_ms)) / u32::try_from(SLOTS).unwrap();
        let first_after = u32::try_from((*busy + 1).saturating_sub(SLOTS)).unwrap();
        let lost = unservable(&turns, DrainRate { first_after, interval }, at(ms));
        let refused: Vec<Packet> = lost.iter().rev().map(|u| queue.remove(u.index)).collect();
        for packet in refused {
            self.refuse(packet.n, packet.attempt, ms);
        }
    }

    fn report(&mut self, agent: usize, ms: u64) {
        let Agent { busy, queue } = &self.agents[agent];
        let waits = |p: &&Packet| ms - p.since < self.service.assumed_ms(p.high);
        let present = || queue.iter().filter(waits);
        let count = |high| u16::try_from(present().filter(|p| p.high == high).count()).unwrap();
        let process = ProcessId(u64::try_from(agent).unwrap());
        let report = LoadReport {
            in_use: u16::try_from(*busy).unwrap(),
            slots: Slots(u16::try_from(SLOTS).unwrap()),
            pace: TargetPace {
                work: Duration::from_millis(u64::from(self.service.work_ms)),
                cold: None,
            },
            detail: LoadDetail { waiting: [0, count(true), count(false), 0], flow_demand: None },
            ..LoadReport::idle(process, 0)
        };
        self.level.report(report, at(ms));
    }

    fn serve(&mut self, agent: usize, ms: u64) {
        let service = self.service;
        // The agent drops what has waited for the longest attempt.
        self.agents[agent].queue.retain(|packet| ms - packet.since < 1360);
        while self.agents[agent].busy < SLOTS {
            let queue = &mut self.agents[agent].queue;
            let next = (0..queue.len()).min_by_key(|i| queue[*i].rank(&service, ms));
            let Some(packet) = next.map(|i| queue.swap_remove(i)) else { return };
            let request = &mut self.requests[packet.n];
            let there = request.waits && request.attempt == packet.attempt;
            // A slot given to a caller that is gone is held for a round trip.
            let mut takes = 30;
            if there {
                takes = u64::from(self.service.work_ms) * self.rng.random_range(40..160) / 100;
                request.waits = false;
                request.answered = Some(ms + takes);
            }
            self.agents[agent].busy += 1;
            self.events.push(Reverse((ms + takes, Event::Freed { agent })));
        }
    }

    fn count(mut self) -> Outcomes {
        for request in &self.requests {
            let low = usize::from(!request.high);
            let served =
                request.answered.is_some_and(|ms| ms <= request.asked + self.service.timeout_ms);
            self.outcomes.served[low] += u32::from(served);
        }
        self.outcomes
    }
}

const FEEDS: Service = Service { load: 1.0, work_ms: 47, timeout_ms: 3000, low_repeatable: true };
const ORDERS: Service = Service { low_repeatable: false, ..FEEDS };
const LISTS: Service = Service { load: 1.0, work_ms: 25, timeout_ms: 1200, low_repeatable: true };
const LOSSES: Service = Service { low_repeatable: false, ..LISTS };

/// Callers get as many answers as without admission control, in all and by priority, also while the
/// load falls after 15 s.
#[rstest]
fn callers_served_no_worse(
    #[values(FEEDS, ORDERS, LISTS, LOSSES)] service: Service,
    #[values(1.1, 1.3, 2.0)] load: f64,
) {
    let (mut off, mut on) = ([0; 2], [0; 2]);
    for seed in 1..=4 {
        let service = Service { load, ..service };
        for (sum, control) in [(&mut off, false), (&mut on, true)] {
            let outcomes = simulate(control, service, seed);
            (0..2).for_each(|i| sum[i] += outcomes.served[i]);
            assert_eq!(outcomes.refused[0], 0, "high priority was refused");
        }
    }
    // The order of service differs a little, and with it which requests get the last slots.
    let no_fewer = |on: u32, off: u32| on * 1000 >= off * 998;
    assert!(no_fewer(on[0], off[0]) && no_fewer(on[1], off[1]), "{on:?} instead of {off:?}");
}

/// At four times the slots, the level settles and low priority is refused alone; after the load has
/// gone, nothing is refused.
#[rstest]
fn level_settles_and_falls(#[values(FEEDS, ORDERS, LISTS, LOSSES)] service: Service) {
    let Outcomes { levels, refused, .. } = simulate(true, Service { load: 4.0, ..service }, 1);
    assert!(refused[1] > 1000 && refused[0] == 0, "{refused:?}");
    let settled = &levels[50..150];
    let (low, high) = (settled.iter().min().unwrap(), settled.iter().max().unwrap());
    assert!(*low > 0 && high - low <= 40, "the level moves between {low} and {high}");
    // The wait falls below the limit at once, then the level by 10 points in 100 ms.
    assert!(levels[160..].iter().all(|level| *level == 0), "{:?}", &levels[150..]);
}
