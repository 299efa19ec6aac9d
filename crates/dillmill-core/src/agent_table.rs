//! The agents of packet flows that a process knows, ready for look-ups by packet.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::envelope::SearchPlace;
use crate::{
    Evacuations, FlowCoverage, FlowTuple, Member, MemberStatus, ProcessId, Role, ServiceTag,
    Timestamp, ZoneName,
};

/// Agents that remember the owner of a flow besides the owner itself: two, so that the loss of one loses no
/// answer.
pub const DIRECTORY_REPLICAS: usize = 2;
/// Directories that a search asks: where one process takes a living agent for suspect and another does not, the
/// records lie one place further.
const DIRECTORIES_ASKED: usize = 4;
/// A search visits all agents of services that have no more, and needs no word of directories then; of larger ones it
/// would visit too many.
const FEW_AGENTS: usize = 64;
/// Seed of a flow's place on the ring of directories; any number that no address gives will do.
const RING_SEED: u64 = u64::MAX - 1;
/// Processes that start together do within this time, and clocks of VMs mostly differ by less: one that started this much
/// earlier by its own clock is older.
const STARTED_APART: Duration = Duration::from_secs(2);

/// Bits of a search score that come from the data centre; two with the same ones are visited as one.
const ZONE_BITS: u64 = 0xffff << 48;

/// An agent that is not known to be down and has a target, as far as it has said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentEntry {
    /// This run of the agent.
    pub process: ProcessId,
    /// Where packets reach it.
    pub data: SocketAddrV4,
    /// Where messages reach it.
    pub control: SocketAddrV4,
    /// Its service.
    pub service: ServiceTag,
    /// Whether it is in the data centre of the process that holds the table.
    pub near: bool,
    /// Hash of its data centre's name.
    pub zone_seed: u64,
    /// Its standing.
    pub status: MemberStatus,
    /// Slots of its target.
    pub slots: u16,
    /// Its data centre is to get no new flows.
    pub evacuated: bool,
    /// Whether it knows each flow that its target holds, and so has told the directories of it.
    pub coverage: FlowCoverage,
    /// When it started, by its own clock.
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

    /// A packet sent to an agent that does not answer would end a search.
    fn answers(&self) -> bool {
        self.status < MemberStatus::Suspect
    }
}

/// The agents of one service, and those that matter for its new flows.
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

/// All agents that are not known to be down, but for those without a target: no flow can be there, and their VMs
/// are mostly about to go.
///
/// Look-ups cost a few steps whatever the size of the fleet, but for those that return many agents.
#[derive(Debug, Clone, Default)]
pub struct AgentTable {
    /// In the order of their data addresses.
    agents: Vec<AgentEntry>,
    /// Process numbers in order, with places in `agents`.
    processes: Vec<(ProcessId, usize)>,
    /// Places of the directories on the ring in order, with places in `agents`.
    ring: Vec<(u64, usize)>,
    /// Agents whose targets may hold flows that they do not know.
    partial: Vec<usize>,
    services: HashMap<ServiceTag, ServiceAgents>,
    first_start: Option<Timestamp>,
}

