//! Control messages about packet flows, and the envelope that precedes a forwarded packet.

use std::net::SocketAddrV4;

use dillmill_core::placement::LoadReport;
use dillmill_core::{Envelope, FlowRecord, FlowTuple, Member, ProcessId, trailing};
use serde::{Deserialize, Serialize};

use crate::FrameError;

/// A control message about packet flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Tells a balancer which agent holds the flow.
    Owner {
        /// The flow.
        flow: FlowTuple,
        /// Agent that holds the flow.
        owner: ProcessId,
        /// Address at which the agent receives packets.
        data: SocketAddrV4,
    },
    /// Tells a balancer that no agent holds the flow.
    Missing {
        /// The flow.
        flow: FlowTuple,
        /// Sequence number of the byte that the caller expects next.
        caller_expects: u32,
    },
    /// Tells a balancer that no agent can accept the new flow.
    Refused {
        /// The flow.
        flow: FlowTuple,
        /// Agent on which the balancer had placed the flow.
        placed: ProcessId,
        /// What earlier versions do not send.
        #[serde(deserialize_with = "trailing::deserialize")]
        detail: RefusalDetail,
    },
    /// Sends a directory a batch of records of the flows of the sender's target.
    Records {
        /// Number of the batch.
        number: u32,
        /// Records of the flows.
        records: Vec<FlowRecord>,
    },
    /// Acknowledges a batch of records to the agent that sent it.
    RecordsAck {
        /// Number of the acknowledged batch.
        number: u32,
    },
    /// Asks an agent for the records of the flows for which the sender is now a directory.
    AskRecords {
        /// The sender's member record, as the agent that replies must also know the sender as a
        /// directory of later flows.
        me: Box<Member>,
    },
    /// Tells a directory that all records that it must hold have been sent.
    RecordsComplete {
        /// Sender of the records.
        process: ProcessId,
    },
    /// Asks an agent to report its load.
    AskLoad,
    /// Tells a sibling the sender's load. Sent only to agents that have sent this message or, as an
    /// agent, [`FlowMessage::AskLoad`]; earlier versions do neither.
    LoadExchange {
        /// Whether the receiver is to reply with its own load.
        reply: bool,
        /// Load of the sender; last, as later versions may add fields to it.
        report: LoadReport,
    },
}

/// The part of a refusal that earlier versions do not send.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalDetail {
    /// Agents that have had the opening packet, in order.
    pub tried: Vec<ProcessId>,
    /// The opening packet, if the sender knows no agent that takes new flows of the service. The balancer may
    /// know one.
    pub packet: Option<Vec<u8>>,
}

/// Appends `envelope` and `packet` to `buf`.
pub fn seal_envelope(envelope: &Envelope, packet: &[u8], buf: &mut Vec<u8>) {
    // Encoding can't fail: a vector accepts any length, and postcard can encode every type in an envelope.
    if let Ok(head) = postcard::to_extend(envelope, std::mem::take(buf)) {
        *buf = head;
        buf.extend_from_slice(packet);
    }
}

/// Splits `bytes` into an envelope and the packet after it.
///
/// # Errors
///
/// Returns an error if `bytes` does not start with an envelope.
pub fn open_envelope(bytes: &[u8]) -> Result<(Envelope, &[u8]), FrameError> {
    Ok(postcard::take_from_bytes(bytes)?)
}
