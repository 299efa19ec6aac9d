//! Compares orders of waiting opening packets in virtual time, on the types that decide.
//!
//! One queue stands before all slots of a service. Everything loses power for a while: no opening packet gets
//! through, and those of the time before are repeated by their callers. Callers try as was observed on the wire
//! (docs/QUESTIONS.md).

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
/// Copies of an opening packet come after these times.
const COPIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// A try ends at the latest after this time without an answer.
const LONGEST_TRY: Duration = Duration::from_millis(1400);
const TRIES: u32 = 3;
/// Pause of a caller between two tries.
const PAUSE: Duration = Duration::from_millis(60);
/// A slot is kept free this long for a caller that does not open its flow.
const IN_VAIN: Duration = Duration::from_millis(30);
/// When it is known that a caller has not opened its flow.
const KNOWN_AFTER: Duration = Duration::from_millis(100);
/// When the power goes, and how long callers go on asking.
const POWER_GOES: Duration = Duration::from_secs(1);
const LENGTH: Duration = Duration::from_secs(8);
/// Targets are slow for this long after their start.
const COLD: Duration = Duration::from_secs(2);

/// Which packet is taken next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// As agents decide.
    Patience,
    /// The newest first, whoever else waits.
    Newest,
    /// The oldest first.
    Oldest,
}

impl Order {
    /// All orders.
    pub const ALL: [Self; 3] = [Self::Patience, Self::Newest, Self::Oldest];
}

impl Display for Order {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Patience => "patience",
            Self::Newest => "newest",
            Self::Oldest => "oldest",
        })
    }
}

/// The load of a service and the trouble that it meets.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// Requests a second.
    pub load: f64,
    /// Slots of all targets.
    pub slots: u32,
    /// Mean time of a request's work.
    pub work: Duration,
    /// How much slower targets are when they have just started.
    pub cold: f64,
    /// Time-out of a request.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub aim: Duration,
    /// How long nothing gets through.
    pub outage: Duration,
}

/// What became of the requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answered within the aim.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Not answered before the time-out.
    pub lost: u32,
    /// Packets taken whose callers had gone.
    pub in_vain: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Try,
    Packet { copies: u32 },
    TryEnds,
    Outcome { waited: Duration, opened: bool },
    Done,
    Free,
}

#[derive(Debug)]
struct Request {
    asked: Timestamp,
    work: Duration,
    tries: u32,
    try_began: Timestamp,
    try_open: bool,
    served: bool,
    answered: Option<Timestamp>,
}

/// Plays one trouble with one order.
#[must_use]
pub fn play(order: Order, trouble: &Trouble, seed: u64) -> Tally {
    let mut play = Play::new(order, *trouble, seed);
    while let Some(Reverse((now, _, n, tries, event))) = play.events.pop() {
        play.event(n, tries, event, now);
    }
    play.tally()
}

type Entry = Reverse<(Timestamp, u64, usize, u32, Event)>;

struct Play {
    order: Order,
    trouble: Trouble,
    requests: Vec<Request>,
    events: BinaryHeap<Entry>,
    scheduled: u64,
    queue: OpenQueue,
    plain: Vec<(usize, u32)>,
    busy: u32,
    in_vain: u32,
}

