//! Messages about packet flows, and the envelope before a packet that is passed on.

use std::net::SocketAddrV4;

use dillmill_core::{Envelope, FlowRecord, FlowTuple, Member, ProcessId};
use serde::{Deserialize, Serialize};

use crate::FrameError;

/// A message about packet flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// To a balancer: this agent holds the flow.
    Owner {
        /// The flow.
        flow: FlowTuple,
        /// The agent.
        owner: ProcessId,
        /// Where packets reach it.
        data: SocketAddrV4,
    },
    /// To a balancer: no agent holds the flow.
    Missing {
        /// The flow.
        flow: FlowTuple,
        /// Number of the byte that the caller expects next.
        caller_expects: u32,
    },
    /// To a balancer: nobody can take the new flow.
    Refused {
        /// The flow.
        flow: FlowTuple,
        /// The agent to which the balancer gave it.
        placed: ProcessId,
    },
    /// To a directory: flows of the sender's target.
    Records {
        /// Number of the batch.
        number: u32,
        /// The flows.
        records: Vec<FlowRecord>,
    },
    /// To an agent: its batch of records is here.
    RecordsAck {
        /// Number of the batch.
        number: u32,
    },
    /// To an agent: tell of the flows that the sender is to remember from now on.
    AskRecords {
        /// The sender's record: who answers must know it for a directory of later flows, too.
        me: Box<Member>,
    },
    /// To a directory: all records that it is to remember have been sent.
    RecordsComplete {
        /// The sender.
        process: ProcessId,
    },
    /// To an agent: report your load.
    AskLoad,
}

/// Appends `envelope` and `packet` to `buf`.
pub fn seal_envelope(envelope: &Envelope, packet: &[u8], buf: &mut Vec<u8>) {
    // A vector takes whatever is written; the envelope has no type that postcard can't encode.
    if let Ok(head) = postcard::to_extend(envelope, std::mem::take(buf)) {
        *buf = head;
        buf.extend_from_slice(packet);
    }
}

/// Splits `bytes` into an envelope and the packet behind it.
///
/// # Errors
///
/// Refuses bytes that do not start with an envelope.
pub fn open_envelope(bytes: &[u8]) -> Result<(Envelope, &[u8]), FrameError> {
    Ok(postcard::take_from_bytes(bytes)?)
}
