//! What an agent does with a packet: the last word before its target.
//!
//! The agent is the last hop, so it decides by what it knows first-hand, whatever a balancer
//! believed: whether its target is leaving, full or of another service, whether the target holds the
//! flow, and whether newer settings send the flow elsewhere.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::agent_table::{AgentEntry, AgentTable};
use crate::envelope::{Envelope, Errand, Search, SearchPlace, SearchScope};
use crate::flow_directory::{FlowDirectory, FlowRecord};
use crate::generations::Generations;
use crate::open_queue;
use crate::route_table::{RouteEntry, RouteTable};
use crate::segment::{Segment, SegmentKind};
use crate::target_flows::{Fit, TargetFlows, TargetLoad};
use crate::{FlowTuple, ProcessId, ServiceTag, Timestamp};

/// Agents that may pass an opening packet on before the last one must decide.
const PLACE_HOPS: usize = 3;
/// Part of a route's latency aim that the work ahead of a new request may take, in percent. Beyond it the
/// answer would come late in any case, and late for all behind it; refused at once, the caller can try
/// elsewhere. The rest is for the way, for the caller's own time, and for work that takes longer than the
/// average; 55, 75 and 95 were measured on whole days.
const AIM_SHARE: u32 = 55;
/// The same where a route has no aim, in rounds of work.
const ROUNDS: u32 = 3;
/// Steps of one search. It visits each agent of a service once, so this only ends one that goes wrong; the
/// largest service seen has some 220 targets (a fleet of 300 VMs with two services).
const SEARCH_STEPS: u16 = 1000;
/// How often a packet is sent where a record says before the search goes on in order: an opening packet
/// passed on three times leaves as many records.
const DIRECTIONS: u8 = 4;
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

/// Whether a target has a process, as an attempt to connect to it has shown when the agent started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPresence {
    /// No answer, or none yet.
    Unknown,
    /// The connection was refused: there is none, and whichever comes starts after the agent.
    Absent,
    /// The connection was accepted.
    Present,
}

/// Why a packet went to another agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassReason {
    /// The packet is for another service.
    OtherService,
    /// The target is leaving or gone.
    Leaving,
    /// The target has no free slot; another one near may have.
    Full,
    /// The target has more to do than it can in time; any other may have less.
    Crowded,
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
    /// The targets asked have more to do than they can in time.
    Crowded,
}

/// What is to be done with a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it to the target under this mark.
    Deliver {
        /// Zero, or the number of a trial that the target may give back.
        mark: u32,
        /// The balancer to tell that the flow is here.
        tell: Option<SocketAddrV4>,
    },
    /// Hand a copy to the target without a mark, and do the rest besides.
    Try {
        /// What to do besides.
        onward: Box<Verdict>,
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
    /// Let the opening packet wait until the target can take it.
    Wait {
        /// Time that it may wait, and the target's work before it take, for an answer in time.
        limit: Duration,
        /// What came with it.
        envelope: Envelope,
    },
    /// Tell the balancer that no agent holds the flow.
    Missing {
        /// The balancer's control address.
        origin: SocketAddrV4,
    },
    /// Tell the balancer that nobody can take the flow. It resets the opening packet, unless it has
    /// given the flow to another agent meanwhile.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// The balancer's control address.
        origin: SocketAddrV4,
        /// The agent to which the balancer gave the flow.
        placed: ProcessId,
    },
    /// Do nothing; the caller sends again.
    Drop,
}

/// How a packet of an open flow came here.
#[derive(Debug, Clone, Copy)]
struct Lookup {
    /// The search so far, if one has begun.
    search: Option<Search>,
    /// How often the packet was sent where a record said.
    directed: u8,
}

impl Lookup {
    fn place(&self) -> Option<SearchPlace> {
        self.search.map(|search| search.place)
    }

    /// Returns the search so far, or one that begins here.
    fn started(&self) -> Search {
        let place = SearchPlace::Directory(0);
        let start = Search { place, steps: 0, sure: true, scope: SearchScope::All };
        self.search.unwrap_or(start)
    }

