//! What an agent does with a packet: the last word before its target.
//!
//! The agent is the last hop, so it decides by what it knows first-hand, whatever a balancer
//! believed: whether its target is leaving, full or of another service, whether the target holds the
//! flow, and whether newer settings send the flow elsewhere.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::agent_table::{AgentEntry, AgentTable};
use crate::envelope::{Envelope, Errand};
use crate::flow_directory::{FlowDirectory, FlowRecord};
use crate::route_table::RouteTable;
use crate::segment::{Segment, SegmentKind};
use crate::target_flows::{Fit, TargetFlows, TargetLoad};
use crate::{FlowTuple, ProcessId, ServiceTag, Timestamp};

/// Agents that may pass an opening packet on before the last one must decide.
const PLACE_HOPS: usize = 3;
/// Agents asked for the owner of a flow; more than the targets of any one service to come (9 on
/// average) leave room for several.
const SEARCH_STEPS: u8 = 64;
/// After this time every flow that began before the agent did is over or may be forgotten.
const ALL_FLOWS_SEEN: Duration = Duration::from_secs(60);
/// Packets given to the target on trial that are remembered until it gives them back.
const TRIALS: usize = 4096;

/// What the agent knows of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStanding {
    /// It has not spoken yet.
    Unknown,
    /// It takes new flows.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It has said that it ends.
    Gone,
}

/// Why a packet went to another agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassReason {
    /// The packet is for another service.
    OtherService,
    /// The target is leaving or gone.
    Leaving,
    /// The target has no free slot.
    Full,
    /// The target gave the packet back.
    Returned,
    /// A directory entry names the owner.
    Directed,
    /// The owner is looked for.
    Search,
}

/// Why a flow is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// No agent can take it.
    NoTarget,
    /// The settings have no such route.
    NoRoute,
}

/// What is to be done with a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it to the target under this mark.
    Deliver {
        /// Zero, or the number of a trial that the target may give back.
        mark: u32,
        /// Tell the balancer that took the packet that the flow is here.
        tell: bool,
    },
    /// Pass it to another agent.
    Pass {
        /// The agent's data address.
        to: SocketAddrV4,
        /// What to say with it.
        envelope: Envelope,
        /// Why.
        reason: PassReason,
    },
    /// Tell the balancer that no agent holds the flow.
    Missing {
        /// The balancer's control address.
        origin: SocketAddrV4,
    },
    /// Reset the opening packet at the caller.
    Refuse(RefuseReason),
    /// Do nothing; the caller sends again.
    Drop,
}

/// What follows from a packet of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// The record of a flow that the directory must learn of.
    pub record: Option<FlowRecord>,
    /// How long the request took whose answer begins.
    pub answered: Option<Duration>,
}

/// What a decision rests on besides the gate's own state.
#[derive(Debug, Clone, Copy)]
pub struct Known<'a> {
    /// Agents that are not known to be down.
    pub agents: &'a AgentTable,
    /// Routes in force.
    pub routes: &'a RouteTable,
}

