//! Simulation of callers, agents and targets in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use dillmill_core::open_queue::{WaitTerms, WaitingOpen};
use dillmill_core::{OverloadPolicy, Timestamp, attempt_timeout};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::agent_queue::{AgentQueue, WaitingRequest};
use super::packet_ids::{envelope, flow};
use super::queue_order::QueueOrder;
use super::scenario::{CallerClass, OutageScenario, Scenario};
use super::tally::{ClassTally, Tally};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Times after the start of an attempt at which the caller sends the copies of its opening packet.
const COPY_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Upper limit of the time after which an attempt without a response ends.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1400);
const MAX_ATTEMPTS: u32 = 3;
/// Time that a caller waits between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time for which a slot is held for a caller that does not open its flow.
const ABANDONED_HOLD: Duration = Duration::from_millis(30);
/// Time after which it is known whether a caller has opened its flow.
const OUTCOME_DELAY: Duration = Duration::from_millis(100);
/// Time at which the power fails.
const OUTAGE_START: Duration = Duration::from_secs(1);
/// Time during which new requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(8);
/// Time after their start during which targets are slow.
const COLD_PERIOD: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AttemptStarts,
    Packet { copies: u32 },
    AttemptEnds,
    Outcome { waited: Duration, opened: bool },
    Done,
    SlotFreed,
}

#[derive(Debug)]
struct Request {
    class: usize,
    asked: Timestamp,
    work: Duration,
    /// The agent of the current attempt.
    agent: usize,
    attempt: u32,
    attempt_began: Timestamp,
    attempt_open: bool,
    served: bool,
    answered: Option<Timestamp>,
    abandoned: u32,
}

/// An attempt of request `n` at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    n: usize,
    number: u32,
    agent: usize,
}

/// Simulates an outage with one order and returns the outcomes.
#[must_use]
pub fn simulate(order: QueueOrder, scenario: &OutageScenario, seed: u64) -> Tally {
    let mut sum = Tally::default();
    for class in simulate_classes(order, &(*scenario).into(), seed) {
        sum += class.tally;
    }
    sum
}

/// Simulates a scenario with one order and returns the outcomes of each class of callers.
#[must_use]
pub fn simulate_classes(order: QueueOrder, scenario: &Scenario, seed: u64) -> Vec<ClassTally> {
    let mut simulation = Simulation::new(order, scenario, seed);
    while let Some(Reverse((now, _, at, event))) = simulation.events.pop() {
        simulation.event(at, event, now);
    }
    simulation.tally()
}

type Entry = Reverse<(Timestamp, u64, Attempt, Event)>;

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    requests: Vec<Request>,
    events: BinaryHeap<Entry>,
    scheduled: u64,
    agents: Vec<AgentQueue>,
}

