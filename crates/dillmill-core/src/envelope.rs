//! What processes tell each other on a packet that they pass on.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{ProcessId, Revision, ServiceTag};

/// Why a packet is sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketPurpose {
    /// It opens a flow, and the agent is to have its target take it.
    Place {
        /// Agents that have passed it on already.
        passed: Vec<ProcessId>,
    },
    /// It belongs to a flow that the sender takes for the agent's.
    Deliver,
    /// It belongs to a flow whose owner the sender does not know.
    Search(Search),
    /// A directory, or an agent that has passed the flow on, says that the agent owns it.
    Directed {
        /// Where the search goes on if that is wrong.
        search: Search,
        /// How often the packet was directed already.
        times: u8,
    },
}

/// How far the search for the owner of a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// The agent that has the packet, or had it last, in the order of search; none before the first.
    pub place: Option<SearchPlace>,
    /// Agents that have had the packet.
    pub steps: u16,
    /// Each of them could tell that its target does not hold the flow.
    pub sure: bool,
    /// One of the flow's directories, which is told of all flows, was not told of this one.
    pub told: bool,
    /// Whom it visits.
    pub scope: SearchScope,
}

impl Default for Search {
    /// Returns a search that has not begun.
    fn default() -> Self {
        Self { place: None, steps: 0, sure: true, told: false, scope: SearchScope::All }
    }
}

impl Search {
    /// Returns whether a search that has found nobody proves that nobody holds the flow.
    #[must_use]
    pub fn proves(&self) -> bool {
        self.sure && self.told
    }
}

/// Whom a search visits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearchScope {
    /// The flow's directories, then each agent whose target may hold flows that it does not know.
    All,
    /// The directories once more: the agents have just been asked, and one that has taken the flow meanwhile
    /// has registered it.
    Directories,
}

/// A place in the order of search.
///
/// It does not count agents, since two processes may know different ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearchPlace {
    /// This one of the flow's directories.
    Directory(u8),
    /// The agent with this score among those whose targets may hold the flow.
    Holder(u64),
}

/// Stands before a packet between two processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Service that the packet is meant for.
    pub service: ServiceTag,
    /// Revision of the settings by which it was routed.
    pub revision: Revision,
    /// Control address of the balancer that took it from the caller.
    pub origin: SocketAddrV4,
    /// Why it is sent.
    pub purpose: PacketPurpose,
}
