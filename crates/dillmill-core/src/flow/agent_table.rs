//! Table of the agents that a process knows, indexed for look-ups by packet: new flows, directories
//! and searches.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::envelope::SearchPlace;
use crate::{
    Evacuations, FlowCoverage, FlowTuple, Member, MemberStatus, ProcessId, Role, ServiceTag,
    Timestamp, ZoneName,
};

/// Number of directories that record the owner of a flow, besides the owner itself. With two, the
/// loss of one loses no record.
pub const DIRECTORY_REPLICAS: usize = 2;
/// Number of directories that a search asks. Where one process takes a live agent as suspect and
/// another does not, the records lie one place further on the ring.
const DIRECTORIES_SEARCHED: usize = 4;
/// Largest number of agents of the searched services of which a search visits all; it then needs no
/// statement of a directory. Of larger services it would visit too many.
const VISIT_ALL_LIMIT: usize = 64;
/// Hash seed of a flow's position on the ring of directories; any number that no address gives will
/// do.
const RING_SEED: u64 = u64::MAX - 1;
/// Difference of start times beyond which a process counts as older, by its own clock. Processes
/// that start together do so within this time, and the clocks of VMs mostly differ by less.
const START_SKEW: Duration = Duration::from_secs(2);

/// Bits of a search score that come from the data centre. Data centres with the same bits are
/// visited as one.
const ZONE_BITS: u64 = 0xffff << 48;

/// An agent that is not known to be down and has a target, as far as it has announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentEntry {
    /// Id of this run of the agent process.
    pub process: ProcessId,
    /// Data address, at which the agent receives packets.
    pub data: SocketAddrV4,
    /// Control address, at which the agent receives messages.
    pub control: SocketAddrV4,
    /// Service of the agent's target.
    pub service: ServiceTag,
    /// Whether the agent is in the same data centre as the process that holds the table.
    pub near: bool,
    /// Hash of the name of the agent's data centre.
    pub zone_seed: u64,
    /// Membership status.
    pub status: MemberStatus,
    /// Slots of the agent's target.
    pub slots: u16,
    /// Whether the agent's data centre is evacuated: it gets no new flows.
    pub evacuated: bool,
    /// Whether the agent knows each flow that its target holds, and so has told the directories of
    /// each.
    pub coverage: FlowCoverage,
    /// Start time by the agent's own clock.
    pub started: Timestamp,
}

impl AgentEntry {
    fn new(member: &Member, service: ServiceTag, zone: &ZoneName) -> Self {
        Self {
            process: member.process,
            data: member.data,
            control: member.control,
            service,
            near: member.zone == *zone,
            zone_seed: zone_seed(&member.zone),
            status: member.status,
            slots: member.weight.0,
            evacuated: false,
            coverage: member.coverage,
            started: member.started,
        }
    }

    /// Returns whether the agent answers. A packet sent to one that does not would end a search.
    fn answers(&self) -> bool {
        self.status < MemberStatus::Suspect
    }
}

/// The agents of one service, and those among them that are candidates for its new flows.
#[derive(Debug, Clone, Default)]
struct ServiceAgents {
    all: Vec<usize>,
    serving: Vec<usize>,
    suspect: Vec<usize>,
    any_serving_evacuated: bool,
}

impl ServiceAgents {
    fn taking_new(&self) -> &[usize] {
        if self.serving.is_empty() { &self.suspect } else { &self.serving }
    }
}

/// All agents that are not known to be down, except those without a target: these can hold no flow,
/// and their VMs are mostly about to stop.
///
/// A look-up takes a few steps whatever the size of the fleet, unless it returns many agents.
#[derive(Debug, Clone, Default)]
pub struct AgentTable {
    /// Sorted by data address.
    agents: Vec<AgentEntry>,
    /// Process ids in order, with indices into `agents`.
    processes: Vec<(ProcessId, usize)>,
    /// Ring positions of the directories in order, with indices into `agents`.
    ring: Vec<(u64, usize)>,
    /// Indices of agents whose targets may hold flows that the agents do not know.
    partial: Vec<usize>,
    services: HashMap<ServiceTag, ServiceAgents>,
    earliest_start: Option<Timestamp>,
}

impl PartialEq for AgentTable {
    fn eq(&self, other: &Self) -> bool {
        // All other fields are derived from the agents.
        self.agents == other.agents
    }
}

impl Eq for AgentTable {}

