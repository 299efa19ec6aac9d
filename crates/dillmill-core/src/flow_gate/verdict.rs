//! What an agent may do with a packet, and why.

use std::net::SocketAddrV4;

use crate::ProcessId;
use crate::envelope::Envelope;
use crate::open_queue::WaitTerms;

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
    /// The data centre is to get no new flows.
    Evacuated,
    /// The target has broken off several requests in a row.
    Failing,
    /// The target has only just started and carries no more now.
    Cold,
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
    /// Let the opening packet, or the request of an open flow, wait until the target can take it.
    Wait {
        /// Until when, and for what.
        terms: WaitTerms,
        /// What came with it, as if the balancer had chosen this agent.
        envelope: Envelope,
        /// The balancer to tell that the packet waits here, so that copies of it come here too.
        tell: Option<SocketAddrV4>,
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
    /// Tell the caller that its flow is over: the run of the target that held it has ended.
    Ended {
        /// Number of the byte that the caller expects next.
        caller_expects: u32,
    },
    /// Do nothing; the caller sends again.
    Drop,
}
