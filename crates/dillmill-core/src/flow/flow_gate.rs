//! Decides what an agent does with each packet: deliver it to the target, queue it, pass it to
//! another agent, search for its owner or refuse it.
//!
//! The agent is the last hop before its target. It decides by its own observations, which override
//! what a balancer assumed: whether the target is leaving, full or of another service, whether the
//! target holds the flow, and whether newer settings send the flow elsewhere.
//!
//! | Part | Decides |
//! |---|---|
//! | `opening` | whether a new flow is given to the target, waits, goes on to another agent or is refused |
//! | `waiting` | which waiting packet is next |
//! | `sharing` | which packets of an overloaded agent go to its siblings |
//! | `refusing` | which waiting packets are refused because they can't be served in time for their callers |
//! | `finding` | where the owner of an open flow is looked for, and when no agent holds it |
//! | `target` | whether there is a target, what it can take, and which run of it sends heartbeats |

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::cold_start::ColdStart;
use crate::envelope::{Envelope, PacketPurpose};
use crate::flow_directory::{FlowDirectory, FlowRecord};
use crate::generation_cache::GenerationCache;
use crate::open_queue::OpenQueue;
use crate::run_confirmation::RunConfirmation;
use crate::segment::{Segment, SegmentKind};
use crate::target_flows::TargetFlows;
use crate::{FlowLifetimes, FlowTuple, ProcessId, ServiceTag, Timestamp};

mod answered;
mod arrival;
mod context;
mod finding;
mod lookup;
mod opening;
mod refusing;
mod run_change;
mod sharing;
mod target;
mod verdict;
mod waiting;

pub use answered::Answered;
use arrival::Arrival;
pub use context::GateContext;
pub use refusing::UnservableOpen;
pub use run_change::RunChange;
pub use verdict::{PassReason, RefuseReason, TargetPresence, TargetStanding, Verdict};
use waiting::DispatchedOpen;

/// Number of heartbeat intervals in which a live target sends at least two heartbeats. A target
/// that sends none in this time is taken as absent.
const MISSED_HEARTBEATS: f64 = 2.5;
/// Heartbeat interval where the settings give none.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Time after which a target that has announced its end is gone. Until then it still sends the data
/// that it has ready.
const GONE_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of packets given to the target on trial that are remembered until the target
/// returns them.
const MAX_TRIALS: usize = 1024;
/// Maximum number of flows in one generation that the target has returned, 12 bytes each.
const NOT_HELD_CAPACITY: usize = 20_000;

/// Reasons of the agent's own to send new flows elsewhere, whatever the state of the target.
#[derive(Debug, Clone, Copy, Default)]
struct DrainReasons {
    /// The agent itself is stopping.
    stopping: bool,
    /// The data centre is evacuated: it gets no new flows.
    evacuated: bool,
}

/// State of an agent and its target by which the agent decides on packets.
#[derive(Debug)]
pub struct FlowGate {
    me: ProcessId,
    data: SocketAddrV4,
    service: ServiceTag,
    slots: u16,
    standing: TargetStanding,
    presence: TargetPresence,
    /// Limits the requests to a target that has just started.
    cold: ColdStart,
    /// Time since which there is no target.
    no_target_since: Option<Timestamp>,
    drain: DrainReasons,
    started: Timestamp,
    heartbeat_every: Duration,
    lifetimes: FlowLifetimes,
    /// Whether the current run of the target can be given new flows.
    run: RunConfirmation,
    /// Time after the start in which the agent does not share load.
    sharing_delay: Duration,
    /// The target has started after the agent, so the agent knows each of its flows.
    full_coverage: bool,
    flows: TargetFlows,
    directory: FlowDirectory,
    /// Opening packets that wait for the target.
    opens: OpenQueue,
    /// Packets that have left the queue, kept until it is known whether their callers were still
    /// there.
    dispatched: VecDeque<DispatchedOpen>,
    /// When the queue was last searched for packets that can't be served.
    last_unservable_search: Timestamp,
    trials: Vec<Option<Envelope>>,
    next_trial: usize,
    /// Flows whose packets the target has returned. The target can only come to hold such a flow
    /// through an opening packet that passes this gate.
    not_held: GenerationCache<FlowTuple, ()>,
}