impl PartialEq for AgentTable {
    fn eq(&self, other: &Self) -> bool {
        // All else follows from the agents.
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

    /// Marks the agents of data centres that are to get no new flows.
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
        let mut ring: Vec<_> = each().map(|(i, a)| (ring_place(a.control), i)).collect();
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
        let first_start = self.agents.iter().map(|a| a.started).min();
        Self { processes, ring, partial, services, first_start, agents: self.agents }
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

    /// Returns the agent of this process number.
    #[must_use]
    pub fn get(&self, process: ProcessId) -> Option<&AgentEntry> {
        let at = self.processes.binary_search_by_key(&process, |(process, _)| *process).ok()?;
        Some(&self.agents[self.processes[at].1])
    }

    /// Returns the agent that takes packets at `data`, whichever run of it was known before: its target may
    /// have outlived that run.
    #[must_use]
    pub fn at(&self, data: SocketAddrV4) -> Option<&AgentEntry> {
        let i = self.agents.partition_point(|a| a.data < data);
        self.agents.get(i).filter(|a| a.data == data)
    }

    /// Returns the agents of `service` that take new flows: those that serve, or, where none does, those that do not
    /// answer; none of an evacuated data centre.
    ///
    /// All agents of a small service may stand still at once. They are mostly back before their callers give up, who would use
    /// up their tries within milliseconds on being told that there is nobody.
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

    /// Returns the agents that remember the owner of `flow`: of all services, so that a route that
    /// moves to another service changes nothing.
    pub fn directory(&self, flow: &FlowTuple) -> impl Iterator<Item = &AgentEntry> {
        self.directories(flow).take(DIRECTORY_REPLICAS)
    }

    /// Returns whether `process` is among the agents that remember the owner of `flow`.
    #[must_use]
    pub fn is_directory(&self, flow: &FlowTuple, process: ProcessId) -> bool {
        self.directory(flow).any(|a| a.process == process)
    }

    /// Returns whether the agent at `control` may be asked who owns `flow`, whether it is in the table or not.
    #[must_use]
    pub fn may_be_asked(&self, flow: &FlowTuple, control: SocketAddrV4) -> bool {
        let [from, to] = [flow.score(RING_SEED), ring_place(control)]
            .map(|place| self.ring.partition_point(|(other, _)| *other < place));
        let between = if to >= from { to - from } else { to + self.ring.len() - from };
        between < DIRECTORIES_ASKED
    }

    /// Returns the agents that answer, in their order as directories of `flow`.
    fn directories(&self, flow: &FlowTuple) -> impl Iterator<Item = &AgentEntry> {
        self.ring_from(flow).filter(|a| a.answers())
    }

    fn ring_from(&self, flow: &FlowTuple) -> impl Iterator<Item = &AgentEntry> {
        // By address: the same agent after a restart.
        let first = self.ring.partition_point(|(place, _)| *place < flow.score(RING_SEED));
        let (before, after) = self.ring.split_at(first);
        after.iter().chain(before).map(|(_, i)| &self.agents[*i])
    }

    /// Returns where the search for the owner of `flow` goes on behind `place`, other than to `me`: first
    /// to the directories, then to each agent of `services` whose target may hold it, one data centre after the other.
    ///
    /// An agent that knows all flows of its target has told the directories of them, and is visited only where there
    /// are few agents: that is a second proof, at little cost.
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
            Some(SearchPlace::Holder(score)) => (DIRECTORIES_ASKED, Some(score)),
        };
        let directories =
            self.directories(flow).take(DIRECTORIES_ASKED).enumerate().skip(next_directory);
        let mut directories = directories.filter(|(_, a)| Some(a.process) != me);
        if let Some((i, agent)) = directories.next() {
            return Some((SearchPlace::Directory(u8::try_from(i).unwrap_or(0)), agent));
        }
        self.visited(services)
            .into_iter()
            .filter(|a| a.answers() && Some(a.process) != me)
            .map(|a| (search_score(flow, a), a))
            .filter(|(score, _)| below.is_none_or(|below| *score < below))
            .max_by_key(|(score, _)| *score)
            .map(|(score, agent)| (SearchPlace::Holder(score), agent))
    }

    /// Returns the agents of `services` that a search visits besides directories.
    fn visited(&self, services: &[ServiceTag]) -> Vec<&AgentEntry> {
        let of_services = || services.iter().filter_map(|service| self.services.get(service));
        let agent = |i: &usize| &self.agents[*i];
        if of_services().map(|s| s.all.len()).sum::<usize>() <= FEW_AGENTS {
            return of_services().flat_map(|s| s.all.iter()).map(agent).collect();
        }
        let partial = self.partial.iter().map(agent);
        partial.filter(|a| services.contains(&a.service)).collect()
    }

    /// Returns whether a search for the owner of `flow` may miss it, as agents that do not answer are left out: one
    /// of `services` that may hold flows that no directory knows, or those that remember the owner.
    ///
    /// One that has never heard from a target has no flows that anybody could miss.
    #[must_use]
    pub fn may_miss(&self, flow: &FlowTuple, services: &[ServiceTag]) -> bool {
        let mut remember = self.ring_from(flow).take(DIRECTORY_REPLICAS).peekable();
        let forgotten = remember.peek().is_some() && remember.all(|a| !a.answers());
        forgotten || self.visited(services).iter().any(|a| !a.answers() && a.slots > 0)
    }

    /// Returns whether an agent is older than a process that started at `started`, beyond what clocks differ.
    #[must_use]
    pub fn any_started_before(&self, started: Timestamp) -> bool {
        self.first_start.is_some_and(|first| started.since(first) > STARTED_APART)
    }
}

/// Returns the place of an agent in the search for the owner of `flow`: the data centre's part comes first, as
/// bytes between data centres cost, and each step between them takes time.
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

fn ring_place(addr: SocketAddrV4) -> u64 {
    xxh3_64(&address_seed(addr).to_le_bytes())
}
