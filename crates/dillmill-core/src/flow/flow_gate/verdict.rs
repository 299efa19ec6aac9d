//! Results of the gate's decisions on packets, with their reasons.

use std::net::SocketAddrV4;

use crate::ProcessId;
use crate::envelope::Envelope;
use crate::open_queue::WaitTerms;

/// State of the target as its heartbeats report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStanding {
    /// The target has sent no heartbeat yet.
    Unknown,
    /// The target takes new flows.
    Ready,
    /// The target completes its open flows and takes no new ones.
    Leaving,
    /// The target has announced its end.
    Gone,
}

/// Whether a target process exists, by the attempt to connect to it when the agent started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPresence {
    /// The attempt got no answer, or none yet.
    Unknown,
    /// The connection was refused: there is no target, and any later one starts after the agent.
    Absent,
    /// The connection was accepted.
    Present,
}

/// Why a packet is passed to another agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassReason {
    /// The packet is for another service.
    OtherService,
    /// The target is leaving or gone.
    Leaving,
    /// The data centre is evacuated: it gets no new flows.
    Evacuated,
    /// The target has aborted several requests in a row.
    Failing,
    /// The target has just started and can take no more requests now.
    Cold,
    /// The target has no free slot; another target in the same data centre may have one.
    Full,
    /// The target has more work than it can do in time; any other target may have less.
    Crowded,
    /// The packet has waited here, and a sibling serves it sooner.
    Moved,
    /// The target returned the packet.
    Returned,
    /// A directory record names the owner.
    Directed,
    /// The owner is being searched for.
    Search,
}

/// Why a flow is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// No agent can take the flow.
    NoTarget,
    /// The settings have no such route.
    NoRoute,
    /// The targets asked have more work than they can do in time.
    Crowded,
    /// The packet's turn would come after its caller's attempt ends.
    Unservable,
}

/// What the agent has to do with a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver the packet to the target with this mark.
    Deliver {
        /// Zero, or the number of a trial, by which a packet that the target returns is recognised.
        mark: u32,
        /// Balancer to be told that this agent has the flow.
        tell: Option<SocketAddrV4>,
    },
    /// Deliver a copy to the target without a mark, and also carry out another verdict.
    Try {
        /// The other verdict.
        onward: Box<Verdict>,
    },
    /// Pass the packet to another agent.
    Pass {
        /// Data address of that agent.
        to: SocketAddrV4,
        /// Envelope to send with the packet.
        envelope: Envelope,
        /// Reason.
        reason: PassReason,
    },
    /// Queue the opening packet, or the request of an open flow, until the target can take it.
    Wait {
        /// Time limits of the wait, and whether a new or an open flow waits.
        terms: WaitTerms,
        /// Envelope of the packet, as if the balancer had chosen this agent.
        envelope: Envelope,
        /// Balancer to be told that the packet waits here, so that it sends copies here too.
        tell: Option<SocketAddrV4>,
    },
    /// Tell the balancer that no agent holds the flow.
    Missing {
        /// Control address of the balancer.
        origin: SocketAddrV4,
    },
    /// Tell the balancer that no target can take the flow. The balancer resets the flow, unless it
    /// has given it to another agent meanwhile or knows one that this agent does not know.
    Refuse {
        /// Reason.
        reason: RefuseReason,
        /// Control address of the balancer.
        origin: SocketAddrV4,
        /// Agents that have had the packet, in order. To the first one the balancer gave the flow.
        tried: Vec<ProcessId>,
    },
    /// Reset the caller's flow: the run of the target that held it has ended.
    Ended {
        /// Sequence number of the byte that the caller expects next.
        caller_expects: u32,
    },
    /// Drop the packet; the caller sends it again.
    Drop,
}