/// The state of an agent before its target.
#[derive(Debug)]
pub struct FlowGate {
    me: ProcessId,
    data: SocketAddrV4,
    service: ServiceTag,
    slots: u16,
    standing: TargetStanding,
    stopping: bool,
    started: Timestamp,
    /// The target has started after the agent, so that every flow of it is known.
    sees_all: bool,
    flows: TargetFlows,
    directory: FlowDirectory,
    trials: Vec<Option<Envelope>>,
    next_trial: usize,
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
            stopping: false,
            started: now,
            sees_all: false,
            flows: TargetFlows::default(),
            directory: FlowDirectory::default(),
            trials: vec![None; TRIALS],
            next_trial: 0,
        }
    }

    /// Sets what is known of the target.
    pub fn set_standing(&mut self, standing: TargetStanding, slots: u16) {
        self.standing = standing;
        self.slots = slots.max(1);
    }

    /// Returns what is known of the target.
    #[must_use]
    pub fn standing(&self) -> TargetStanding {
        self.standing
    }

    /// Returns the service of the target.
    #[must_use]
    pub fn service(&self) -> ServiceTag {
        self.service
    }

    /// The agent itself ends: new flows go elsewhere from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Another run of the target has begun: it holds no flow.
    pub fn new_target(&mut self, service: ServiceTag) {
        self.service = service;
        self.sees_all = true;
        self.flows.clear();
    }

    /// Returns what the target has to do.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        self.flows.load(now)
    }

    /// Returns the slots of the target.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns whether the target takes new flows.
    #[must_use]
    pub fn takes_new(&self) -> bool {
        !self.stopping && matches!(self.standing, TargetStanding::Ready | TargetStanding::Unknown)
    }

    /// Takes in the record of a flow of another agent.
    pub fn register(&mut self, record: FlowRecord, now: Timestamp) {
        self.directory.register(record, now);
    }

    /// Returns the records of all open flows.
    #[must_use]
    pub fn records(&self) -> Vec<FlowRecord> {
        self.flows.open().map(|(flow, seq)| self.record(flow, seq, true)).collect()
    }

    fn record(&self, flow: FlowTuple, target_seq: Option<u32>, open: bool) -> FlowRecord {
        FlowRecord { flow, target_seq, open, owner: self.me, data: self.data }
    }

    /// Decides on a packet that came from a balancer or another agent.
    pub fn arrived(
        &mut self,
        seg: &Segment,
        env: &Envelope,
        known: Known<'_>,
        now: Timestamp,
    ) -> Verdict {
        match (&env.errand, seg.kind) {
            (Errand::Place { passed }, SegmentKind::Open { copies }) => {
                self.place(seg, copies, env, passed, known, now)
            }
            (Errand::Place { .. }, _) | (_, SegmentKind::Open { .. } | SegmentKind::Accept) => {
                Verdict::Drop
            }
            (Errand::Deliver, _) => self.find(seg, env, None, known, now),
            (Errand::Search { step }, _) => self.find(seg, env, Some((*step, true)), known, now),
            (Errand::Directed { step }, _) => self.find(seg, env, Some((*step, false)), known, now),
        }
    }

    fn place(
        &mut self,
        seg: &Segment,
        copies: u32,
        env: &Envelope,
        passed: &[ProcessId],
        known: Known<'_>,
        now: Timestamp,
    ) -> Verdict {
        let mut service = env.service;
        if known.routes.revision > env.revision {
            let Some(route) = known.routes.get(seg.flow.route()) else {
                return Verdict::Refuse(RefuseReason::NoRoute);
            };
            if !route.allows(service) {
                let Some(moved) = route.service(&seg.flow) else {
                    return Verdict::Refuse(RefuseReason::NoRoute);
                };
                service = moved;
            }
        }
        if service != self.service {
            let reason = PassReason::OtherService;
            return self.pass_on(seg, service, env, passed, reason, known).unwrap_or(Verdict::Drop);
        }
        if !self.takes_new() {
            let refused = Verdict::Refuse(RefuseReason::NoTarget);
            return self
                .pass_on(seg, service, env, passed, PassReason::Leaving, known)
                .unwrap_or(refused);
        }
        let full = self.load(now).requests >= u32::from(self.slots);
        if full
            && passed.len() < PLACE_HOPS
            && let Some(verdict) = self.pass_on(seg, service, env, passed, PassReason::Full, known)
        {
            return verdict;
        }
        self.flows.opening(seg.flow, copies, now);
        Verdict::Deliver { mark: self.begin_trial(env.clone()), tell: false }
    }

    /// Passes an opening packet to an agent that has not had it yet, a near one first.
    fn pass_on(
        &self,
        seg: &Segment,
        service: ServiceTag,
        env: &Envelope,
        passed: &[ProcessId],
        reason: PassReason,
        known: Known<'_>,
    ) -> Option<Verdict> {
        let fresh =
            |a: &&AgentEntry| a.process != self.me && !passed.contains(&a.process) && a.slots > 0;
        let rank = |a: &&AgentEntry| (a.near, seg.flow.score(a.process.0));
        let next = known.agents.serving(service).filter(fresh).max_by_key(rank)?;
        let mut passed = passed.to_vec();
        passed.push(self.me);
        let envelope = Envelope { service, errand: Errand::Place { passed }, ..env.clone() };
        Some(Verdict::Pass { to: next.data, envelope, reason })
    }

    /// Decides on a packet of a flow that should be open somewhere; `search` is the place in the
    /// order of search, and whether the directory is to be asked.
    fn find(
        &mut self,
        seg: &Segment,
        env: &Envelope,
        search: Option<(u8, bool)>,
        known: Known<'_>,
        now: Timestamp,
    ) -> Verdict {
        let fit = self.flows.from_caller(seg, now);
        if fit == Fit::Ours {
            return Verdict::Deliver { mark: 0, tell: search.is_some() };
        }
        if let Some((step, true)) = search
            && let Some(record) = self.directory.owner(&seg.flow, seg.ack, now)
            && record.data != self.data
            && known.agents.iter().any(|a| a.data == record.data)
        {
            let envelope = Envelope { errand: Errand::Directed { step }, ..env.clone() };
            return Verdict::Pass { to: record.data, envelope, reason: PassReason::Directed };
        }
        let blind = !self.sees_all && now.since(self.started) < ALL_FLOWS_SEEN;
        let may_hold = fit == Fit::Unknown
            && blind
            && self.standing != TargetStanding::Gone
            && services(seg, env, known).contains(&self.service);
        let next = search.map_or(0, |(step, _)| step.saturating_add(1));
        if may_hold {
            let errand = Errand::Search { step: next };
            let mark = self.begin_trial(Envelope { errand, ..env.clone() });
            return Verdict::Deliver { mark, tell: false };
        }
        self.search_on(seg, env, next, known)
    }

    /// Sends a packet to the next agent in the order of search.
    fn search_on(&self, seg: &Segment, env: &Envelope, step: u8, known: Known<'_>) -> Verdict {
        let services = services(seg, env, known);
        let order = known.agents.search_order(&seg.flow, &services);
        let next = order
            .iter()
            .enumerate()
            .skip(usize::from(step))
            .take_while(|(i, _)| *i < usize::from(SEARCH_STEPS))
            .find(|(_, a)| a.process != self.me);
        match next {
            Some((i, agent)) => {
                let step = u8::try_from(i).unwrap_or(SEARCH_STEPS);
                let envelope = Envelope { errand: Errand::Search { step }, ..env.clone() };
                Verdict::Pass { to: agent.data, envelope, reason: PassReason::Search }
            }
            None if known.agents.any_suspect(&services) => Verdict::Drop,
            None => Verdict::Missing { origin: env.origin },
        }
    }

    fn begin_trial(&mut self, env: Envelope) -> u32 {
        self.next_trial = (self.next_trial + 1) % TRIALS;
        self.trials[self.next_trial] = Some(env);
        u32::try_from(self.next_trial + 1).unwrap_or(0)
    }

    /// Decides on a packet that the target has given back.
    ///
    /// Also returns the balancer that took it from the caller.
    pub fn returned(
        &mut self,
        seg: &Segment,
        known: Known<'_>,
        now: Timestamp,
    ) -> (Verdict, SocketAddrV4) {
        let trial = usize::try_from(seg.mark)
            .ok()
            .and_then(|mark| mark.checked_sub(1))
            .and_then(|i| self.trials.get(i))
            .cloned()
            .flatten();
        self.flows.forget(&seg.flow);
        let Some(env) = trial else { return (Verdict::Drop, self.data) };
        let origin = env.origin;
        (self.after_trial(seg, env, known, now), origin)
    }

    fn after_trial(
        &mut self,
        seg: &Segment,
        env: Envelope,
        known: Known<'_>,
        now: Timestamp,
    ) -> Verdict {
        match (&env.errand, seg.kind) {
            (Errand::Place { passed }, SegmentKind::Open { .. }) => {
                let reason = PassReason::Returned;
                let refused = Verdict::Refuse(RefuseReason::NoTarget);
                if passed.len() > PLACE_HOPS {
                    return refused;
                }
                self.pass_on(seg, env.service, &env, passed, reason, known).unwrap_or(refused)
            }
            (Errand::Search { step }, kind) if !matches!(kind, SegmentKind::Open { .. }) => {
                if let Some(record) = self.directory.owner(&seg.flow, seg.ack, now)
                    && record.data != self.data
                    && *step <= 1
                    && known.agents.iter().any(|a| a.data == record.data)
                {
                    let envelope = Envelope { errand: Errand::Directed { step: *step }, ..env };
                    let reason = PassReason::Directed;
                    return Verdict::Pass { to: record.data, envelope, reason };
                }
                self.search_on(seg, &env, *step, known)
            }
            _ => Verdict::Drop,
        }
    }

    /// Takes in a packet of the target on its way to the caller.
    pub fn from_target(&mut self, seg: &Segment, now: Timestamp) -> Answered {
        let noted = self.flows.from_target(seg, now);
        let accept = seg.kind == SegmentKind::Accept;
        let record = noted.new.then(|| self.record(seg.flow, accept.then_some(seg.seq), !accept));
        Answered { record, answered: noted.answered }
    }

    /// Returns where packets reach the agent.
    #[must_use]
    pub fn data(&self) -> SocketAddrV4 {
        self.data
    }
}

/// Returns the services that may hold a flow.
fn services(seg: &Segment, env: &Envelope, known: Known<'_>) -> Vec<ServiceTag> {
    let mut services = known
        .routes
        .get(seg.flow.route())
        .map_or_else(Vec::new, crate::route_table::RouteEntry::services);
    if !services.contains(&env.service) {
        services.push(env.service);
    }
    services
}
