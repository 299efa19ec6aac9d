//! Messages on TCP connections between processes, each behind its length in 4 bytes.

use dillmill_core::membership::{MemberChange, RecordBuckets};
use dillmill_core::{Evacuations, Event, GroupName, Member, ProcessId, Revision, ServiceName};
use dillmill_settings::{Change, RouteTree, Tree};
use serde::{Deserialize, Serialize};

/// Longest message on a stream, in bytes: a tree of the target size with room to grow.
pub const MAX_STREAM_MESSAGE: usize = 16 * 1024 * 1024;

/// A request that an agent hands to a sibling.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The process meant: another one at its address must not run it.
    pub to: ProcessId,
    /// The service.
    pub service: ServiceName,
    /// Whose request it is.
    pub group: GroupName,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Agents that have handed it on, to bound the hops.
    pub hops: u8,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What a process says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Its own record.
    pub member: Member,
    /// Settings revision in force.
    pub revision: Revision,
    /// Data centres that get no new flows.
    pub evacuations: Evacuations,
    /// Whether the platform answered last time.
    pub platform_reachable: bool,
    /// Open flows or connections.
    pub flows: u64,
    /// Processes that it takes for serving.
    pub serving: u64,
}

/// A message on a TCP connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Asks for member records that differ, and for settings after a revision.
    Sync {
        /// Sender's hashes of its buckets of records.
        buckets: RecordBuckets,
        /// Sender's settings revision.
        after: Revision,
        /// Sender's own record.
        me: Member,
    },
    /// Answers [`StreamMessage::Sync`].
    SyncReply {
        /// Records of buckets that differ.
        members: Vec<Member>,
        /// Changes that follow the asker's revision.
        changes: Vec<Change>,
        /// A whole tree, where the changes are not at hand.
        tree: Option<Tree>,
        /// A newer tree of routes.
        routes: Option<RouteTree>,
        /// Orders to evacuate data centres, if any are known.
        evacuations: Option<Evacuations>,
    },
    /// Asks for [`StreamMessage::Status`].
    GetStatus,
    /// Answers with the process's status.
    Status(Box<ProcessStatus>),
    /// Asks for [`StreamMessage::Members`].
    GetMembers,
    /// Answers with all records.
    Members(Vec<Member>),
    /// Asks for [`StreamMessage::Events`].
    GetEvents,
    /// Answers with the time line of the process.
    Events {
        /// The process.
        process: ProcessId,
        /// Its events, oldest first.
        events: Vec<Event>,
    },
    /// Hands a request over.
    Request(Box<ForwardedRequest>),
    /// Start of an answer.
    ResponseHead {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// Part of an answer's body.
    ResponseData(Vec<u8>),
    /// The answer is whole.
    ResponseEnd,
    /// The answer will not be whole.
    ResponseAborted,
}

/// Describes a change of a member's standing for the time line.
#[must_use]
pub fn describe(change: &MemberChange) -> String {
    let member = &change.member;
    let before = change.before.map_or("unknown".to_owned(), |status| status.to_string());
    format!("{} {} ({}) {before} -> {}", member.role, member.vm, member.process, member.status)
}
