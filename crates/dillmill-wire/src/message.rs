//! Control messages in datagrams.

use dillmill_core::claims::{
    ClaimAnswer, ClaimKey, Epoch, HandedRecord, Inquiry, Ring, RingMember,
};
use dillmill_core::membership::Probe;
use dillmill_core::placement::LoadReport;
use dillmill_core::{Evacuations, ProcessId, Revision, ServiceName};
use dillmill_settings::Change;
use serde::{Deserialize, Serialize};

use crate::FlowMessage;

/// A control message in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Membership.
    Probe(Probe),
    /// An agent's load, to its siblings or to balancers that send it new flows.
    Load(LoadReport),
    /// A message about packet flows.
    Flow(FlowMessage),
    /// All orders to evacuate data centres that hold.
    Evacuations(Evacuations),
    /// Asks for the changes after a revision.
    Pull {
        /// Last revision that the sender has.
        after: Revision,
    },
    /// Consecutive changes of settings.
    Changes(Vec<Change>),
    /// A question between agents of a service.
    PeerRequest {
        /// Number that the reply repeats.
        id: u64,
        /// The process asked: another one at its address must not answer for it.
        to: ProcessId,
        /// The service.
        service: ServiceName,
        /// The question.
        ask: PeerRequest,
    },
    /// The reply.
    Reply {
        /// Number of the question.
        id: u64,
        /// The reply.
        reply: Reply,
    },
}

/// A question between agents of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// May the sender dispatch this key?
    Claim {
        /// The key.
        key: ClaimKey,
        /// Sender's epoch.
        epoch: Epoch,
        /// The sender.
        by: RingMember,
    },
    /// What do you know of this key?
    Inquire {
        /// The key.
        key: ClaimKey,
        /// Sender's epoch.
        epoch: Epoch,
    },
    /// Keep a copy of a grant.
    Copy {
        /// The key.
        key: ClaimKey,
        /// Epoch of the grant.
        epoch: Epoch,
        /// Who holds it.
        holder: RingMember,
    },
    /// The sender did not and will not dispatch this key under its grant.
    Release {
        /// The key.
        key: ClaimKey,
        /// The sender.
        by: ProcessId,
    },
    /// A ring that may be newer than yours; yours is the reply.
    Ring(Ring),
    /// Records of another agent, each with its answer where that is short enough.
    HandOver(Vec<(HandedRecord, Option<CachedResponse>)>),
}

/// An answer kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A reply between agents of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`PeerRequest::Claim`].
    Claim(ClaimAnswer),
    /// To [`PeerRequest::Inquire`].
    Inquiry(Inquiry),
    /// To [`PeerRequest::Copy`]: whether the epoch was the same.
    Copied(bool),
    /// To [`PeerRequest::Ring`]: the ring in force at the asked agent.
    Ring(Ring),
    /// Done.
    Done,
}
