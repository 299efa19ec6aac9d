//! The agents of packet flows that a process knows, ready for look-ups by packet.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

use crate::envelope::SearchPlace;
use crate::{Evacuations, FlowTuple, Member, MemberStatus, ProcessId, Role, ServiceTag, ZoneName};

/// Agents that remember the owner of a flow besides the owner itself.
///
/// Two, so that the loss of one loses no answer; each copy costs 25 bytes a new flow.
pub const DIRECTORY_COPIES: usize = 2;

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
}

/// All agents that are not known to be down, but for those without a target: no flow can be there, and their VMs
/// are mostly about to go.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentTable {
    agents: Vec<AgentEntry>,
}

impl AgentTable {
    /// Creates the table of a process in data centre `zone`.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = &'a Member>, zone: &ZoneName) -> Self {
        let agents = members
            .into_iter()
            .filter(|m| !matches!(m.status, MemberStatus::Empty | MemberStatus::Down))
            .filter_map(|m| match &m.role {
                Role::Agent(service) => Some(AgentEntry {
                    process: m.process,
                    data: m.data,
                    control: m.control,
                    service: service.into(),
                    near: m.zone == *zone,
                    zone_seed: zone_seed(&m.zone),
                    status: m.status,
                    slots: m.weight.0,
                    evacuated: false,
                }),
                Role::Balancer => None,
            })
            .collect();
        Self { agents }
    }

    /// Marks the agents of data centres that are to get no new flows.
    #[must_use]
    pub fn evacuating(mut self, evacuations: &Evacuations) -> Self {
        let seeds: Vec<u64> = evacuations.zones().map(zone_seed).collect();
        for agent in &mut self.agents {
            agent.evacuated = seeds.contains(&agent.zone_seed);
        }
        self
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = &AgentEntry> {
        self.agents.iter()
    }

    /// Returns the agent of this process number.
    #[must_use]
    pub fn get(&self, process: ProcessId) -> Option<&AgentEntry> {
        self.agents.iter().find(|a| a.process == process)
    }

    /// Returns the agent that takes packets at `data`, whichever run of it was known before: its target may
    /// have outlived that run.
    #[must_use]
    pub fn at(&self, data: SocketAddrV4) -> Option<&AgentEntry> {
        self.agents.iter().find(|a| a.data == data)
    }

    /// Returns the agents of `service` that take new flows: those that serve, or, where none does, those that do not
    /// answer; none of an evacuated data centre.
    ///
    /// All agents of a small service may stand still at once. They are mostly back before their callers give up, who would use
    /// up three tries within milliseconds on being told that there is nobody: 288 and 344 new flows of a day on which three
    /// agents stood still for 3 s were ended so.
    pub fn taking_new(&self, service: ServiceTag) -> impl Iterator<Item = &AgentEntry> {
        let with = move |status| {
            let open = self.agents.iter().filter(move |a| a.service == service && !a.evacuated);
            open.filter(move |a| a.status == status)
        };
        let none_serves = with(MemberStatus::Serving).next().is_none();
        with(if none_serves { MemberStatus::Suspect } else { MemberStatus::Serving })
    }

    /// Returns whether agents of `service` take no new flows only because their data centres are evacuated.
    #[must_use]
    pub fn all_evacuated(&self, service: ServiceTag) -> bool {
        let mut serving = self
            .agents
            .iter()
            .filter(|a| a.service == service && a.status == MemberStatus::Serving)
            .peekable();
        serving.peek().is_some() && serving.all(|a| a.evacuated)
    }

    /// Returns the agents that remember the owner of `flow`: of all services, so that a route that
    /// moves to another service changes nothing.
    #[must_use]
    pub fn directory(&self, flow: &FlowTuple) -> Vec<&AgentEntry> {
        let mut best: Vec<(u64, &AgentEntry)> = Vec::with_capacity(DIRECTORY_COPIES + 1);
        for agent in self.agents.iter().filter(|a| a.status < MemberStatus::Suspect) {
            // By address: the same agent after a restart.
            let score = flow.score(address_seed(agent.control));
            let at = best.partition_point(|(other, _)| *other > score);
            best.insert(at, (score, agent));
            best.truncate(DIRECTORY_COPIES);
        }
        best.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Returns where the search for the owner of `flow` goes on behind `place`, other than to `me`: first
    /// to the directories, then to each agent of `services`, whose target may hold it, one data centre after
    /// the other.
    ///
    /// Agents that are suspect are left out: a packet sent there would end the search.
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
            Some(SearchPlace::Holder(score)) => (DIRECTORY_COPIES, Some(score)),
        };
        let directories = self.directory(flow).into_iter().enumerate().skip(next_directory);
        let mut directories = directories.filter(|(_, a)| Some(a.process) != me);
        if let Some((i, agent)) = directories.next() {
            return Some((SearchPlace::Directory(u8::try_from(i).unwrap_or(0)), agent));
        }
        self.agents
            .iter()
            .filter(|a| a.status < MemberStatus::Suspect && services.contains(&a.service))
            .filter(|a| Some(a.process) != me)
            .map(|a| (search_score(flow, a), a))
            .filter(|(score, _)| below.is_none_or(|below| *score < below))
            .max_by_key(|(score, _)| *score)
            .map(|(score, agent)| (SearchPlace::Holder(score), agent))
    }

    /// Returns whether an agent of `services` is suspect, so that a search may have missed it.
    ///
    /// One that has never heard from a target has no flows that anybody could miss.
    #[must_use]
    pub fn any_suspect(&self, services: &[ServiceTag]) -> bool {
        self.agents
            .iter()
            .filter(|a| a.status == MemberStatus::Suspect && a.slots > 0)
            .any(|a| services.contains(&a.service))
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
