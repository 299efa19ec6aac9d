//! The flows that one target holds, as its agent sees them pass.

use std::time::Duration;

use crate::answer_norms::{AnswerKind, AnswerNorms};
use crate::generation_cache::GenerationCache;
use crate::outcomes::Outcomes;
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, Timestamp};

/// Kept this long after the last packet: longer than any sensible idle time-out of a flow, and long
/// enough for late packets of a closed one.
const FLOW_LIFETIME: Duration = Duration::from_secs(20);
/// Flows of one generation, well above the connections that a target takes.
const CAPACITY: usize = 20_000;
/// A caller's first acknowledgement lies this close to the number with which its target began.
const FIRST_ACK_WINDOW: u32 = 1 << 16;
/// A request that has waited longer is not counted as running: its caller has mostly given up.
const REQUEST_LIMIT: Duration = Duration::from_secs(3);
/// A flow that was just taken counts as a request for this long, until its first bytes come: about
/// two round trips between data centres.
const FIRST_REQUEST: Duration = Duration::from_millis(30);

/// A living target answers each packet that wants an answer at once; the agent is beside it, so nothing
/// but its own pauses comes between. A target that is silent for longer has crashed or stands still.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// A request without an answer for this many times the usual work is overdue, if nothing else was answered meanwhile: hardly
/// any sound answer takes as long.
const OVERDUE_WORKS: u32 = 8;
/// The same at the least: pauses of the target and its agent.
const OVERDUE_MIN: Duration = Duration::from_millis(250);
/// Work of a request before any was seen.
pub const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Weight of a new observation of the work: some ten requests settle it.
const WORK_SHARE: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The target has been handed the opening packet.
    Opening,
    /// The caller has acknowledged the target, or data has passed.
    Open,
    /// One end has finished or reset.
    Closed,
}

#[derive(Debug, Clone, Copy)]
struct TargetFlow {
    stage: Stage,
    target_seq: Option<u32>,
    taken: Timestamp,
    /// Number of the byte that the caller expects next.
    caller_expects: u32,
    /// When the request that has had no answer yet began.
    request: Option<Timestamp>,
    /// A request has come: the flow is no longer expected to bring its first.
    began: bool,
    /// It began while a slot was free, so that its time is that of the work alone.
    unqueued: bool,
    /// It was noted that the request has no answer for far too long.
    overdue: bool,
}

/// Whether a packet of a caller belongs to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowMatch {
    /// The target holds the flow.
    Held {
        /// The packet begins a request, and is not the first to do so.
        further: bool,
    },
    /// The caller has acknowledged another target.
    Other,
    /// Nothing is known of the flow.
    Unknown,
}

/// What follows from a packet of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetPacketEffect {
    /// The flow is new, so that the directory must learn of it.
    pub new: bool,
    /// How long the request took whose answer begins.
    pub answered: Option<Duration>,
    /// The target resets a flow that it may never have owned: the caller may have acknowledged another
    /// target, to which a copy of its opening packet went.
    pub stray_reset: bool,
}

/// A flow that was open, and is over without a word of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedFlow {
    /// The flow.
    pub flow: FlowTuple,
    /// Number of the byte that the caller expects next.
    pub caller_expects: u32,
}

/// The flows of one target.
#[derive(Debug)]
pub struct TargetFlows {
    flows: GenerationCache<FlowTuple, TargetFlow>,
    /// Time that the target takes for a request that does not wait, smoothed.
    work: Duration,
    outcomes: Outcomes,
    norms: AnswerNorms,
    /// Since when the target has left every packet without an answer.
    unheard: Option<Timestamp>,
    /// When the target last answered a request.
    last_answer: Timestamp,
}

impl Default for TargetFlows {
    fn default() -> Self {
        Self {
            flows: GenerationCache::new(FLOW_LIFETIME, CAPACITY),
            work: INITIAL_SERVICE_TIME,
            outcomes: Outcomes::default(),
            norms: AnswerNorms::default(),
            unheard: None,
            last_answer: Timestamp::default(),
        }
    }
}

