//! One target and its agent under load, in virtual time, with the types that an agent uses.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, TargetStanding, Verdict};
use dillmill_core::open_queue::WaitingOpen;
use dillmill_core::target_runs::Predecessor;
use dillmill_core::{
    AgentTable, Envelope, FlowGate, FlowTuple, OverloadPolicy, PacketPurpose, Priority, ProcessId,
    Revision, RouteEntry, RouteTable, Segment, SegmentKind, ServiceTag, SiblingLoads, Timestamp,
    Weight,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SERVICE: ServiceTag = ServiceTag(1);
const TARGET_SEQ: u32 = 5000;
const SLOTS: u16 = 3;
const LOAD_SECONDS: u64 = 20;
/// Requests of this kind open a flow each and have priority 1.
pub(crate) const PAYMENT: usize = 0;
/// Requests of this kind come on flows that are open, and have priority 2.
pub(crate) const FEED: usize = 1;
const WORK_MS: [f64; 2] = [61.0, 47.0];
const OBJECTIVE_MS: [u64; 2] = [400, 300];
/// Both kinds together need all slots.
pub(crate) const PER_SECOND: [f64; 2] = [13.3, 46.6];
const TIMEOUT_MS: u64 = 3000;
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn route(kind: usize) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, u8::try_from(kind).unwrap() + 1].into(), 443)
}

fn routes(priority_order: bool) -> RouteTable {
    let entry = |kind: usize| RouteEntry {
        shares: vec![(SERVICE, Weight(1))],
        latency_aim: Some(ms(OBJECTIVE_MS[kind])),
        timeout: Some(ms(TIMEOUT_MS)),
        repeatable: kind == FEED,
        priority: Priority(if kind == PAYMENT { 1 } else { 2 }),
        overload: OverloadPolicy { priority_order, ..OverloadPolicy::default() },
        ..RouteEntry::default()
    };
    RouteTable::new(Revision(1), [PAYMENT, FEED].map(|kind| (route(kind), entry(kind))))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Asked(usize),
    Packet { request: usize, attempt: u16, kind: u32, opens: bool },
    Heartbeat,
    Done(usize),
}

struct Request {
    kind: usize,
    asked: Timestamp,
    attempt: u16,
    /// The flow of the current attempt is open.
    opened: bool,
    answered: Option<Timestamp>,
}

/// Shares of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    pub(crate) in_time: f64,
    pub(crate) late: f64,
    pub(crate) unserved: f64,
}

pub(crate) struct Simulation {
    gate: FlowGate,
    routes: RouteTable,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Timestamp, usize, Event)>>,
    /// Requests in the target's own queue, which it serves in the order of their arrival.
    queue: VecDeque<usize>,
    taken: BTreeSet<usize>,
    busy: u16,
    pub(crate) rng: StdRng,
    /// Speed of the target; the load is that of its slots.
    pub(crate) speed: f64,
    /// Whether [`TAIL_SHARE`] of the requests take [`TAIL_FACTOR`] times their mean.
    pub(crate) heavy_tail: bool,
}

impl Simulation {
    pub(crate) fn new(priority_order: bool) -> Self {
        let mut gate =
            FlowGate::new(ProcessId(1), "10.0.0.1:7001".parse().unwrap(), SERVICE, START);
        gate.new_target(SERVICE, Predecessor::Unsure, START);
        gate.set_standing(TargetStanding::Ready, SLOTS);
        let (requests, events, queue, taken) = Default::default();
        let (routes, rng) = (routes(priority_order), StdRng::seed_from_u64(7));
        let (busy, speed, heavy_tail) = (0, 1.0, false);
        Self { gate, routes, requests, events, queue, taken, busy, rng, speed, heavy_tail }
    }

    fn at(&mut self, when: Timestamp, event: Event) {
        self.events.push(Reverse((when, self.events.len(), event)));
    }

