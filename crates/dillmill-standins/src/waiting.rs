//! Compares orders of serving waiting opening packets, in a simulation in virtual time that uses the
//! queue and timeout types of the agents.
//!
//! The simulation has one queue for all slots of a service. A power failure stops everything for a
//! while: no opening packet gets through, and callers retransmit those that they sent before. The
//! callers' attempts and copies follow what was observed on the wire (docs/QUESTIONS.md).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::open_queue::{OpenQueue, WaitTerms, WaitingOpen};
use dillmill_core::{
    Envelope, FlowTuple, PacketPurpose, Revision, ServiceTag, Timestamp, attempt_timeout,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::StandinError;

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

/// The order in which waiting packets are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// The order of the agents' queue ([`OpenQueue`]).
    Agent,
    /// The newest first, however long others have waited.
    Newest,
    /// The oldest first.
    Oldest,
}

impl QueueOrder {
    /// All orders.
    pub const ALL: [Self; 3] = [Self::Agent, Self::Newest, Self::Oldest];
}

impl Display for QueueOrder {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Agent => "patience",
            Self::Newest => "newest",
            Self::Oldest => "oldest",
        })
    }
}

/// The load of a service and the outage that it goes through.
#[derive(Debug, Clone, Copy)]
pub struct OutageScenario {
    /// Requests per second.
    pub load: f64,
    /// Number of slots of all targets together.
    pub slots: u32,
    /// Mean service time of a request.
    pub work: Duration,
    /// Factor by which targets are slower just after their start.
    pub cold: f64,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective: a response within this time is of full use.
    pub latency_objective: Duration,
    /// Duration of the outage, in which no packet gets through.
    pub outage: Duration,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests answered within the latency objective.
    pub in_time: u32,
    /// Requests answered later, but before the timeout.
    pub late: u32,
    /// Requests not answered before the timeout.
    pub lost: u32,
    /// Packets taken from the queue whose callers had already abandoned the attempt.
    pub abandoned: u32,
}

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
    asked: Timestamp,
    work: Duration,
    attempt: u32,
    attempt_began: Timestamp,
    attempt_open: bool,
    served: bool,
    answered: Option<Timestamp>,
}

/// Simulates an outage with one order and returns the outcomes.
#[must_use]
pub fn simulate(order: QueueOrder, scenario: &OutageScenario, seed: u64) -> Tally {
    let mut simulation = Simulation::new(order, *scenario, seed);
    while let Some(Reverse((now, _, n, attempt, event))) = simulation.events.pop() {
        simulation.event(n, attempt, event, now);
    }
    simulation.tally()
}

type Entry = Reverse<(Timestamp, u64, usize, u32, Event)>;

struct Simulation {
    order: QueueOrder,
    scenario: OutageScenario,
    requests: Vec<Request>,
    events: BinaryHeap<Entry>,
    scheduled: u64,
    queue: OpenQueue,
    waiting: Vec<(usize, u32)>,
    busy: u32,
    abandoned: u32,
}

