//! Messages of the probing protocol.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StoredSize;
use crate::{Member, MemberStatus, ProcessId, Revision};

/// What two processes compare.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender: another process at the address of a member proves that the member has ended.
    pub process: ProcessId,
    /// Settings revision in force.
    pub revision: Revision,
    /// Revision of the evacuation orders that the sender knows.
    pub evacuations: Revision,
    /// Size of the fleet that the platform's store holds, as far as the sender knows.
    pub stored_size: StoredSize,
    /// Processes that the sender knows, other than those that are down.
    pub known: u32,
    /// Hash over all member records.
    pub members: u64,
}

/// A message of the probing protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Asks for an [`Probe::Ack`].
    Ping {
        /// Number of the probe at its sender.
        seq: u32,
        /// Sender's digest.
        digest: Digest,
        /// Sender's record of the receiver, so that it can refute a wrong one.
        receiver_record: Option<Member>,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        seq: u32,
        /// Sender's digest.
        digest: Digest,
    },
    /// Asks the receiver to ping `subject` and pass the answer on.
    PingReq {
        /// Number of the probe at its sender.
        seq: u32,
        /// Control address to ping.
        subject: SocketAddrV4,
    },
    /// Records that are new to the sender.
    Records(Vec<Member>),
    /// To a newcomer: some of the records that the sender holds.
    Sample(Vec<Member>),
}

/// A message and where to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Control address.
    pub to: SocketAddrV4,
    /// The message.
    pub probe: Probe,
}

/// A change of a member's standing, for the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The record now held.
    pub member: Arc<Member>,
    /// The standing before, `None` for a new member.
    pub before: Option<MemberStatus>,
}

/// Draws an index below its argument.
pub type RandomIndex<'a> = dyn FnMut(usize) -> usize + 'a;