impl FlowGate {
    /// Creates the gate of the agent `me`, which receives packets at `data`.
    #[must_use]
    pub fn new(me: ProcessId, data: SocketAddrV4, service: ServiceTag, now: Timestamp) -> Self {
        let lifetimes = FlowLifetimes::default();
        Self {
            me,
            data,
            service,
            slots: 1,
            standing: TargetStanding::Unknown,
            presence: TargetPresence::Unknown,
            cold: ColdStart::default(),
            no_target_since: None,
            drain: DrainReasons::default(),
            started: now,
            heartbeat_every: DEFAULT_HEARTBEAT_INTERVAL,
            lifetimes,
            run: RunConfirmation::new(DEFAULT_HEARTBEAT_INTERVAL, now),
            sharing_delay: sharing::SHARING_START_DELAY,
            full_coverage: false,
            flows: TargetFlows::new(lifetimes.held()),
            directory: FlowDirectory::new(lifetimes.record()),
            opens: OpenQueue::new(now),
            dispatched: VecDeque::new(),
            last_unservable_search: Timestamp::default(),
            trials: vec![None; MAX_TRIALS],
            next_trial: 0,
            not_held: GenerationCache::new(lifetimes.full_coverage(), NOT_HELD_CAPACITY),
        }
    }

    /// Sets the age of the oldest flow that must survive.
    #[must_use]
    pub fn max_flow_age(mut self, max_age: Duration) -> Self {
        self.set_lifetimes(self.lifetimes.max_age(max_age));
        self
    }

    /// Sets the time for which a flow may rest and must still survive.
    pub fn set_idle_timeout(&mut self, timeout: Duration) {
        self.set_lifetimes(self.lifetimes.idle_timeout(timeout));
    }

    fn set_lifetimes(&mut self, lifetimes: FlowLifetimes) {
        self.lifetimes = lifetimes;
        self.flows.set_lifetime(lifetimes.held());
        self.directory.set_lifetime(lifetimes.record());
        self.not_held.set_lifetime(lifetimes.full_coverage());
    }

    /// Returns how long flows and records of them are remembered.
    #[must_use]
    pub fn lifetimes(&self) -> FlowLifetimes {
        self.lifetimes
    }

    /// Sets the interval of the target's heartbeats.
    #[must_use]
    pub fn heartbeat_every(mut self, every: Duration) -> Self {
        self.heartbeat_every = every;
        self.run = RunConfirmation::new(every, self.started);
        self
    }

    /// Sets the minimum time between the end of a target and the start of another one at its address.
    #[must_use]
    pub fn address_kept_for(mut self, kept: Duration) -> Self {
        self.run = self.run.address_kept_for(kept);
        self
    }

    /// Adds the record of a flow of another agent to the directory.
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
        match (env.purpose.passed(), seg.kind) {
            (Some(_), SegmentKind::Open { copies }) if self.opens.note_copy(&seg.flow, copies) => {
                Verdict::Drop
            }
            (Some(passed), SegmentKind::Open { copies }) => match env.purpose {
                PacketPurpose::Moved { .. } => self.place_moved(arrival, copies, passed),
                _ => self.place(arrival, copies, passed),
            },
            (Some(_), _) | (None, SegmentKind::Open { .. } | SegmentKind::Accept) => Verdict::Drop,
            (None, _) => self.find(arrival, (&env.purpose).into()),
        }
    }

    /// Decides on a packet that the target has returned.
    pub fn returned(&mut self, seg: &Segment, context: GateContext<'_>, now: Timestamp) -> Verdict {
        let trial = usize::try_from(seg.mark)
            .ok()
            .and_then(|mark| mark.checked_sub(1))
            .and_then(|i| self.trials.get(i))
            .cloned()
            .flatten();
        if !self.target_silent(now) {
            // Another run returns packets as well, so they do not show that a silent one is back.
            self.flows.heard();
        }
        if let Some(taken) = self.flows.open_since(&seg.flow) {
            self.run.lost_flow(taken, now);
        }
        let ended = self.flows.remove_returned(&seg.flow);
        self.not_held.insert(seg.flow, (), now);
        match (ended, trial) {
            (Some(caller_expects), _) => Verdict::Ended { caller_expects },
            (None, Some(env)) => self.after_trial(Arrival { seg, env: &env, context, now }),
            (None, None) => Verdict::Drop,
        }
    }

    /// Handles a packet from the target to the caller.
    pub fn answered(&mut self, seg: &Segment, now: Timestamp) -> Answered {
        let late = seg.kind != SegmentKind::Accept
            && self.not_held.peek(&seg.flow).is_some()
            && !self.flows.knows(&seg.flow);
        if late {
            // A run that has ended may still have sent packets. They are passed on, but open no
            // flow.
            let stray_reset = seg.kind == SegmentKind::Reset;
            return Answered { record: None, answered: None, stray_reset };
        }
        let noted = self.flows.note_target(seg, now);
        if seg.kind == SegmentKind::Reset && !noted.stray_reset {
            // A waiting request ends with its flow.
            self.opens.remove(&seg.flow);
        }
        let accept = seg.kind == SegmentKind::Accept;
        let record = noted.new.then(|| self.record(seg.flow, accept.then_some(seg.seq), !accept));
        Answered { record, answered: noted.answered, stray_reset: noted.stray_reset }
    }

    /// Returns the data address of the agent, at which it receives packets.
    #[must_use]
    pub fn data(&self) -> SocketAddrV4 {
        self.data
    }
}