    fn seg(&self, request: usize, attempt: u16, kind: SegmentKind) -> Segment {
        let n = u32::try_from(request).unwrap();
        let caller = SocketAddrV4::new((0x6440_0000 + n).into(), attempt);
        let flow = FlowTuple::new(caller, route(self.requests[request].kind));
        let (seq, ack, len) = match kind {
            SegmentKind::Open { .. } => (1, 0, 0),
            SegmentKind::Accept => (TARGET_SEQ, 2, 0),
            // The first request of a feed's flow was answered with 100 bytes.
            _ if self.requests[request].kind == FEED => (102, TARGET_SEQ + 101, 100),
            _ => (2, TARGET_SEQ + 1, 100),
        };
        Segment { flow, kind, seq, ack, len, returned: false, mark: 0 }
    }

    fn decide(
        &mut self,
        request: usize,
        seg: &Segment,
        waiting: Option<&Envelope>,
        now: Timestamp,
    ) {
        let agents = AgentTable::default();
        let context = GateContext {
            agents: &agents,
            routes: &self.routes,
            settled: true,
            told: true,
            siblings: &SiblingLoads::new(),
        };
        let purpose = match seg.kind {
            SegmentKind::Open { .. } => PacketPurpose::Place { passed: Vec::new() },
            _ => PacketPurpose::Deliver,
        };
        let origin = "10.0.0.9:7000".parse().unwrap();
        let env = Envelope { service: SERVICE, revision: Revision(1), origin, purpose };
        let verdict = match waiting {
            Some(env) => self.gate.decide_waiting(seg, env, context, now),
            None => self.gate.arrived(seg, &env, context, now),
        };
        match verdict {
            Verdict::Deliver { .. } => self.deliver(request, seg, now),
            Verdict::Wait { terms, envelope, .. } => {
                let packet = vec![u8::from(matches!(seg.kind, SegmentKind::Open { .. }))];
                let open = WaitingOpen { flow: seg.flow, packet, envelope, terms };
                assert_eq!(self.gate.wait(open), None);
            }
            Verdict::Drop => {}
            verdict => panic!("{verdict:?}"),
        }
    }

    fn deliver(&mut self, request: usize, seg: &Segment, now: Timestamp) {
        if let SegmentKind::Open { .. } = seg.kind {
            let attempt = seg.flow.caller().port();
            self.gate.answered(&self.seg(request, attempt, SegmentKind::Accept), now);
            let state = &mut self.requests[request];
            if state.attempt == attempt && now.since(state.asked) < ms(TIMEOUT_MS) {
                state.opened = true;
                let packet = Event::Packet { request, attempt, kind: 0, opens: false };
                self.at(now + ms(4), packet);
            }
        } else if self.taken.insert(request) {
            self.queue.push_back(request);
            self.work(now);
        }
    }

    fn work(&mut self, now: Timestamp) {
        while self.busy < SLOTS
            && let Some(request) = self.queue.pop_front()
        {
            self.busy += 1;
            let mut factor = 0.4 + 1.2 * self.rng.random::<f64>();
            if self.heavy_tail {
                let usual = (1.0 - TAIL_SHARE * TAIL_FACTOR) / (1.0 - TAIL_SHARE);
                let long = self.rng.random::<f64>() < TAIL_SHARE;
                factor = if long { TAIL_FACTOR } else { factor * usual };
            }
            let seconds = WORK_MS[self.requests[request].kind] * factor / self.speed / 1e3;
            let work = Duration::from_secs_f64(seconds);
            self.at(now + work, Event::Done(request));
        }
    }

    fn begin_attempt(&mut self, request: usize, now: Timestamp) {
        let state = &mut self.requests[request];
        if state.attempt == 3 || state.opened || now.since(state.asked) >= ms(TIMEOUT_MS) {
            return;
        }
        state.attempt += 1;
        let (attempt, opens) = (state.attempt, true);
        // The last one is the end of the attempt.
        for (kind, after) in [(0, 1), (1, 201), (2, 601), (3, 1400)] {
            self.at(now + ms(after), Event::Packet { request, attempt, kind, opens });
        }
    }

