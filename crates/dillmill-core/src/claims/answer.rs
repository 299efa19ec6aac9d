//! Messages and results that agents exchange about the claim of a key.

use serde::{Deserialize, Serialize};

use super::ring::{ClaimKey, Epoch, Ring, RingMember};

/// Progress of a request that this agent dispatches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Handed to the target, which has not answered completely yet.
    InFlight,
    /// The complete answer arrived.
    Done,
    /// The target's answer was lost or incomplete, so nobody knows whether the request ran.
    Unknown,
}

/// An authority's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The asking agent may dispatch in this epoch.
    Granted,
    /// The named agent holds the key.
    Held(RingMember),
    /// The authority is in another epoch, whose ring is given.
    OtherEpoch(Ring),
    /// It is not known whether the key was dispatched, as too many agents are lost or the outcome of a
    /// dispatch has not reached this one.
    Unknown,
    /// The answering agent is not the authority, or the asking agent is not in the ring.
    NotAuthority,
}

/// An authority's answer to a claim, or what it needs before it can answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The answer is known.
    Answer(ClaimAnswer),
    /// These agents must be asked first; [`ClaimLedger::consulted`](super::ClaimLedger::consulted) takes
    /// their answers.
    Consult(Vec<RingMember>),
}

/// An agent's answer to an authority that asks about a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Inquiry {
    /// This agent has not dispatched the key, and never will under a grant of an epoch before the given
    /// one.
    Free,
    /// As far as this agent knows, the named agent holds the key.
    Held(RingMember),
    /// This agent has dispatched the key.
    Dispatched(Phase),
    /// The named agent, or one whose records it took over, has certainly dispatched the key.
    DispatchedBy(RingMember),
    /// This agent is in an older epoch and needs the ring before it can answer.
    OldEpoch,
    /// This agent is in a newer epoch, whose ring is given.
    NewerEpoch(Ring),
}

/// The result of one inquiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The agent that was asked.
    pub asked: RingMember,
    /// Its answer, or `None` if it gave none, for example because it was unreachable.
    pub answer: Option<Inquiry>,
}

/// Reason for which a dispatch may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginError {
    /// The grant is not from the epoch in force.
    #[error("the grant is from an earlier epoch")]
    StaleGrant,
    /// This agent has already dispatched the key.
    #[error("the key was already dispatched")]
    Dispatched,
}

/// A record that one agent passes to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The key.
    pub key: ClaimKey,
    /// The agent that holds the key, as far as the sender knows.
    pub holder: RingMember,
    /// The state of the claim.
    pub state: HandoverState,
}

/// State of a claim in a [`HandoverRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverState {
    /// The key was granted to the holder in this epoch.
    Granted(Epoch),
    /// The holder has dispatched the key. The holder is either the sender, which stays in the ring, or
    /// another agent.
    Dispatched,
    /// The sender has dispatched the key and leaves the ring. The receiver answers for the dispatch from
    /// now on.
    DispatchedByLeaver(Phase),
}
