//! Tracks the flows of one target, the requests on them and the target's health, from the packets
//! that pass its agent.

use std::time::Duration;

pub use super::flow_match::FlowMatch;
use super::slot_use::SlotUse;
pub use super::target_packet_effect::TargetPacketEffect;
use super::tracked_flow::{Stage, TrackedFlow};
use crate::answer_norms::{AnswerKind, AnswerNorms};
use crate::flow_demand::FlowDemand;
use crate::generation_cache::GenerationCache;
use crate::outcomes::Outcomes;
use crate::segment::{Segment, SegmentKind};
use crate::target_load::TargetLoad;
use crate::target_speed::TargetSpeed;
use crate::{FlowLifetimes, FlowTuple, Timestamp};

/// Maximum number of flows per generation, well above the number of connections that a target
/// accepts.
const CAPACITY: usize = 20_000;
/// Maximum distance of a caller's first acknowledgement from the target's initial sequence
/// number.
const FIRST_ACK_WINDOW: u32 = 1 << 16;
/// Half of the sequence numbers: an acknowledgement within this distance after a byte is of a later
/// byte, any other of an earlier one.
const MAX_ACK_DISTANCE: u32 = 1 << 31;

/// Silence after which a target is considered crashed or stalled. A running target answers at
/// once each packet that requires an answer, and its agent is beside it, so only the target's own
/// pauses add to the delay.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// A request is overdue once it has been unanswered for this multiple of the usual service time
/// and no other request was answered meanwhile. Hardly any healthy answer takes as long.
const OVERDUE_FACTOR: u32 = 8;
/// Minimum time before a request is overdue, to allow for pauses of the target and its agent.
const OVERDUE_MIN: Duration = Duration::from_millis(250);

/// A flow that was open and ended without a packet from its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedFlow {
    /// The flow.
    pub flow: FlowTuple,
    /// Number of the byte that the caller expects next.
    pub caller_expects: u32,
}

/// The flows of one target, with the measurements taken from them.
#[derive(Debug)]
pub struct TargetFlows {
    flows: GenerationCache<FlowTuple, TrackedFlow>,
    slot_use: SlotUse,
    speed: TargetSpeed,
    demand: FlowDemand,
    outcomes: Outcomes,
    norms: AnswerNorms,
    /// Time of the first packet since which the target has answered nothing.
    unanswered_since: Option<Timestamp>,
    /// When the target last answered a request.
    last_answer: Timestamp,
}

impl Default for TargetFlows {
    fn default() -> Self {
        Self::new(FlowLifetimes::default().held())
    }
}

impl TargetFlows {
    /// Creates a table that keeps a flow for `lifetime` after its last packet.
    #[must_use]
    pub fn new(lifetime: Duration) -> Self {
        Self {
            flows: GenerationCache::new(lifetime, CAPACITY),
            slot_use: SlotUse::default(),
            speed: TargetSpeed::default(),
            demand: FlowDemand::default(),
            outcomes: Outcomes::default(),
            norms: AnswerNorms::default(),
            unanswered_since: None,
            last_answer: Timestamp::default(),
        }
    }