impl TargetFlows {
    /// Notes that the target is handed the opening packet of a flow; returns whether it is new there.
    pub fn opening(&mut self, flow: FlowTuple, copies: u32, now: Timestamp) -> bool {
        if copies > 0 && self.flows.get_mut(&flow, now).is_some() {
            return false;
        }
        let opening = TargetFlow {
            stage: Stage::Opening,
            target_seq: None,
            taken: now,
            caller_expects: 0,
            request: None,
            began: false,
            unqueued: false,
            overdue: false,
        };
        self.unheard.get_or_insert(now);
        self.flows.insert(flow, opening, now);
        true
    }

    /// Returns whether a packet of the caller begins a request that is not the first of its flow.
    #[must_use]
    pub fn begins_further(&self, seg: &Segment) -> bool {
        let begins =
            |flow: &TargetFlow| flow.stage == Stage::Open && flow.began && flow.request.is_none();
        seg.len > 0 && self.flows.peek(&seg.flow).is_some_and(begins)
    }

    /// Takes in a packet of the caller and says whether it belongs to the target, which has `slots`.
    pub fn note_caller(&mut self, seg: &Segment, slots: u16, now: Timestamp) -> FlowMatch {
        // Looking at all flows costs: only the first packet of a request needs it.
        let begins = |flow: &TargetFlow| seg.len > 0 && flow.request.is_none();
        let unqueued = self.flows.peek(&seg.flow).is_some_and(begins)
            && self.load(now).requests <= u32::from(slots);
        let Some(flow) = self.flows.get_mut(&seg.flow, now) else { return FlowMatch::Unknown };
        if flow.stage == Stage::Opening {
            let near =
                flow.target_seq.is_some_and(|seq| seg.ack.wrapping_sub(seq) <= FIRST_ACK_WINDOW);
            if !near {
                return FlowMatch::Other;
            }
            flow.stage = Stage::Open;
        }
        flow.caller_expects = seg.ack;
        if seg.len > 0 {
            self.unheard.get_or_insert(now);
        }
        let mut further = false;
        match seg.kind {
            SegmentKind::Finish | SegmentKind::Reset => flow.stage = Stage::Closed,
            _ if seg.len > 0 && flow.request.is_none() => {
                further = flow.began;
                flow.request = Some(now);
                flow.began = true;
                flow.unqueued = unqueued;
                flow.overdue = false;
            }
            _ => {}
        }
        FlowMatch::Held { further }
    }

    /// Returns whether anything is known of `flow`.
    #[must_use]
    pub fn knows(&self, flow: &FlowTuple) -> bool {
        self.flows.peek(flow).is_some()
    }

    /// Returns whether the caller has opened a flow that the target has accepted.
    #[must_use]
    pub fn was_opened(&self, flow: &FlowTuple) -> Option<bool> {
        let known = self.flows.peek(flow)?;
        known.target_seq.map(|_| known.stage != Stage::Opening)
    }

    /// Notes a sign of life of the target.
    pub fn heard(&mut self) {
        self.unheard = None;
    }

    /// Returns whether the target has left all packets without an answer for too long.
    #[must_use]
    pub fn silent(&self, now: Timestamp) -> bool {
        self.unheard.is_some_and(|since| now.since(since) >= SILENCE_LIMIT)
    }

    /// Returns whether the target breaks off what it is given.
    #[must_use]
    pub fn failing(&self, now: Timestamp) -> bool {
        self.outcomes.failing(now)
    }

