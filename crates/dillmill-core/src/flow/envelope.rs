//! Header that processes put before a packet that they pass on.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{ProcessId, Revision, ServiceTag};

/// Why a packet is sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketPurpose {
    /// The packet opens a flow, and the agent is to give it to its target.
    Place {
        /// Agents that have already passed the packet on.
        passed: Vec<ProcessId>,
    },
    /// The packet belongs to a flow of which the sender assumes that the agent owns it.
    Deliver,
    /// The packet belongs to a flow whose owner the sender does not know.
    Search(Search),
    /// A directory, or an agent that has passed the flow on, has named the agent as the owner.
    Directed {
        /// State from which the search goes on if the agent is not the owner.
        search: Search,
        /// Number of times that the packet has been directed so far.
        times: u8,
    },
    /// The packet opens a flow and has waited at another agent, which has moved it to this one as it
    /// is served sooner here.
    Moved {
        /// Agents that have moved the packet; the last one is the sender.
        passed: Vec<ProcessId>,
        /// Time since the start of the caller's attempt, in milliseconds.
        waited_ms: u32,
    },
}

impl PacketPurpose {
    /// Returns the agents that have passed on or moved an opening packet; `None` for a packet of an
    /// open flow.
    #[must_use]
    pub fn passed(&self) -> Option<&[ProcessId]> {
        match self {
            Self::Place { passed } | Self::Moved { passed, .. } => Some(passed),
            Self::Deliver | Self::Search(_) | Self::Directed { .. } => None,
        }
    }
}

/// State of the search for the owner of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// Place in the search order of the agent that has the packet, or had it last; `None` before
    /// the first.
    pub place: Option<SearchPlace>,
    /// Number of agents that have had the packet.
    pub steps: u16,
    /// Whether each of these agents could tell that its target does not hold the flow.
    pub sure: bool,
    /// Whether one of the flow's directories that is told of all flows has no record of this one.
    pub told: bool,
    /// Which agents the search visits.
    pub scope: SearchScope,
}

impl Default for Search {
    /// Returns a search that has not begun.
    fn default() -> Self {
        Self { place: None, steps: 0, sure: true, told: false, scope: SearchScope::All }
    }
}

impl Search {
    /// Returns whether a search that has found no owner proves that no agent holds the flow.
    #[must_use]
    pub fn proves(&self) -> bool {
        self.sure && self.told
    }
}

/// Which agents a search visits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearchScope {
    /// The flow's directories, then each agent whose target may hold flows that the agent does not
    /// know.
    All,
    /// Only the flow's directories, again: the other agents have just been asked, and one that has
    /// taken the flow meanwhile has registered it.
    Directories,
}

/// A place in the search order.
///
/// It is not an index into the agents, since two processes may know different ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearchPlace {
    /// The flow's directory with this index.
    Directory(u8),
    /// The agent with this search score among those whose targets may hold the flow.
    Holder(u64),
}

/// Header of a packet that one process sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Service for which the packet is meant.
    pub service: ServiceTag,
    /// Revision of the settings by which the packet was routed.
    pub revision: Revision,
    /// Control address of the balancer that received the packet from the caller.
    pub origin: SocketAddrV4,
    /// Why the packet is sent.
    pub purpose: PacketPurpose,
}