    /// Sets the time for which a flow is kept after its last packet.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.flows.set_lifetime(lifetime);
    }

    /// Records that the opening packet of a flow is delivered to the target; returns whether the
    /// target had not received it before.
    pub fn opening(&mut self, flow: FlowTuple, copies: u32, now: Timestamp) -> bool {
        if copies > 0 && self.flows.get_mut(&flow, now).is_some() {
            return false;
        }
        self.unanswered_since.get_or_insert(now);
        self.flows.insert(flow, TrackedFlow::opening(now), now);
        true
    }

    /// Returns whether a caller's packet begins a request that is not the first of its flow.
    #[must_use]
    pub fn begins_further(&self, seg: &Segment) -> bool {
        let begins = |flow: &TrackedFlow| {
            flow.stage == Stage::Open
                && flow.had_request
                && flow.request.is_none()
                && flow.matches(seg)
        };
        seg.len > 0 && self.flows.peek(&seg.flow).is_some_and(begins)
    }

    /// Returns whether a caller's packet acknowledges bytes of the latest answer on its flow. A
    /// packet that does not is a late one of the answered request, or was sent before the answer.
    #[must_use]
    pub fn acknowledges_answer(&self, seg: &Segment) -> bool {
        let answer = self.flows.peek(&seg.flow).and_then(|flow| flow.answer_seq);
        answer.is_some_and(|seq| (1..=MAX_ACK_DISTANCE).contains(&seg.ack.wrapping_sub(seq)))
    }

    /// Records a caller's packet for a target with `slots`, and returns whether it belongs to the
    /// target.
    pub fn note_caller(&mut self, seg: &Segment, slots: u16, now: Timestamp) -> FlowMatch {
        let Some(flow) = self.flows.get_mut(&seg.flow, now) else { return FlowMatch::Unknown };
        if flow.stage == Stage::Opening {
            let near =
                flow.target_seq.is_some_and(|seq| seg.ack.wrapping_sub(seq) <= FIRST_ACK_WINDOW);
            if !near {
                return FlowMatch::Other;
            }
            flow.stage = Stage::Open;
        } else if !flow.matches(seg) {
            return FlowMatch::Other;
        }
        flow.caller_expects = seg.ack;
        if seg.len > 0 {
            self.unanswered_since.get_or_insert(now);
        }
        let mut further = false;
        match seg.kind {
            SegmentKind::Finish | SegmentKind::Reset => {
                flow.stage = Stage::Closed;
                self.end_request(&seg.flow, now);
            }
            _ if seg.len > 0 && flow.request.is_none() => {
                further = flow.had_request;
                flow.request = Some(now);
                flow.had_request = true;
                flow.served_since = self.slot_use.begin(seg.flow, slots, now).then_some(now);
                flow.overdue = false;
            }
            _ => {}
        }
        if further {
            self.demand.note_further(seg.flow.route());
        }
        FlowMatch::Held { further }
    }

    /// Returns whether `flow` is tracked.
    #[must_use]
    pub fn knows(&self, flow: &FlowTuple) -> bool {
        self.flows.peek(flow).is_some()
    }

    /// Returns whether the caller has opened the flow; `None` if it is unknown or the target has
    /// not accepted it.
    #[must_use]
    pub fn was_opened(&self, flow: &FlowTuple) -> Option<bool> {
        let known = self.flows.peek(flow)?;
        known.target_seq.map(|_| known.stage != Stage::Opening)
    }

    /// Returns when the target took the flow, if the flow is open.
    #[must_use]
    pub fn open_since(&self, flow: &FlowTuple) -> Option<Timestamp> {
        self.flows.peek(flow).filter(|flow| flow.stage == Stage::Open).map(|flow| flow.taken_at)
    }

    /// Records that the target has shown activity.
    pub fn heard(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns whether the target has answered no packet for longer than the silence limit.
    #[must_use]
    pub fn silent(&self, now: Timestamp) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= SILENCE_LIMIT)
    }

    /// Returns whether the target is ejected because it fails requests.
    #[must_use]
    pub fn failing(&self, now: Timestamp) -> bool {
        self.outcomes.failing(now)
    }

    /// Records overdue requests at a target with `slots`. Call it about every 100 ms.
    ///
    /// A target that takes requests and answers none appears busy, and keeps the requests until
    /// their callers give up.
    pub fn note_overdue(&mut self, slots: u16, now: Timestamp) {
        let limit = (self.work() * OVERDUE_FACTOR).max(OVERDUE_MIN);
        for (_, flow) in self.flows.iter_mut() {
            let Some(since) = flow.request.filter(|_| flow.stage == Stage::Open) else { continue };
            if !flow.overdue && now.since(since) >= limit {
                flow.overdue = true;
                if self.last_answer < since {
                    self.outcomes.overdue(u32::from(slots), now);
                }
            }
        }
    }

    /// Records a packet of the target.
    pub fn note_target(&mut self, seg: &Segment, now: Timestamp) -> TargetPacketEffect {
        self.heard();
        let Some(flow) = self.flows.get_mut(&seg.flow, now) else {
            if seg.kind == SegmentKind::Reset {
                return TargetPacketEffect { stray_reset: true, ..TargetPacketEffect::default() };
            }
            self.flows.insert(seg.flow, TrackedFlow::seen_at_target(seg, now), now);
            return TargetPacketEffect { new: true, ..TargetPacketEffect::default() };
        };
        flow.note_sent(seg);
        let stray_reset = seg.kind == SegmentKind::Reset && flow.stage == Stage::Opening;
        if seg.kind == SegmentKind::Reset && flow.stage == Stage::Open && flow.request.is_some() {
            self.outcomes.request_reset(now);
        }
        match seg.kind {
            SegmentKind::Accept => {
                let fresh = flow.target_seq != Some(seg.seq);
                flow.target_seq = Some(seg.seq);
                return TargetPacketEffect { new: fresh, ..TargetPacketEffect::default() };
            }
            SegmentKind::Finish | SegmentKind::Reset => flow.stage = Stage::Closed,
            _ => {}
        }
        let request = if seg.len > 0 { flow.request.take() } else { None };
        let answered = request.map(|since| now.since(since));
        if answered.is_some() {
            flow.answer_seq = Some(seg.seq);
        }
        let served = flow.served_since.map(|since| now.since(since));
        if answered.is_some() || flow.stage == Stage::Closed {
            self.end_request(&seg.flow, now);
        }
        if let Some(took) = answered {
            self.note_answer(seg, took, served, now);
        }
        TargetPacketEffect { new: false, answered, stray_reset }
    }

    /// Frees the slot of the request on `flow`, and records since when the next request is served.
    fn end_request(&mut self, flow: &FlowTuple, now: Timestamp) {
        let next = self.slot_use.end(flow, now);
        if let Some(next) = next.and_then(|next| self.flows.get_mut(&next, now)) {
            next.served_since = Some(now);
        }
    }

    /// Records an answer that began after `took`, of which the target served the request for `served`.
    fn note_answer(
        &mut self,
        seg: &Segment,
        took: Duration,
        served: Option<Duration>,
        now: Timestamp,
    ) {
        self.last_answer = now;
        match self.norms.note(seg.flow.route(), took, seg.len) {
            AnswerKind::Usual => {
                self.outcomes.answer();
                if let Some(served) = served {
                    self.speed.note(seg.flow.route(), served);
                }
            }
            // Errors that come at once must not make the target count as fast.
            AnswerKind::Outlier { threshold } => self.outcomes.outlier_answer(threshold, now),
        }
    }

    /// Returns the service time: the time that the target takes for a request that does not
    /// queue.
    #[must_use]
    pub fn work(&self) -> Duration {
        self.speed.work()
    }

    /// Returns the service time once the target has answered enough requests to tell.
    #[must_use]
    pub fn measured_work(&self) -> Option<Duration> {
        self.speed.measured_work()
    }

    /// Returns the load that the open flows are expected to bring, in thousandths of a slot.
    pub fn flow_demand(&mut self, now: Timestamp) -> u32 {
        if self.demand.is_due(now) {
            let open = self.flows.iter().filter(|(_, flow)| flow.stage == Stage::Open);
            let routes = open.map(|(tuple, _)| tuple.route());
            self.demand.update(routes, |route| self.speed.seconds_of(route), now);
        }
        self.demand.thousandths()
    }

    /// Removes a flow after the target returned one of its packets because it does not hold the
    /// flow.
    ///
    /// Returns the sequence number that the caller expects next if the flow was open here: it
    /// ended with an earlier run of the target.
    pub fn remove_returned(&mut self, flow: &FlowTuple) -> Option<u32> {
        let known = self.flows.remove(flow)?;
        (known.stage == Stage::Open).then_some(known.caller_expects)
    }

    /// Resets all measurements, as another run of the target has begun.
    ///
    /// Flows taken before `ended` belonged to the previous run and are removed. Returns those of
    /// them that were open.
    pub fn new_run(&mut self, ended: Option<Timestamp>) -> Vec<EndedFlow> {
        self.speed = TargetSpeed::default();
        self.slot_use = SlotUse::default();
        self.demand = FlowDemand::default();
        self.outcomes = Outcomes::default();
        self.norms = AnswerNorms::default();
        self.last_answer = Timestamp::default();
        self.heard();
        let Some(ended) = ended else { return Vec::new() };
        let lost: Vec<FlowTuple> =
            self.flows.iter().filter(|(_, f)| f.taken_at < ended).map(|(flow, _)| *flow).collect();
        let ended = |flow: FlowTuple| {
            let caller_expects = self.remove_returned(&flow)?;
            Some(EndedFlow { flow, caller_expects })
        };
        lost.into_iter().filter_map(ended).collect()
    }

    /// Returns the open flows, with the target's initial sequence number.
    pub fn open(&self) -> impl Iterator<Item = (FlowTuple, Option<u32>)> {
        self.flows
            .iter()
            .filter(|(_, flow)| flow.stage == Stage::Open)
            .map(|(tuple, flow)| (*tuple, flow.target_seq))
    }

    /// Returns the flows that the target has accepted, with its initial sequence number and
    /// whether they are open.
    pub fn accepted(&self) -> impl Iterator<Item = (FlowTuple, Option<u32>, bool)> {
        self.flows.iter().filter_map(|(tuple, flow)| match flow.stage {
            Stage::Open => Some((*tuple, flow.target_seq, true)),
            Stage::Opening => flow.target_seq.map(|seq| (*tuple, Some(seq), false)),
            Stage::Closed => None,
        })
    }

    /// Returns the number of unanswered requests, including flows that are about to bring one,
    /// and the number of open flows.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        let mut load = TargetLoad::default();
        for (_, flow) in self.flows.iter() {
            load.requests += u32::from(flow.has_request(now));
            load.flows += u32::from(flow.stage == Stage::Open);
        }
        load
    }
}