impl Play {
    fn new(order: Order, trouble: Trouble, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut play = Self {
            order,
            trouble,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            queue: OpenQueue::new(START + POWER_GOES + trouble.outage),
            plain: Vec::new(),
            busy: 0,
            in_vain: 0,
        };
        let mut asked = START;
        while asked.since(START) < LENGTH {
            asked =
                asked + Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / trouble.load);
            let work = trouble.work.mul_f64(0.4 + 1.2 * rng.random::<f64>());
            play.schedule(asked, play.requests.len(), 0, Event::Try);
            play.requests.push(Request {
                asked,
                work,
                tries: 0,
                try_began: asked,
                try_open: false,
                served: false,
                answered: None,
            });
        }
        play
    }

    fn schedule(&mut self, at: Timestamp, n: usize, tries: u32, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, n, tries, event)));
    }

    fn up_at(&self) -> Timestamp {
        START + POWER_GOES + self.trouble.outage
    }

    fn event(&mut self, n: usize, tries: u32, event: Event, now: Timestamp) {
        match event {
            Event::Try => self.begin_try(n, now),
            Event::Packet { copies } => self.packet(n, tries, copies, now),
            Event::TryEnds => self.end_try(n, tries, now),
            Event::Outcome { waited, opened } => {
                self.queue.note_outcome(route(), waited, opened, now);
            }
            Event::Done => {
                self.busy -= 1;
                self.requests[n].answered = Some(now);
            }
            Event::Free => self.busy -= 1,
        }
        self.serve(now);
    }

    fn begin_try(&mut self, n: usize, now: Timestamp) {
        let req = &mut self.requests[n];
        let left = (req.asked + self.trouble.timeout).since(now);
        req.tries += 1;
        req.try_began = now;
        req.try_open = true;
        let tries = req.tries;
        let share = if tries < TRIES { left / TRIES } else { left };
        for (copies, after) in (0..).zip(COPIES) {
            self.schedule(now + after, n, tries, Event::Packet { copies });
        }
        self.schedule(now + share.min(LONGEST_TRY).min(left), n, tries, Event::TryEnds);
    }

    fn end_try(&mut self, n: usize, tries: u32, now: Timestamp) {
        let req = &mut self.requests[n];
        if req.tries != tries || req.served {
            return;
        }
        req.try_open = false;
        let again = now + PAUSE;
        if tries < TRIES && again.since(req.asked) < self.trouble.timeout {
            self.schedule(again, n, tries, Event::Try);
        }
    }

    fn packet(&mut self, n: usize, tries: u32, copies: u32, now: Timestamp) {
        let req = &self.requests[n];
        let down = now.since(START) >= POWER_GOES && now < self.up_at();
        if down || req.tries != tries || !req.try_open || req.served {
            return;
        }
        let (repeatable, timeout) = (true, self.trouble.timeout);
        let assumed = attempt_timeout::assumed(Some(timeout), repeatable);
        let terms = WaitTerms::new(copies, self.trouble.aim / 2, now);
        let open = WaitingOpen {
            flow: flow(n, tries),
            packet: Vec::new(),
            envelope: envelope(),
            terms: terms.attempt_timeout(assumed).timeout(timeout),
        };
        if self.order == Order::Patience {
            self.queue.push(open);
        } else if !self.plain.contains(&(n, tries)) {
            self.plain.push((n, tries));
        }
    }

    fn serve(&mut self, now: Timestamp) {
        if self.order == Order::Patience {
            self.queue.take_abandoned(now);
        }
        while self.busy < self.trouble.slots {
            let Some((n, tries)) = self.next(now) else { return };
            self.take(n, tries, now);
        }
    }

    fn next(&mut self, now: Timestamp) -> Option<(usize, u32)> {
        let began = |(n, _): &(usize, u32)| self.requests[*n].try_began;
        let all = self.plain.iter().enumerate();
        let next = match self.order {
            Order::Patience => {
                return self.queue.take(Duration::ZERO, true, now).map(|open| numbers(&open.flow));
            }
            Order::Newest => all.max_by_key(|(_, packet)| began(packet)),
            Order::Oldest => all.min_by_key(|(_, packet)| began(packet)),
        };
        next.map(|(i, _)| i).map(|i| self.plain.swap_remove(i))
    }

    fn take(&mut self, n: usize, tries: u32, now: Timestamp) {
        let cold = now >= self.up_at() && now.since(self.up_at()) < COLD;
        self.busy += 1;
        let req = &mut self.requests[n];
        let waited = now.since(req.try_began);
        let opened = req.tries == tries && req.try_open && !req.served;
        if opened {
            req.served = true;
            let work = if cold { req.work.mul_f64(self.trouble.cold) } else { req.work };
            self.schedule(now + work, n, tries, Event::Done);
        } else {
            self.in_vain += 1;
            self.schedule(now + IN_VAIN, n, tries, Event::Free);
        }
        self.schedule(now + KNOWN_AFTER, n, tries, Event::Outcome { waited, opened });
    }

    fn tally(&self) -> Tally {
        let mut tally = Tally { in_vain: self.in_vain, ..Tally::default() };
        for req in &self.requests {
            match req.answered.map(|at| at.since(req.asked)) {
                Some(took) if took <= self.trouble.aim => tally.in_time += 1,
                Some(took) if took <= self.trouble.timeout => tally.late += 1,
                _ => tally.lost += 1,
            }
        }
        tally
    }
}

fn route() -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), 443)
}

/// The flow of a try: its number stands in the caller's address and port.
fn flow(n: usize, tries: u32) -> FlowTuple {
    let ip = 0x6440_0000 + u32::try_from(n).unwrap_or(0);
    let port = u16::try_from(tries).unwrap_or(0);
    FlowTuple::new(SocketAddrV4::new(ip.into(), port), route())
}

fn numbers(flow: &FlowTuple) -> (usize, u32) {
    let caller = flow.caller();
    let n = u32::from(*caller.ip()) - 0x6440_0000;
    (usize::try_from(n).unwrap_or(0), u32::from(caller.port()))
}

fn envelope() -> Envelope {
    let purpose = PacketPurpose::Place { passed: Vec::new() };
    Envelope { service: ServiceTag(1), revision: Revision(1), origin: route(), purpose }
}

/// The service of menus, as its users describe it, under `load` requests a second.
#[must_use]
pub fn menus(load: f64) -> Trouble {
    Trouble {
        load,
        slots: 28,
        work: Duration::from_millis(32),
        cold: 1.6,
        timeout: Duration::from_millis(2500),
        aim: Duration::from_millis(150),
        outage: Duration::from_millis(1700),
    }
}

/// Prints a table over loads and orders, summed over `seeds` seeds.
///
/// # Errors
///
/// Fails when the table can't be written.
pub fn run(seeds: u64) -> Result<(), StandinError> {
    let mut rows = Vec::new();
    for load in [300.0, 360.0, 430.0, 480.0] {
        for order in Order::ALL {
            let mut sum = Tally::default();
            for seed in 1..=seeds {
                let tally = play(order, &menus(load), seed);
                sum.in_time += tally.in_time;
                sum.late += tally.late;
                sum.lost += tally.lost;
                sum.in_vain += tally.in_vain;
            }
            rows.push(json!({
                "load": load, "order": order.to_string(), "in time": sum.in_time,
                "late": sum.late, "lost": sum.lost, "in vain": sum.in_vain,
            }));
        }
    }
    for row in rows {
        let line = serde_json::to_string(&row).map_err(StandinError::at("write result"))?;
        println!("{line}");
    }
    Ok(())
}
