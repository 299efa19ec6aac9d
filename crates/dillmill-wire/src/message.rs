//! Control messages that are sent as datagrams.

use dillmill_core::claims::{
    ClaimAnswer, ClaimKey, Epoch, HandoverRecord, Inquiry, Ring, RingMember,
};
use dillmill_core::membership::Probe;
use dillmill_core::placement::LoadReport;
use dillmill_core::{Confirmation, Evacuations, ProcessId, Revision, ServiceName};
use dillmill_settings::Change;
use serde::{Deserialize, Serialize};

use crate::FlowMessage;

/// A control message in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probe of the membership protocol.
    Probe(Probe),
    /// Load of an agent, sent to the other agents of its service or to balancers that place new
    /// flows on it.
    Load(LoadReport),
    /// Message about packet flows.
    Flow(FlowMessage),
    /// All evacuation orders in force.
    Evacuations(Evacuations),
    /// Asks for the settings changes after a revision.
    Pull {
        /// Last revision that the sender has applied.
        after: Revision,
    },
    /// Consecutive settings changes.
    Changes(Vec<Change>),
    /// Request from one agent of a service to another.
    PeerRequest {
        /// Identifier of the request, which the reply repeats.
        id: u64,
        /// Process that the request is for; another process at the same address must not reply in
        /// its place.
        to: ProcessId,
        /// Service of both agents.
        service: ServiceName,
        /// Content of the request.
        ask: PeerRequest,
    },
    /// Reply to [`Message::PeerRequest`].
    Reply {
        /// Identifier of the request.
        id: u64,
        /// Content of the reply.
        reply: Reply,
    },
    /// States as of when the sender's settings were the newest; earlier versions ignore it.
    Confirmation(Confirmation),
}

/// A request from one agent of a service to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests permission to dispatch the request with this key.
    Claim {
        /// Key of the claim.
        key: ClaimKey,
        /// Epoch of the sender's ring.
        epoch: Epoch,
        /// Sender, which claims the key.
        by: RingMember,
    },
    /// Requests what the receiver knows about this key.
    Inquire {
        /// Key of the claim.
        key: ClaimKey,
        /// Epoch of the sender's ring.
        epoch: Epoch,
    },
    /// Asks the receiver to store a copy of a grant.
    Copy {
        /// Key of the claim.
        key: ClaimKey,
        /// Epoch of the grant.
        epoch: Epoch,
        /// Holder of the grant.
        holder: RingMember,
    },
    /// Releases a grant under which the sender has not dispatched the key and never will.
    Release {
        /// Key of the claim.
        key: ClaimKey,
        /// Sender, which gives up the grant.
        by: ProcessId,
    },
    /// Sends the sender's ring, which may be newer than the receiver's, and requests the receiver's ring.
    Ring(Ring),
    /// Transfers records of another agent, each with its cached response if that is short enough.
    HandOver(Vec<(HandoverRecord, Option<CachedResponse>)>),
}

/// A response that is stored to be replayed to retried requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// A reply from one agent of a service to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`PeerRequest::Claim`].
    Claim(ClaimAnswer),
    /// Reply to [`PeerRequest::Inquire`].
    Inquiry(Inquiry),
    /// Reply to [`PeerRequest::Copy`]; true if both agents are at the same epoch.
    Copied(bool),
    /// Reply to [`PeerRequest::Ring`]: the ring that is in force at the replying agent.
    Ring(Ring),
    /// Confirms a request that needs no other reply.
    Done,
}