    /// One of the agents asked can't tell whether its target holds the flow.
    fn unsure(mut self) -> Self {
        self.search = Some(Search { sure: false, ..self.started() });
        self
    }
}

impl From<&Errand> for Lookup {
    fn from(errand: &Errand) -> Self {
        match *errand {
            Errand::Place { .. } | Errand::Deliver => Self { search: None, directed: 0 },
            Errand::Search(search) => Self { search: Some(search), directed: 0 },
            Errand::Directed { search, times } => Self { search: Some(search), directed: times },
        }
    }
}

/// What follows from a packet of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// The record of a flow that the directory must learn of.
    pub record: Option<FlowRecord>,
    /// How long the request took whose answer begins.
    pub answered: Option<Duration>,
    /// The packet resets a flow that the target may never have owned, and must not reach the caller.
    pub stray_reset: bool,
}

/// What a decision rests on besides the gate's own state.
#[derive(Debug, Clone, Copy)]
pub struct Known<'a> {
    /// Agents that are not known to be down.
    pub agents: &'a AgentTable,
    /// Routes in force.
    pub routes: &'a RouteTable,
    /// The agents are all there are, as far as can be told: not so in the first moments of a process.
    pub settled: bool,
}

/// A packet, what came with it, and what is known at that moment.
#[derive(Debug, Clone, Copy)]
struct Arrival<'a> {
    seg: &'a Segment,
    env: &'a Envelope,
    known: Known<'a>,
    now: Timestamp,
}

