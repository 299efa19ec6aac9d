//! What agents ask and tell each other about a key.

use serde::{Deserialize, Serialize};

use super::ring::{ClaimKey, Epoch, Ring, RingMember};

/// How far this agent has got with a request that it dispatches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Handed to the target, no whole answer yet.
    InFlight,
    /// The whole answer came.
    Done,
    /// The target's answer did not come, or only in part: nobody knows whether it ran.
    Unknown,
}

/// Answer of an authority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The asking agent may dispatch in this epoch.
    Granted,
    /// The named agent holds the key.
    Held(RingMember),
    /// The authority is in another epoch; its ring is given.
    OtherEpoch(Ring),
    /// Too many agents are lost to tell whether the key was dispatched.
    Unknown,
    /// The answering agent is not the authority, or the asking one not in the ring.
    NotAuthority,
}

/// What an authority has to do before it can answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The answer is known.
    Answer(ClaimAnswer),
    /// Ask these first, then call [`ClaimLedger::consulted`](super::ClaimLedger::consulted).
    Consult(Vec<RingMember>),
}

/// Answer of an agent that an authority asks about a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Inquiry {
    /// Not dispatched here and, in an earlier epoch than the given one, never to be.
    Free,
    /// The named agent holds the key, to this agent's knowledge.
    Held(RingMember),
    /// This agent has dispatched it.
    Dispatched(Phase),
    /// The named agent, or one that it stands for, has dispatched it for certain.
    DispatchedBy(RingMember),
    /// This agent is in an older epoch and needs the ring first.
    OldEpoch,
    /// This agent is in a newer epoch; its ring is given.
    NewerEpoch(Ring),
}

/// What came of one inquiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The agent asked.
    pub asked: RingMember,
    /// Its answer, or `None` if it could not be reached.
    pub answer: Option<Inquiry>,
}

/// Why a dispatch may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginError {
    /// The grant is of an older epoch than the one adopted.
    #[error("the grant is of an earlier epoch")]
    StaleGrant,
    /// The key was dispatched here before.
    #[error("the key was dispatched before")]
    Dispatched,
}

/// A record that a leaving agent passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The key.
    pub key: ClaimKey,
    /// The agent that held it.
    pub holder: RingMember,
    /// What is passed on.
    pub state: HandoverState,
}

/// What a leaving agent knows of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverState {
    /// The holder was granted it in this epoch.
    Granted(Epoch),
    /// The holder, another agent or the one that passes this on and stays, has dispatched it.
    Dispatched,
    /// The agent that passes this on and leaves has dispatched it; whoever takes it over answers
    /// for it from now on.
    DispatchedByLeaver(Phase),
}
