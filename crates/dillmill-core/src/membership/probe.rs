//! Messages of the probing protocol.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StoredSize;
use crate::{Member, MemberStatus, ProcessId, Revision};

/// A summary of a process's state, exchanged to detect differences.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender. If it is not the member known at this address, that member has ended.
    pub process: ProcessId,
    /// Settings revision in force.
    pub revision: Revision,
    /// Revision of the evacuation orders that the sender knows.
    pub evacuations: Revision,
    /// Newest fleet size from the platform's store that the sender knows.
    pub stored_size: StoredSize,
    /// Number of processes that the sender knows and that are not down.
    pub known: u32,
    /// Hash over all member records.
    pub members: u64,
}

/// A message of the probing protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Requests a [`Probe::Ack`].
    Ping {
        /// Sequence number assigned by the sender.
        seq: u32,
        /// Sender's digest.
        digest: Digest,
        /// The sender's record of the receiver, so that the receiver can refute a wrong one.
        receiver_record: Option<Member>,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping.
        seq: u32,
        /// Sender's digest.
        digest: Digest,
    },
    /// Requests that the receiver ping `subject` and relay the answer.
    PingReq {
        /// Sequence number assigned by the sender.
        seq: u32,
        /// Control address to ping.
        subject: SocketAddrV4,
    },
    /// Records that are new to the sender, to be gossiped further.
    Records(Vec<Member>),
    /// Some of the sender's records, sent to a newcomer.
    Sample(Vec<Member>),
}

/// A message and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Control address of the receiver.
    pub to: SocketAddrV4,
    /// The message.
    pub probe: Probe,
}

/// A change of a member's status, for the event log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The current record.
    pub member: Arc<Member>,
    /// The previous status, or `None` for a new member.
    pub before: Option<MemberStatus>,
}

/// A source of randomness that returns an index below its argument.
pub type RandomIndex<'a> = dyn FnMut(usize) -> usize + 'a;
