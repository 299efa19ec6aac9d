//! The membership record that each process publishes about itself.

use std::fmt;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{ProcessId, ServiceName, Timestamp, VmName, Weight, ZoneName};

/// Role of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Forwards callers' packets to agents.
    Balancer,
    /// Runs the requests of one service on its local target.
    Agent(ServiceName),
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Balancer => f.write_str("balancer"),
            Self::Agent(service) => write!(f, "agent of {service}"),
        }
    }
}

/// Status of a process, in ascending order of precedence within one version of its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// Accepts new work.
    Serving,
    /// Finishes its current work and accepts no new work; reported by the process itself.
    Leaving,
    /// Has no target and therefore no flows, and accepts no new work; reported by the process itself.
    Empty,
    /// Did not answer a probe; gets no new work until it answers again.
    Suspect,
    /// Did not answer for too long, or reported that it has stopped.
    Down,
}

impl fmt::Display for MemberStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Empty => "empty",
            Self::Suspect => "suspect",
            Self::Down => "down",
        })
    }
}

/// Whether a process can reach the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreReach {
    /// The process has not called the store lately.
    #[default]
    Unknown,
    /// The store answers.
    Answers,
    /// The store rejects the process's calls or is unreachable.
    Fails,
}

/// Whether an agent knows every flow of its target, having seen all of them begin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FlowCoverage {
    /// The target may have flows from before the agent's start.
    #[default]
    Partial,
    /// The agent knows all flows of its target.
    Complete,
}

/// The record of one process, as distributed to all processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the process, different for each run.
    pub process: ProcessId,
    /// Name of its VM.
    pub vm: VmName,
    /// Its data centre.
    pub zone: ZoneName,
    /// Its role.
    pub role: Role,
    /// Address for packets of flows.
    pub data: SocketAddrV4,
    /// Address for control messages between processes.
    pub control: SocketAddrV4,
    /// When it started, by its own clock.
    pub started: Timestamp,
    /// Share of new flows relative to other agents of the service.
    pub weight: Weight,
    /// Incremented by the process itself whenever it changes its record or refutes a wrong one.
    pub version: u32,
    /// Its status.
    pub status: MemberStatus,
    /// Whether the process can reach the platform's store, as of its last call.
    pub store: StoreReach,
    /// Whether the agent knows all flows of its target; without meaning for a balancer.
    pub coverage: FlowCoverage,
}

impl Member {
    /// Creates the first record of a process, with status [`MemberStatus::Serving`] and a weight of 1.
    #[must_use]
    pub fn new(
        process: ProcessId,
        vm: VmName,
        zone: ZoneName,
        role: Role,
        data: SocketAddrV4,
        control: SocketAddrV4,
    ) -> Self {
        Self {
            process,
            vm,
            zone,
            role,
            data,
            control,
            started: Timestamp::default(),
            weight: Weight(1),
            version: 1,
            status: MemberStatus::Serving,
            store: StoreReach::default(),
            coverage: FlowCoverage::default(),
        }
    }

    /// Returns whether `self` replaces `other`, a record of the same process.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.status) > (other.version, other.status)
    }
}