impl AgentTable {
    /// Creates the table of a process in data centre `zone`.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = &'a Member>, zone: &ZoneName) -> Self {
        let mut agents: Vec<AgentEntry> = members
            .into_iter()
            .filter(|m| !matches!(m.status, MemberStatus::Empty | MemberStatus::Down))
            .filter_map(|m| match &m.role {
                Role::Agent(service) => Some(AgentEntry::new(m, service.into(), zone)),
                Role::Balancer => None,
            })
            .collect();
        agents.sort_by_key(|a| a.data);
        Self { agents, ..Self::default() }.indexed()
    }

    /// Marks the agents of evacuated data centres, which get no new flows.
    #[must_use]
    pub fn with_evacuations(mut self, evacuations: &Evacuations) -> Self {
        let seeds: Vec<u64> = evacuations.zones().map(zone_seed).collect();
        if seeds.is_empty() {
            return self;
        }
        for agent in &mut self.agents {
            agent.evacuated = seeds.contains(&agent.zone_seed);
        }
        self.indexed()
    }

    fn indexed(self) -> Self {
        let each = || self.agents.iter().enumerate();
        let mut processes: Vec<_> = each().map(|(i, a)| (a.process, i)).collect();
        processes.sort_unstable();
        let mut ring: Vec<_> = each().map(|(i, a)| (ring_position(a.control), i)).collect();
        ring.sort_unstable();
        let may_hold_more = |a: &AgentEntry| a.coverage == FlowCoverage::Partial;
        let partial = each().filter(|(_, a)| may_hold_more(a)).map(|(i, _)| i).collect();
        let mut services: HashMap<ServiceTag, ServiceAgents> = HashMap::new();
        for (i, agent) in each() {
            let of_service = services.entry(agent.service).or_default();
            of_service.all.push(i);
            match agent.status {
                MemberStatus::Serving if agent.evacuated => {
                    of_service.any_serving_evacuated = true;
                }
                MemberStatus::Serving => of_service.serving.push(i),
                MemberStatus::Suspect if !agent.evacuated => of_service.suspect.push(i),
                _ => {}
            }
        }
        let earliest_start = self.agents.iter().map(|a| a.started).min();
        Self { processes, ring, partial, services, earliest_start, agents: self.agents }
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = &AgentEntry> {
        self.agents.iter()
    }

    /// Returns the number of agents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether no agent is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Returns the agent with this process id.
    #[must_use]
    pub fn get(&self, process: ProcessId) -> Option<&AgentEntry> {
        let at = self.processes.binary_search_by_key(&process, |(process, _)| *process).ok()?;
        Some(&self.agents[self.processes[at].1])
    }

    /// Returns the agent that receives packets at `data`, even if another run of it was known
    /// before: its target may have outlived that run.
    #[must_use]
    pub fn at(&self, data: SocketAddrV4) -> Option<&AgentEntry> {
        let i = self.agents.partition_point(|a| a.data < data);
        self.agents.get(i).filter(|a| a.data == data)
    }

    /// Returns the agents of `service` that take new flows: those that serve, or, if none does, the
    /// suspect ones. Agents of evacuated data centres are left out.
    ///
    /// All agents of a small service may pause at once. Mostly they are back before their callers
    /// give up. Callers told that there is no agent would use up their attempts within milliseconds.
    pub fn taking_new(&self, service: ServiceTag) -> impl Iterator<Item = &AgentEntry> {
        let taking = self.services.get(&service).map_or(&[][..], ServiceAgents::taking_new);
        taking.iter().map(|i| &self.agents[*i])
    }

    /// Returns whether agents of `service` take no new flows only because their data centres are evacuated.
    #[must_use]
    pub fn all_evacuated(&self, service: ServiceTag) -> bool {
        let all =
            |agents: &ServiceAgents| agents.serving.is_empty() && agents.any_serving_evacuated;
        self.services.get(&service).is_some_and(all)
    }

    /// Returns the directories of `flow`: the agents, of all services, that record its owner. As
    /// they don't depend on the service, a route that moves to another service changes nothing.
    pub fn directory(&self, flow: &FlowTuple) -> impl Iterator<Item = &AgentEntry> {
        self.directories(flow).take(DIRECTORY_REPLICAS)
    }

    /// Returns whether `process` is one of the directories of `flow`.
    #[must_use]
    pub fn is_directory(&self, flow: &FlowTuple, process: ProcessId) -> bool {
        self.directory(flow).any(|a| a.process == process)
    }

    /// Returns whether a search for the owner of `flow` may ask the agent at `control`, which need
    /// not be in the table.
    #[must_use]
    pub fn may_be_asked(&self, flow: &FlowTuple, control: SocketAddrV4) -> bool {
        let [from, to] = [flow.score(RING_SEED), ring_position(control)]
            .map(|place| self.ring.partition_point(|(other, _)| *other < place));
        let between = if to >= from { to - from } else { to + self.ring.len() - from };
        between < DIRECTORIES_SEARCHED
    }

    /// Returns the agents that answer, in their order as directories of `flow`.
    fn directories(&self, flow: &FlowTuple) -> impl Iterator<Item = &AgentEntry> {
        self.ring_from(flow).filter(|a| a.answers())
    }

    fn ring_from(&self, flow: &FlowTuple) -> impl Iterator<Item = &AgentEntry> {
        // Positions depend on the address, so that an agent keeps its own after a restart.
        let first = self.ring.partition_point(|(place, _)| *place < flow.score(RING_SEED));
        let (before, after) = self.ring.split_at(first);
        after.iter().chain(before).map(|(_, i)| &self.agents[*i])
    }

    /// Returns the step after `place` in the search for the owner of `flow`, leaving out `me`:
    /// first the directories, then each agent of `services` whose target may hold the flow, one
    /// data centre after the other.
    ///
    /// An agent that knows all flows of its target has told the directories of them. It is visited
    /// only where there are few agents, as a second proof at little cost.
    #[must_use]
    pub fn next_in_search(
        &self,
        flow: &FlowTuple,
        services: &[ServiceTag],
        place: Option<SearchPlace>,
        me: Option<ProcessId>,
    ) -> Option<(SearchPlace, &AgentEntry)> {
        let (next_directory, below) = match place {
            None => (0, None),
            Some(SearchPlace::Directory(i)) => (usize::from(i) + 1, None),
            Some(SearchPlace::Holder(score)) => (DIRECTORIES_SEARCHED, Some(score)),
        };
        let directories =
            self.directories(flow).take(DIRECTORIES_SEARCHED).enumerate().skip(next_directory);
        let mut directories = directories.filter(|(_, a)| Some(a.process) != me);
        if let Some((i, agent)) = directories.next() {
            return Some((SearchPlace::Directory(u8::try_from(i).unwrap_or(0)), agent));
        }
        self.search_candidates(services)
            .into_iter()
            .filter(|a| a.answers() && Some(a.process) != me)
            .map(|a| (search_score(flow, a), a))
            .filter(|(score, _)| below.is_none_or(|below| *score < below))
            .max_by_key(|(score, _)| *score)
            .map(|(score, agent)| (SearchPlace::Holder(score), agent))
    }

    /// Returns the agents of `services` that a search visits after the directories.
    fn search_candidates(&self, services: &[ServiceTag]) -> Vec<&AgentEntry> {
        let of_services = || services.iter().filter_map(|service| self.services.get(service));
        let agent = |i: &usize| &self.agents[*i];
        if of_services().map(|s| s.all.len()).sum::<usize>() <= VISIT_ALL_LIMIT {
            return of_services().flat_map(|s| s.all.iter()).map(agent).collect();
        }
        let partial = self.partial.iter().map(agent);
        partial.filter(|a| services.contains(&a.service)).collect()
    }

    /// Returns whether a search for the owner of `flow` may miss it because agents that do not
    /// answer are left out: either all directories of the flow, or an agent of `services` that may
    /// hold flows of which no directory knows.
    ///
    /// An agent that has never had a heartbeat from a target has no flows that a search could miss.
    #[must_use]
    pub fn may_miss(&self, flow: &FlowTuple, services: &[ServiceTag]) -> bool {
        let mut remember = self.ring_from(flow).take(DIRECTORY_REPLICAS).peekable();
        let forgotten = remember.peek().is_some() && remember.all(|a| !a.answers());
        forgotten || self.search_candidates(services).iter().any(|a| !a.answers() && a.slots > 0)
    }

    /// Returns whether an agent has started before a process that started at `started`, by more
    /// than clocks differ.
    #[must_use]
    pub fn any_started_before(&self, started: Timestamp) -> bool {
        self.earliest_start.is_some_and(|first| started.since(first) > START_SKEW)
    }
}

/// Returns the rank of an agent in the search for the owner of `flow`. The upper bits depend on the
/// data centre, since traffic between data centres costs and each step between them takes time.
fn search_score(flow: &FlowTuple, agent: &AgentEntry) -> u64 {
    let zone = flow.score(agent.zone_seed) & ZONE_BITS;
    zone | flow.score(address_seed(agent.control)) & !ZONE_BITS
}

fn zone_seed(zone: &ZoneName) -> u64 {
    xxh3_64(zone.as_str().as_bytes())
}

fn address_seed(addr: SocketAddrV4) -> u64 {
    (u64::from(u32::from(*addr.ip())) << 16) | u64::from(addr.port())
}

fn ring_position(addr: SocketAddrV4) -> u64 {
    xxh3_64(&address_seed(addr).to_le_bytes())
}