    /// Notes requests that have no answer for far too long at a target with `slots`; call it every 100 ms or so.
    ///
    /// A target that takes requests and answers none looks busy, and keeps what it has taken until callers give up.
    pub fn note_overdue(&mut self, slots: u16, now: Timestamp) {
        let limit = (self.work * OVERDUE_WORKS).max(OVERDUE_MIN);
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

    /// Takes in a packet of the target.
    pub fn note_target(&mut self, seg: &Segment, now: Timestamp) -> TargetPacketEffect {
        self.heard();
        let Some(flow) = self.flows.get_mut(&seg.flow, now) else {
            if seg.kind == SegmentKind::Reset {
                return TargetPacketEffect { stray_reset: true, ..TargetPacketEffect::default() };
            }
            let accept = seg.kind == SegmentKind::Accept;
            let learned = TargetFlow {
                stage: if accept { Stage::Opening } else { Stage::Open },
                target_seq: accept.then_some(seg.seq),
                taken: now,
                caller_expects: seg.seq,
                request: None,
                began: true,
                unqueued: false,
                overdue: false,
            };
            self.flows.insert(seg.flow, learned, now);
            return TargetPacketEffect { new: true, ..TargetPacketEffect::default() };
        };
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
        if let Some(took) = answered {
            self.last_answer = now;
            match self.norms.note(seg.flow.route(), took, seg.len) {
                AnswerKind::Usual => self.outcomes.answer(),
                AnswerKind::Outlier { threshold } => self.outcomes.outlier_answer(threshold, now),
            }
        }
        if let Some(took) = answered.filter(|_| flow.unqueued) {
            self.work = (self.work * (WORK_SHARE - 1) + took) / WORK_SHARE;
        }
        TargetPacketEffect { new: false, answered, stray_reset }
    }

    /// Returns the time that the target takes for a request that does not wait.
    #[must_use]
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Forgets a flow of which the target has given a packet back, as it does not hold the flow.
    ///
    /// Returns the number of the byte that the caller expects next, if the flow was open here: it has ended
    /// with an earlier run of the target.
    pub fn remove_returned(&mut self, flow: &FlowTuple) -> Option<u32> {
        let known = self.flows.remove(flow)?;
        (known.stage == Stage::Open).then_some(known.caller_expects)
    }

    /// Takes in that another run of the target has begun, and all that was learned of the run before is over.
    ///
    /// Flows taken before `ended` went with that run, and are forgotten. Returns those of them that were open.
    pub fn new_run(&mut self, ended: Option<Timestamp>) -> Vec<EndedFlow> {
        self.work = INITIAL_SERVICE_TIME;
        self.outcomes = Outcomes::default();
        self.norms = AnswerNorms::default();
        self.last_answer = Timestamp::default();
        self.heard();
        let Some(ended) = ended else { return Vec::new() };
        let gone: Vec<FlowTuple> =
            self.flows.iter().filter(|(_, f)| f.taken < ended).map(|(flow, _)| *flow).collect();
        let ended = |flow: FlowTuple| {
            let caller_expects = self.remove_returned(&flow)?;
            Some(EndedFlow { flow, caller_expects })
        };
        gone.into_iter().filter_map(ended).collect()
    }

    /// Returns the open flows, with the number with which the target began.
    pub fn open(&self) -> impl Iterator<Item = (FlowTuple, Option<u32>)> {
        self.flows
            .iter()
            .filter(|(_, flow)| flow.stage == Stage::Open)
            .map(|(tuple, flow)| (*tuple, flow.target_seq))
    }

    /// Returns the flows that the target has accepted, with the number with which it began, and whether they are open.
    pub fn accepted(&self) -> impl Iterator<Item = (FlowTuple, Option<u32>, bool)> {
        self.flows.iter().filter_map(|(tuple, flow)| match flow.stage {
            Stage::Open => Some((*tuple, flow.target_seq, true)),
            Stage::Opening => flow.target_seq.map(|seq| (*tuple, Some(seq), false)),
            Stage::Closed => None,
        })
    }

    /// Returns the requests that have had no answer yet, flows that are about to bring one
    /// included, and the open flows.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        let mut load = TargetLoad::default();
        for (_, flow) in self.flows.iter() {
            let expected = !flow.began && now.since(flow.taken) < FIRST_REQUEST;
            let running = flow.request.is_some_and(|since| now.since(since) < REQUEST_LIMIT);
            match flow.stage {
                Stage::Opening => load.requests += u32::from(expected),
                Stage::Open => {
                    load.flows += 1;
                    load.requests += u32::from(running || expected);
                }
                Stage::Closed => {}
            }
        }
        load
    }
}

/// What a target has to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests without an answer.
    pub requests: u32,
    /// Open flows.
    pub flows: u32,
}
