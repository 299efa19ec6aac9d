//! What processes tell each other on a packet that they pass on.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{ProcessId, Revision, ServiceTag};

/// Why a packet is sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Errand {
    /// It opens a flow, and the agent is to have its target take it.
    Place {
        /// Agents that have passed it on already.
        passed: Vec<ProcessId>,
    },
    /// It belongs to a flow that the sender takes for the agent's.
    Deliver,
    /// It belongs to a flow whose owner the sender does not know.
    Search {
        /// Place of the agent in the order of search.
        step: u8,
        /// Every agent so far could tell that its target does not hold the flow.
        sure: bool,
    },
    /// A directory, or an agent that has passed the flow on, says that the agent owns it.
    Directed {
        /// Place in the order of search where the search goes on if that is wrong.
        step: u8,
        /// As in [`Errand::Search`].
        sure: bool,
        /// How often the packet was directed already.
        times: u8,
    },
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
    pub errand: Errand,
}