impl<'a> Simulation<'a> {
    fn new(order: QueueOrder, scenario: &'a Scenario, seed: u64) -> Self {
        let started = START + OUTAGE_START + scenario.outage;
        let targets = scenario.targets.iter();
        let mut simulation = Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            agents: targets.map(|target| AgentQueue::new(order, *target, started)).collect(),
        };
        for (i, class) in scenario.classes.iter().enumerate() {
            simulation.schedule_requests(i, class);
        }
        simulation
    }

    fn schedule_requests(&mut self, i: usize, class: &CallerClass) {
        let mut asked = START;
        while asked.since(START) < ARRIVAL_PERIOD {
            let load = class.load * self.scenario.load_factor(asked.since(START));
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / load;
            asked = asked + Duration::from_secs_f64(gap);
            let mut work = class.work.mul_f64(0.4 + 1.2 * self.rng.random::<f64>());
            if let Some(tail) = self.scenario.tail
                && self.rng.random_bool(tail.share)
            {
                work = work.mul_f64(tail.factor);
            }
            let n = self.requests.len();
            self.schedule(asked, Attempt { n, number: 0, agent: 0 }, Event::AttemptStarts);
            self.requests.push(Request {
                class: i,
                asked,
                work,
                agent: 0,
                attempt: 0,
                attempt_began: asked,
                attempt_open: false,
                served: false,
                answered: None,
                abandoned: 0,
            });
        }
    }

    fn schedule(&mut self, time: Timestamp, at: Attempt, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((time, self.scheduled, at, event)));
    }

    fn class(&self, n: usize) -> CallerClass {
        self.scenario.classes[self.requests[n].class]
    }

    fn outage_end(&self) -> Timestamp {
        START + OUTAGE_START + self.scenario.outage
    }

    fn event(&mut self, at: Attempt, event: Event, now: Timestamp) {
        match event {
            Event::AttemptStarts => return self.begin_attempt(at.n, now),
            Event::Packet { copies } => self.packet(at, copies, now),
            Event::AttemptEnds => self.end_attempt(at, now),
            Event::Outcome { waited, opened } => {
                self.agents[at.agent].note_outcome(waited, opened, now);
            }
            Event::Done => {
                self.agents[at.agent].busy -= 1;
                self.requests[at.n].answered = Some(now);
            }
            Event::SlotFreed => self.agents[at.agent].busy -= 1,
        }
        self.serve(at.agent, now);
    }

    fn begin_attempt(&mut self, n: usize, now: Timestamp) {
        let class = self.class(n);
        let agent = if class.open_flow { n % self.agents.len() } else { self.place() };
        let req = &mut self.requests[n];
        let left = (req.asked + class.timeout).since(now);
        req.attempt += 1;
        req.attempt_began = now;
        req.attempt_open = true;
        req.agent = agent;
        let at = Attempt { n, number: req.attempt, agent };
        let length = attempt_length(&class, at.number, left);
        for (copies, after) in (0..).zip(COPY_DELAYS) {
            self.schedule(now + after, at, Event::Packet { copies });
        }
        self.schedule(now + length, at, Event::AttemptEnds);
    }

    /// Chooses the less loaded of two random agents.
    fn place(&mut self) -> usize {
        let n = self.agents.len();
        if n == 1 {
            return 0;
        }
        let (a, b) = (self.rng.random_range(0..n), self.rng.random_range(0..n));
        if self.agents[a].load() <= self.agents[b].load() { a } else { b }
    }

    fn end_attempt(&mut self, at: Attempt, now: Timestamp) {
        let class = self.class(at.n);
        let req = &mut self.requests[at.n];
        if req.attempt != at.number || req.served {
            return;
        }
        req.attempt_open = false;
        let again = now + RETRY_DELAY;
        if at.number < MAX_ATTEMPTS && again.since(req.asked) < class.timeout {
            self.schedule(again, at, Event::AttemptStarts);
        }
    }

    /// Returns the agents' policy: priority order applies where classes differ in priority.
    fn policy(&self) -> OverloadPolicy {
        let classes = &self.scenario.classes;
        let priority_order = classes.iter().any(|class| class.priority != classes[0].priority);
        OverloadPolicy { priority_order, ..OverloadPolicy::default() }
    }

    fn packet(&mut self, at: Attempt, copies: u32, now: Timestamp) {
        let class = self.class(at.n);
        let req = &self.requests[at.n];
        let down = now.since(START) >= OUTAGE_START && now < self.outage_end();
        if down || req.attempt != at.number || !req.attempt_open || req.served {
            return;
        }
        let open = WaitingOpen {
            flow: flow(at.n, at.number),
            packet: Vec::new(),
            envelope: envelope(),
            terms: wait_terms(&class, copies, now).policy(self.policy()),
        };
        let request = WaitingRequest {
            n: at.n,
            attempt: at.number,
            began: req.attempt_began,
            priority: class.priority,
        };
        self.agents[at.agent].push(open, request);
    }

    fn serve(&mut self, agent: usize, now: Timestamp) {
        self.agents[agent].drop_abandoned(now);
        while let Some((n, attempt)) = self.agents[agent].next(now) {
            self.take(Attempt { n, number: attempt, agent }, now);
        }
    }

    fn take(&mut self, at: Attempt, now: Timestamp) {
        let cold = now >= self.outage_end() && now.since(self.outage_end()) < COLD_PERIOD;
        let agent = &mut self.agents[at.agent];
        agent.busy += 1;
        let slower = if cold { self.scenario.cold } else { 1.0 } / agent.target.speed;
        let req = &mut self.requests[at.n];
        let waited = now.since(req.attempt_began);
        let opened = req.attempt == at.number && req.attempt_open && !req.served;
        if opened {
            req.served = true;
            let work = req.work.mul_f64(slower);
            self.schedule(now + work, at, Event::Done);
        } else {
            req.abandoned += 1;
            self.schedule(now + ABANDONED_HOLD, at, Event::SlotFreed);
        }
        if !self.class(at.n).open_flow {
            self.schedule(now + OUTCOME_DELAY, at, Event::Outcome { waited, opened });
        }
    }

    fn tally(&self) -> Vec<ClassTally> {
        let classes = self.scenario.classes.iter();
        let empty =
            |class: &CallerClass| ClassTally { priority: class.priority, tally: Tally::default() };
        let mut tallies: Vec<ClassTally> = classes.map(empty).collect();
        for (n, req) in self.requests.iter().enumerate() {
            let class = self.class(n);
            let tally = &mut tallies[req.class].tally;
            tally.abandoned += req.abandoned;
            match req.answered.map(|at| at.since(req.asked)) {
                Some(took) if took <= class.latency_objective => tally.in_time += 1,
                Some(took) if took <= class.timeout => tally.late += 1,
                _ => tally.lost += 1,
            }
        }
        tallies
    }
}

/// Returns how long an attempt lasts at most, with `left` until the timeout of the request.
fn attempt_length(class: &CallerClass, attempt: u32, left: Duration) -> Duration {
    if class.open_flow {
        return left;
    }
    let divided = class.repeatable && attempt < MAX_ATTEMPTS;
    let share = if divided { left / MAX_ATTEMPTS } else { left };
    share.min(MAX_ATTEMPT_TIMEOUT)
}

/// Returns the terms that an agent gives a packet of this class.
fn wait_terms(class: &CallerClass, copies: u32, now: Timestamp) -> WaitTerms {
    let timeout = class.timeout;
    let terms = WaitTerms::new(copies, class.latency_objective / 2, now)
        .timeout(timeout)
        .priority(class.priority);
    if class.open_flow {
        // A request of the simulation is a single packet, so any sequence number will do.
        return terms.attempt_timeout(timeout).of_open_flow(0);
    }
    terms.attempt_timeout(attempt_timeout::assumed(Some(timeout), class.repeatable))
}