    fn event(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Asked(kind) => {
                let request = self.requests.len();
                let state = Request { kind, asked: now, attempt: 0, opened: false, answered: None };
                self.requests.push(state);
                if kind == PAYMENT {
                    return self.begin_attempt(request, now);
                }
                self.open_feed(request, now);
                for (kind, after) in [(0, 1), (1, 201), (2, 401), (3, 801)] {
                    let packet = Event::Packet { request, attempt: 1, kind, opens: false };
                    self.at(now + ms(after), packet);
                }
            }
            Event::Packet { request, attempt, kind, opens } => {
                let state = &self.requests[request];
                let over = opens && (state.opened || state.attempt != attempt);
                if over || state.answered.is_some() {
                } else if opens && kind == 3 {
                    self.begin_attempt(request, now);
                } else {
                    let open = SegmentKind::Open { copies: kind };
                    let seg = if opens { open } else { SegmentKind::Data };
                    self.decide(request, &self.seg(request, attempt, seg), None, now);
                }
            }
            Event::Heartbeat => self.gate.heartbeat(now),
            Event::Done(request) => {
                self.busy -= 1;
                let seg =
                    self.seg(request, self.requests[request].attempt.max(1), SegmentKind::Data);
                self.gate.answered(&Segment { seq: seg.ack, ..seg }, now);
                self.gate.answered(&Segment { kind: SegmentKind::Finish, len: 0, ..seg }, now);
                self.requests[request].answered = Some(now);
                self.work(now);
            }
        }
        self.serve(now);
    }

    /// Opens a feed's flow with an answered request.
    fn open_feed(&mut self, request: usize, now: Timestamp) {
        let agents = AgentTable::default();
        let context = GateContext {
            agents: &agents,
            routes: &self.routes,
            settled: true,
            told: true,
            siblings: &SiblingLoads::new(),
        };
        let accept = self.seg(request, 1, SegmentKind::Accept);
        let data = Segment { kind: SegmentKind::Data, ack: TARGET_SEQ + 1, len: 100, ..accept };
        let asked = now - Duration::from_secs_f64(WORK_MS[FEED] / 1e3);
        self.gate.answered(&accept, asked);
        let origin = "10.0.0.9:7000".parse().unwrap();
        let purpose = PacketPurpose::Deliver;
        let env = Envelope { service: SERVICE, revision: Revision(1), origin, purpose };
        self.gate.arrived(&data, &env, context, asked);
        self.gate.answered(&Segment { seq: TARGET_SEQ + 1, ..data }, now);
    }

    fn serve(&mut self, now: Timestamp) {
        self.gate.take_abandoned(now);
        while let Some(open) = self.gate.next_waiting(now) {
            let caller = open.flow.caller();
            let request = usize::try_from(u32::from(*caller.ip()) - 0x6440_0000).unwrap();
            let open_seg = SegmentKind::Open { copies: open.terms.copies };
            let kind = if open.packet == [1] { open_seg } else { SegmentKind::Data };
            let seg = self.seg(request, caller.port(), kind);
            self.decide(request, &seg, Some(&open.envelope), now);
        }
    }

    pub(crate) fn run(mut self, load: fn(u64) -> f64) -> [Tally; 2] {
        for kind in [PAYMENT, FEED] {
            let mut at = START;
            while at.since(START).as_secs() < LOAD_SECONDS {
                let uniform: f64 = self.rng.random();
                let rate = PER_SECOND[kind] * self.speed * load(at.since(START).as_secs());
                at = at + Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
                self.at(at, Event::Asked(kind));
            }
        }
        for n in 0..LOAD_SECONDS + 10 {
            self.at(START + Duration::from_secs(n), Event::Heartbeat);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.event(event, now);
        }
        [PAYMENT, FEED].map(|kind| self.tally(kind))
    }

    fn tally(&self, kind: usize) -> Tally {
        let mut tally = Tally::default();
        let all: Vec<_> = self.requests.iter().filter(|r| r.kind == kind).collect();
        let share = 1.0 / f64::from(u32::try_from(all.len()).unwrap());
        for request in all {
            match request.answered.map(|at| at.since(request.asked)) {
                Some(took) if took <= ms(OBJECTIVE_MS[kind]) => tally.in_time += share,
                Some(took) if took <= ms(TIMEOUT_MS) => tally.late += share,
                _ => tally.unserved += share,
            }
        }
        tally
    }
}