impl Arrival<'_> {
    /// Returns the services that may hold the flow.
    fn services(&self) -> Vec<ServiceTag> {
        let route = self.known.routes.get(self.seg.flow.route());
        let mut services = route.map_or_else(Vec::new, RouteEntry::services);
        if !services.contains(&self.env.service) {
            services.push(self.env.service);
        }
        services
    }
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
    /// The target has only just started, by its own word.
    target_cold: bool,
    /// Since when there is no target.
    no_target_since: Option<Timestamp>,
    stopping: bool,
    started: Timestamp,
    heartbeat_every: Duration,
    /// The target has started after the agent, so that every flow of it is known.
    sees_all: bool,
    flows: TargetFlows,
    directory: FlowDirectory,
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
            target_cold: false,
            no_target_since: None,
            stopping: false,
            started: now,
            heartbeat_every: HEARTBEAT_EVERY,
            sees_all: false,
            flows: TargetFlows::default(),
            directory: FlowDirectory::default(),
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

    /// Returns whether no target has spoken in a time in which a living one would have.
    #[must_use]
    pub fn has_no_target(&self, now: Timestamp) -> bool {
        let limit = self.heartbeat_every.mul_f64(HEARTBEATS_MISSED);
        match self.standing {
            TargetStanding::Gone => true,
            TargetStanding::Unknown => {
                self.presence == TargetPresence::Absent || now.since(self.started) >= limit
            }
            TargetStanding::Ready | TargetStanding::Leaving => false,
        }
    }

    /// Returns whether no flow can be here, as there is no target that could hold one.
    pub fn is_empty(&mut self, now: Timestamp) -> bool {
        if !self.has_no_target(now) {
            self.no_target_since = None;
            return false;
        }
        let since = *self.no_target_since.get_or_insert(now);
        self.standing == TargetStanding::Unknown || now.since(since) >= ENDED_AFTER
    }

    /// Takes in what an attempt to connect to the target has shown; its own word counts for more.
    pub fn set_presence(&mut self, presence: TargetPresence) {
        if self.standing == TargetStanding::Unknown {
            self.presence = presence;
            self.sees_all = presence == TargetPresence::Absent;
        }
    }

    /// Sets what is known of the target.
    pub fn set_standing(&mut self, standing: TargetStanding, slots: u16) {
        self.standing = standing;
        self.slots = slots.max(1);
    }

    /// Sets whether the target has only just started.
    pub fn set_cold(&mut self, cold: bool) {
        self.target_cold = cold;
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
    ///
    /// Returns the flows that ended with the earlier run, with the numbers of the bytes that their callers
    /// expect next. A caller that waits for an answer sends nothing, and would wait until its deadline.
    pub fn new_target(&mut self, service: ServiceTag) -> Vec<(FlowTuple, u32)> {
        self.service = service;
        self.sees_all = true;
        self.flows.clear()
    }

    /// Notes a sign of life of the target.
    pub fn heard(&mut self) {
        self.flows.heard();
    }

    /// Returns whether the target answers nothing any more.
    #[must_use]
    pub fn target_silent(&self, now: Timestamp) -> bool {
        self.flows.silent(now)
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
    pub fn takes_new(&self, now: Timestamp) -> bool {
        !self.stopping
            && !self.target_silent(now)
            && match self.standing {
                TargetStanding::Ready => true,
                TargetStanding::Unknown => self.presence != TargetPresence::Absent,
                TargetStanding::Leaving | TargetStanding::Gone => false,
            }
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
        let arrival = Arrival { seg, env, known, now };
        match (&env.errand, seg.kind) {
            (Errand::Place { passed, late }, SegmentKind::Open { copies }) => {
                self.place(arrival, copies, passed, *late)
            }
            (Errand::Place { .. }, _) | (_, SegmentKind::Open { .. } | SegmentKind::Accept) => {
                Verdict::Drop
            }
            (errand, _) => self.find(arrival, errand.into()),
        }
    }

    /// Decides on a packet that opens a flow.
    fn place(
        &mut self,
        arrival: Arrival<'_>,
        copies: u32,
        passed: &[ProcessId],
        late: bool,
    ) -> Verdict {
        let Arrival { seg, env, known, now } = arrival;
        let Some(service) = service_now(seg, env, known.routes) else {
            return self.refuse(RefuseReason::NoRoute, env, passed);
        };
        if service != self.service {
            let reason = PassReason::OtherService;
            return self.pass_on(arrival, service, passed, reason).unwrap_or(Verdict::Drop);
        }
        if !self.takes_new(now) {
            let refused = self.refuse(RefuseReason::NoTarget, env, passed);
            return self.pass_on(arrival, service, passed, PassReason::Leaving).unwrap_or(refused);
        }
        let requests = self.load(now).requests;
        if requests >= u32::from(self.slots) {
            let limit = if late { Duration::ZERO } else { self.time_limit(arrival) };
            let waited = now.since(open_queue::waiting_since(copies, now));
            let late = waited + self.work_of(requests + 1) > limit;
            let hops = passed.len() < PLACE_HOPS;
            // Bytes between data centres cost, so a wait that the aim allows stays in this one.
            if hops && let Some(verdict) = self.pass_on(arrival, service, passed, reach_of(late)) {
                return verdict;
            }
            if late {
                return Verdict::Wait { limit, envelope: env.clone() };
            }
        }
        self.not_held.remove(&seg.flow);
        self.flows.opening(seg.flow, copies, now);
        // The balancer knows only the agent that it chose itself.
        let tell = (!passed.is_empty()).then_some(env.origin);
        Verdict::Deliver { mark: self.begin_trial(env.clone()), tell }
    }

    /// Returns the time that a request may wait for its answer to come within the aim of its route.
    fn time_limit(&self, arrival: Arrival<'_>) -> Duration {
        let route = arrival.known.routes.get(arrival.seg.flow.route());
        let aim = route.and_then(|route| route.latency_aim);
        aim.map_or(self.flows.work() * ROUNDS, |aim| aim * AIM_SHARE / 100)
    }

    fn work_of(&self, requests: u32) -> Duration {
        self.flows.work() * requests / u32::from(self.slots)
    }

    /// Returns the time that the target needs for what it has and one request more.
    #[must_use]
    pub fn work_ahead(&self, now: Timestamp) -> Duration {
        self.work_of(self.load(now).requests + 1)
    }

    /// Returns whether a slot of the target has nothing to do.
    #[must_use]
    pub fn has_idle_slot(&self, now: Timestamp) -> bool {
        self.load(now).requests < u32::from(self.slots)
    }

    /// Refuses an opening packet that has waited here.
    #[must_use]
    pub fn refuse_waiting(&self, env: &Envelope) -> Verdict {
        let passed: &[ProcessId] = match &env.errand {
            Errand::Place { passed, .. } => passed,
            _ => &[],
        };
        self.refuse(RefuseReason::Crowded, env, passed)
    }

    fn refuse(&self, reason: RefuseReason, env: &Envelope, passed: &[ProcessId]) -> Verdict {
        let placed = passed.first().copied().unwrap_or(self.me);
        Verdict::Refuse { reason, origin: env.origin, placed }
    }

    /// Passes an opening packet to an agent that has not had it yet, a near one first, and remembers
    /// which: the balancer sends the packets that follow here until it hears of the owner.
    fn pass_on(
        &mut self,
        arrival: Arrival<'_>,
        service: ServiceTag,
        passed: &[ProcessId],
        reason: PassReason,
    ) -> Option<Verdict> {
        let Arrival { seg, env, known, now } = arrival;
        let fresh =
            |a: &&AgentEntry| a.process != self.me && !passed.contains(&a.process) && a.slots > 0;
        let rank = |a: &&AgentEntry| (a.near, seg.flow.score(a.process.0));
        let reached = |a: &&AgentEntry| a.near || reason != PassReason::Full;
        let open = known.agents.serving(service).filter(fresh);
        let next = open.filter(reached).max_by_key(rank)?;
        let record = FlowRecord {
            flow: seg.flow,
            target_seq: None,
            open: false,
            owner: next.process,
            data: next.data,
        };
        self.directory.register(record, now);
        let mut passed = passed.to_vec();
        passed.push(self.me);
        let late = matches!(env.errand, Errand::Place { late: true, .. });
        let envelope = Envelope { service, errand: Errand::Place { passed, late }, ..env.clone() };
        Some(Verdict::Pass { to: next.data, envelope, reason })
    }

    /// Decides on a packet of a flow that should be open somewhere.
    fn find(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, known, now } = arrival;
        let fit = self.flows.note_caller(seg, self.slots, now);
        if fit == Fit::Ours {
            let told_by_others = lookup.search.is_some();
            return Verdict::Deliver { mark: 0, tell: told_by_others.then_some(env.origin) };
        }
        if let Some(verdict) = self.direct(arrival, lookup) {
            return verdict;
        }
        let lookup = if known.settled { lookup } else { lookup.unsure() };
        let blind = !self.sees_all && now.since(self.started) < ALL_FLOWS_SEEN;
        let may_hold = fit == Fit::Unknown
            && blind
            && !self.has_no_target(now)
            && self.not_held.peek(&seg.flow).is_none()
            && arrival.services().contains(&self.service);
        if !may_hold {
            return self.search_on(arrival, lookup);
        }
        let unheard = self.standing == TargetStanding::Unknown;
        if unheard && self.presence == TargetPresence::Unknown {
            // Nothing tells yet whether there is a target that could give the packet back.
            return Verdict::Try { onward: Box::new(self.search_on(arrival, lookup.unsure())) };
        }
        let claimed = !matches!(env.errand, Errand::Search(_));
        if self.target_cold && !claimed && !lookup.started().sure {
            // A search that proves nothing is about flows that run, and such a target has hardly any yet.
            return self.search_on(arrival, lookup);
        }
        let errand = match lookup.search {
            Some(search) => Errand::Search(search),
            None => Errand::Deliver,
        };
        let mark = self.begin_trial(Envelope { errand, ..env.clone() });
        Verdict::Deliver { mark, tell: None }
    }

    /// Passes a packet to the agent that a record names as the owner of its flow.
    fn direct(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Option<Verdict> {
        let Arrival { seg, env, known, now } = arrival;
        if lookup.directed >= DIRECTIONS {
            return None;
        }
        let record = self.directory.owner(&seg.flow, seg.ack, now)?;
        if record.data == self.data || known.agents.at(record.data).is_none() {
            return None;
        }
        let errand = Errand::Directed { search: lookup.started(), times: lookup.directed + 1 };
        let envelope = Envelope { errand, ..env.clone() };
        Some(Verdict::Pass { to: record.data, envelope, reason: PassReason::Directed })
    }

    /// Sends a packet to the next agent in the order of search.
    fn search_on(&self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, known, .. } = arrival;
        let services = arrival.services();
        let me = Some(self.me);
        let so_far = lookup.started();
        if so_far.steps >= SEARCH_STEPS {
            return Verdict::Drop;
        }
        let next = known.agents.next_in_search(&seg.flow, &services, lookup.place(), me);
        let in_scope = |place: SearchPlace| match so_far.scope {
            SearchScope::All => true,
            SearchScope::Directories => matches!(place, SearchPlace::Directory(_)),
        };
        match next.filter(|(place, _)| in_scope(*place)) {
            Some((place, agent)) => {
                let search = Search { place, steps: so_far.steps + 1, ..so_far };
                let envelope = Envelope { errand: Errand::Search(search), ..env.clone() };
                Verdict::Pass { to: agent.data, envelope, reason: PassReason::Search }
            }
            None if so_far.sure && !known.agents.any_suspect(&services) => {
                Verdict::Missing { origin: env.origin }
            }
            None => Verdict::Drop,
        }
    }

    fn begin_trial(&mut self, env: Envelope) -> u32 {
        self.next_trial = (self.next_trial + 1) % TRIALS;
        self.trials[self.next_trial] = Some(env);
        u32::try_from(self.next_trial + 1).unwrap_or(0)
    }

    /// Decides on a packet that the target has given back.
    pub fn returned(&mut self, seg: &Segment, known: Known<'_>, now: Timestamp) -> Verdict {
        let trial = usize::try_from(seg.mark)
            .ok()
            .and_then(|mark| mark.checked_sub(1))
            .and_then(|i| self.trials.get(i))
            .cloned()
            .flatten();
        self.flows.heard();
        self.flows.forget(&seg.flow);
        self.not_held.insert(seg.flow, (), now);
        match trial {
            Some(env) => self.after_trial(Arrival { seg, env: &env, known, now }),
            None => Verdict::Drop,
        }
    }

    fn after_trial(&mut self, arrival: Arrival<'_>) -> Verdict {
        let Arrival { seg, env, .. } = arrival;
        match (&env.errand, seg.kind) {
            (Errand::Place { passed, .. }, SegmentKind::Open { .. }) => {
                let reason = PassReason::Returned;
                let refused = self.refuse(RefuseReason::NoTarget, env, passed);
                if passed.len() > PLACE_HOPS {
                    return refused;
                }
                self.pass_on(arrival, env.service, passed, reason).unwrap_or(refused)
            }
            (errand @ (Errand::Search(_) | Errand::Deliver), kind)
                if !matches!(kind, SegmentKind::Open { .. }) =>
            {
                self.search_on(arrival, errand.into())
            }
            _ => Verdict::Drop,
        }
    }

    /// Takes in a packet of the target on its way to the caller.
    pub fn answered(&mut self, seg: &Segment, now: Timestamp) -> Answered {
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

/// Returns why a full target's flow goes on, and with that how far.
fn reach_of(late: bool) -> PassReason {
    if late { PassReason::Crowded } else { PassReason::Full }
}

/// Returns the service of a new flow: what the balancer said, unless newer settings say otherwise.
fn service_now(seg: &Segment, env: &Envelope, routes: &RouteTable) -> Option<ServiceTag> {
    if routes.revision <= env.revision {
        return Some(env.service);
    }
    let route = routes.get(seg.flow.route())?;
    if route.allows(env.service) { Some(env.service) } else { route.service(&seg.flow) }
}