impl Simulation {
    fn new(order: QueueOrder, scenario: OutageScenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut simulation = Self {
            order,
            scenario,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            queue: OpenQueue::new(START + OUTAGE_START + scenario.outage),
            waiting: Vec::new(),
            busy: 0,
            abandoned: 0,
        };
        let mut asked = START;
        while asked.since(START) < ARRIVAL_PERIOD {
            asked =
                asked + Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / scenario.load);
            let work = scenario.work.mul_f64(0.4 + 1.2 * rng.random::<f64>());
            simulation.schedule(asked, simulation.requests.len(), 0, Event::AttemptStarts);
            simulation.requests.push(Request {
                asked,
                work,
                attempt: 0,
                attempt_began: asked,
                attempt_open: false,
                served: false,
                answered: None,
            });
        }
        simulation
    }

    fn schedule(&mut self, at: Timestamp, n: usize, attempt: u32, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, n, attempt, event)));
    }

    fn outage_end(&self) -> Timestamp {
        START + OUTAGE_START + self.scenario.outage
    }

    fn event(&mut self, n: usize, attempt: u32, event: Event, now: Timestamp) {
        match event {
            Event::AttemptStarts => self.begin_attempt(n, now),
            Event::Packet { copies } => self.packet(n, attempt, copies, now),
            Event::AttemptEnds => self.end_attempt(n, attempt, now),
            Event::Outcome { waited, opened } => {
                self.queue.note_outcome(route(), waited, opened, now);
            }
            Event::Done => {
                self.busy -= 1;
                self.requests[n].answered = Some(now);
            }
            Event::SlotFreed => self.busy -= 1,
        }
        self.serve(now);
    }

    fn begin_attempt(&mut self, n: usize, now: Timestamp) {
        let req = &mut self.requests[n];
        let left = (req.asked + self.scenario.timeout).since(now);
        req.attempt += 1;
        req.attempt_began = now;
        req.attempt_open = true;
        let attempt = req.attempt;
        let share = if attempt < MAX_ATTEMPTS { left / MAX_ATTEMPTS } else { left };
        for (copies, after) in (0..).zip(COPY_DELAYS) {
            self.schedule(now + after, n, attempt, Event::Packet { copies });
        }
        self.schedule(
            now + share.min(MAX_ATTEMPT_TIMEOUT).min(left),
            n,
            attempt,
            Event::AttemptEnds,
        );
    }

    fn end_attempt(&mut self, n: usize, attempt: u32, now: Timestamp) {
        let req = &mut self.requests[n];
        if req.attempt != attempt || req.served {
            return;
        }
        req.attempt_open = false;
        let again = now + RETRY_DELAY;
        if attempt < MAX_ATTEMPTS && again.since(req.asked) < self.scenario.timeout {
            self.schedule(again, n, attempt, Event::AttemptStarts);
        }
    }

    fn packet(&mut self, n: usize, attempt: u32, copies: u32, now: Timestamp) {
        let req = &self.requests[n];
        let down = now.since(START) >= OUTAGE_START && now < self.outage_end();
        if down || req.attempt != attempt || !req.attempt_open || req.served {
            return;
        }
        let (repeatable, timeout) = (true, self.scenario.timeout);
        let assumed = attempt_timeout::assumed(Some(timeout), repeatable);
        let terms = WaitTerms::new(copies, self.scenario.latency_objective / 2, now);
        let open = WaitingOpen {
            flow: flow(n, attempt),
            packet: Vec::new(),
            envelope: envelope(),
            terms: terms.attempt_timeout(assumed).timeout(timeout),
        };
        if self.order == QueueOrder::Agent {
            self.queue.push(open);
        } else if !self.waiting.contains(&(n, attempt)) {
            self.waiting.push((n, attempt));
        }
    }

    fn serve(&mut self, now: Timestamp) {
        if self.order == QueueOrder::Agent {
            self.queue.take_abandoned(now);
        }
        while self.busy < self.scenario.slots {
            let Some((n, attempt)) = self.next(now) else { return };
            self.take(n, attempt, now);
        }
    }

    fn next(&mut self, now: Timestamp) -> Option<(usize, u32)> {
        let began = |(n, _): &(usize, u32)| self.requests[*n].attempt_began;
        let all = self.waiting.iter().enumerate();
        let next = match self.order {
            QueueOrder::Agent => {
                return self
                    .queue
                    .take(Duration::ZERO, true, now)
                    .map(|open| request_and_attempt(&open.flow));
            }
            QueueOrder::Newest => all.max_by_key(|(_, packet)| began(packet)),
            QueueOrder::Oldest => all.min_by_key(|(_, packet)| began(packet)),
        };
        next.map(|(i, _)| i).map(|i| self.waiting.swap_remove(i))
    }

    fn take(&mut self, n: usize, attempt: u32, now: Timestamp) {
        let cold = now >= self.outage_end() && now.since(self.outage_end()) < COLD_PERIOD;
        self.busy += 1;
        let req = &mut self.requests[n];
        let waited = now.since(req.attempt_began);
        let opened = req.attempt == attempt && req.attempt_open && !req.served;
        if opened {
            req.served = true;
            let work = if cold { req.work.mul_f64(self.scenario.cold) } else { req.work };
            self.schedule(now + work, n, attempt, Event::Done);
        } else {
            self.abandoned += 1;
            self.schedule(now + ABANDONED_HOLD, n, attempt, Event::SlotFreed);
        }
        self.schedule(now + OUTCOME_DELAY, n, attempt, Event::Outcome { waited, opened });
    }

    fn tally(&self) -> Tally {
        let mut tally = Tally { abandoned: self.abandoned, ..Tally::default() };
        for req in &self.requests {
            match req.answered.map(|at| at.since(req.asked)) {
                Some(took) if took <= self.scenario.latency_objective => tally.in_time += 1,
                Some(took) if took <= self.scenario.timeout => tally.late += 1,
                _ => tally.lost += 1,
            }
        }
        tally
    }
}

fn route() -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), 443)
}

/// Returns the flow of an attempt: the caller's address holds the number of the request, its port that of
/// the attempt.
fn flow(n: usize, attempt: u32) -> FlowTuple {
    let ip = 0x6440_0000 + u32::try_from(n).unwrap_or(0);
    let port = u16::try_from(attempt).unwrap_or(0);
    FlowTuple::new(SocketAddrV4::new(ip.into(), port), route())
}

fn request_and_attempt(flow: &FlowTuple) -> (usize, u32) {
    let caller = flow.caller();
    let n = u32::from(*caller.ip()) - 0x6440_0000;
    (usize::try_from(n).unwrap_or(0), u32::from(caller.port()))
}

fn envelope() -> Envelope {
    let purpose = PacketPurpose::Place { passed: Vec::new() };
    Envelope { service: ServiceTag(1), revision: Revision(1), origin: route(), purpose }
}

/// Returns the scenario of the menu service as its users describe it, at `load` requests per second.
#[must_use]
pub fn menu_service(load: f64) -> OutageScenario {
    OutageScenario {
        load,
        slots: 28,
        work: Duration::from_millis(32),
        cold: 1.6,
        timeout: Duration::from_millis(2500),
        latency_objective: Duration::from_millis(150),
        outage: Duration::from_millis(1700),
    }
}

/// Prints one JSON line for each load and order, with the outcomes summed over `seeds` seeds.
///
/// # Errors
///
/// Fails when a line can't be serialised.
pub fn run(seeds: u64) -> Result<(), StandinError> {
    let mut rows = Vec::new();
    for load in [300.0, 360.0, 430.0, 480.0] {
        for order in QueueOrder::ALL {
            let mut sum = Tally::default();
            for seed in 1..=seeds {
                let tally = simulate(order, &menu_service(load), seed);
                sum.in_time += tally.in_time;
                sum.late += tally.late;
                sum.lost += tally.lost;
                sum.abandoned += tally.abandoned;
            }
            rows.push(json!({
                "load": load, "order": order.to_string(), "in time": sum.in_time,
                "late": sum.late, "lost": sum.lost, "in vain": sum.abandoned,
            }));
        }
    }
    for row in rows {
        let line = serde_json::to_string(&row).map_err(StandinError::at("write result"))?;
        println!("{line}");
    }
    Ok(())
}
