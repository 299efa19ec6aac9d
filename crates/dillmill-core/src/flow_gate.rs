//! What an agent does with a packet: the last word before its target.
//!
//! The agent is the last hop, so it decides by what it knows first-hand, whatever a balancer
//! believed: whether its target is leaving, full or of another service, whether the target holds the
//! flow, and whether newer settings send the flow elsewhere.
//!
//! | Part | Decides |
//! |---|---|
//! | `opening` | whether a new flow is given to the target, waits, goes on to another agent or is refused |
//! | `waiting` | which of those that wait is next |
//! | `finding` | where the owner of an open flow is looked for, and when nobody holds it |
//! | `target` | whether there is a target, what it can take, and which run of it speaks |

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::cold_start::ColdStart;
use crate::envelope::{Envelope, PacketPurpose};
use crate::flow_directory::{FlowDirectory, FlowRecord};
use crate::generations::Generations;
use crate::open_queue::OpenQueue;
use crate::segment::{Segment, SegmentKind};
use crate::target_flows::TargetFlows;
use crate::{FlowTuple, ProcessId, ServiceTag, Timestamp};

mod answered;
mod arrival;
mod context;
mod finding;
mod lookup;
mod opening;
mod run_change;
mod target;
mod verdict;
mod waiting;

pub use answered::Answered;
use arrival::Arrival;
pub use context::GateContext;
pub use run_change::RunChange;
pub use verdict::{PassReason, RefuseReason, TargetPresence, TargetStanding, Verdict};
use waiting::TakenOpen;

/// After this time every flow that began before the agent did is over or may be forgotten.
const ALL_FLOWS_SEEN: Duration = Duration::from_mins(1);
/// Heartbeats that a living target sends at least two of in this many intervals.
const HEARTBEATS_MISSED: f64 = 2.5;
/// Interval of heartbeats where the settings give none.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(1200);
/// A target that has said that it ends is gone after this time: it still sends what it has ready.
const ENDED_AFTER: Duration = Duration::from_secs(1);
/// Packets given to the target on trial that are remembered until it gives them back.
const TRIALS: usize = 1024;
/// Flows of one generation that the target has given back, 12 bytes each.
const NOT_HELD: usize = 20_000;

/// Why new flows go elsewhere, whatever the target does.
#[derive(Debug, Clone, Copy, Default)]
struct Closed {
    /// The agent itself ends.
    stopping: bool,
    /// The data centre is to get no new flows.
    evacuated: bool,
}

/// The state of an agent before its target.
#[derive(Debug)]
pub struct FlowGate {
    me: ProcessId,
    data: SocketAddrV4,
    service: ServiceTag,
    slots: u16,
    standing: TargetStanding,
    presence: TargetPresence,
    /// What the target may get while it has only just started.
    cold: ColdStart,
    /// Since when there is no target.
    no_target_since: Option<Timestamp>,
    closed: Closed,
    started: Timestamp,
    heartbeat_every: Duration,
    /// The target has started after the agent, so that every flow of it is known.
    sees_all: bool,
    flows: TargetFlows,
    directory: FlowDirectory,
    /// Opening packets that wait for the target.
    opens: OpenQueue,
    /// Those that had their turn, until it is known whether their callers were still there.
    taken: VecDeque<TakenOpen>,
    trials: Vec<Option<Envelope>>,
    next_trial: usize,
    /// Flows that the target has given back. It can hold one only after an opening packet that passed here.
    not_held: Generations<FlowTuple, ()>,
}

impl FlowGate {
    /// Creates the gate of the agent `me`, which takes packets at `data`.
    #[must_use]
    pub fn new(me: ProcessId, data: SocketAddrV4, service: ServiceTag, now: Timestamp) -> Self {
        Self {
            me,
            data,
            service,
            slots: 1,
            standing: TargetStanding::Unknown,
            presence: TargetPresence::Unknown,
            cold: ColdStart::default(),
            no_target_since: None,
            closed: Closed::default(),
            started: now,
            heartbeat_every: HEARTBEAT_EVERY,
            sees_all: false,
            flows: TargetFlows::default(),
            directory: FlowDirectory::default(),
            opens: OpenQueue::new(now),
            taken: VecDeque::new(),
            trials: vec![None; TRIALS],
            next_trial: 0,
            not_held: Generations::new(ALL_FLOWS_SEEN, NOT_HELD),
        }
    }

    /// Sets the interval of a target's heartbeats.
    #[must_use]
    pub fn heartbeat_every(mut self, every: Duration) -> Self {
        self.heartbeat_every = every;
        self
    }

    /// Takes in the record of a flow of another agent.
    pub fn register(&mut self, record: FlowRecord, now: Timestamp) {
        self.directory.register(record, now);
    }

    /// Returns the records of all flows that the target has accepted.
    #[must_use]
    pub fn records(&self) -> Vec<FlowRecord> {
        self.flows.accepted().map(|(flow, seq, open)| self.record(flow, seq, open)).collect()
    }

    fn record(&self, flow: FlowTuple, target_seq: Option<u32>, open: bool) -> FlowRecord {
        FlowRecord { flow, target_seq, open, owner: self.me, data: self.data }
    }

    /// Decides on a packet that came from a balancer or another agent.
    pub fn arrived(
        &mut self,
        seg: &Segment,
        env: &Envelope,
        context: GateContext<'_>,
        now: Timestamp,
    ) -> Verdict {
        let arrival = Arrival { seg, env, context, now };
        match (&env.purpose, seg.kind) {
            (PacketPurpose::Place { passed }, SegmentKind::Open { copies }) => {
                if self.opens.note_copy(&seg.flow, copies) {
                    return Verdict::Drop;
                }
                self.place(arrival, copies, passed)
            }
            (PacketPurpose::Place { .. }, _)
            | (_, SegmentKind::Open { .. } | SegmentKind::Accept) => Verdict::Drop,
            (purpose, _) => self.find(arrival, purpose.into()),
        }
    }

    /// Decides on a packet that the target has given back.
    pub fn returned(&mut self, seg: &Segment, context: GateContext<'_>, now: Timestamp) -> Verdict {
        let trial = usize::try_from(seg.mark)
            .ok()
            .and_then(|mark| mark.checked_sub(1))
            .and_then(|i| self.trials.get(i))
            .cloned()
            .flatten();
        self.flows.heard();
        let ended = self.flows.given_back(&seg.flow);
        self.not_held.insert(seg.flow, (), now);
        match (ended, trial) {
            (Some(caller_expects), _) => Verdict::Ended { caller_expects },
            (None, Some(env)) => self.after_trial(Arrival { seg, env: &env, context, now }),
            (None, None) => Verdict::Drop,
        }
    }

    /// Takes in a packet of the target on its way to the caller.
    pub fn answered(&mut self, seg: &Segment, now: Timestamp) -> Answered {
        let late = seg.kind != SegmentKind::Accept
            && self.not_held.peek(&seg.flow).is_some()
            && !self.flows.knows(&seg.flow);
        if late {
            // The last words of a run that has ended are passed on, and open no flow.
            let stray_reset = seg.kind == SegmentKind::Reset;
            return Answered { record: None, answered: None, stray_reset };
        }
        let noted = self.flows.note_target(seg, now);
        let accept = seg.kind == SegmentKind::Accept;
        let record = noted.new.then(|| self.record(seg.flow, accept.then_some(seg.seq), !accept));
        Answered { record, answered: noted.answered, stray_reset: noted.stray_reset }
    }

    /// Returns where packets reach the agent.
    #[must_use]
    pub fn data(&self) -> SocketAddrV4 {
        self.data
    }
}
