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
    },
    /// A directory says that the agent owns the flow.
    Directed {
        /// Place of the directory in the order of search, where the search goes on if it is wrong.
        step: u8,
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
