//! Messages on TCP connections between processes, each preceded by its length in 4 bytes.

use dillmill_core::membership::{MemberChange, RecordBuckets};
use dillmill_core::{
    Evacuations, Event, GroupName, Member, ProcessId, Revision, ServiceName, trailing,
};
use dillmill_settings::{Change, OverloadSettings, RouteTree, Tree};
use serde::{Deserialize, Serialize};

use crate::LoadStatus;

/// Maximum length of a message on a stream, in bytes; it fits a tree of the target size with room to grow.
pub const MAX_STREAM_MESSAGE: usize = 16 * 1024 * 1024;

/// A request that an agent forwards to another agent of the same service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Process that the request is for; another process at the same address must not run it.
    pub to: ProcessId,
    /// Service of the request.
    pub service: ServiceName,
    /// Group of the caller.
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
    /// Number of agents that have forwarded the request, which limits the number of hops.
    pub hops: u8,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Status that a process reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Member record of the process.
    pub member: Member,
    /// Settings revision in force.
    pub revision: Revision,
    /// Data centres that get no new flows.
    pub evacuations: Evacuations,
    /// Whether the platform responded to the last call.
    pub platform_reachable: bool,
    /// Number of open flows or connections.
    pub flows: u64,
    /// Number of processes that the process considers to be serving.
    pub serving: u64,
    /// Load of the target, if the process is an agent and knows it. Earlier versions do not send it.
    #[serde(deserialize_with = "trailing::deserialize")]
    pub load: Option<LoadStatus>,
}

/// A message on a TCP connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Requests the member records that differ and the settings changes after a revision.
    Sync {
        /// Hashes of the sender's buckets of member records.
        buckets: RecordBuckets,
        /// Settings revision of the sender.
        after: Revision,
        /// Member record of the sender.
        me: Member,
    },
    /// Reply to [`StreamMessage::Sync`].
    SyncReply {
        /// Member records of the buckets that differ.
        members: Vec<Member>,
        /// Changes that follow the requester's revision.
        changes: Vec<Change>,
        /// Whole tree, if the changes are not available.
        tree: Option<Tree>,
        /// Route tree, if it is newer than the requester's.
        routes: Option<RouteTree>,
        /// Evacuation orders, if any are known.
        evacuations: Option<Evacuations>,
        /// Priorities and settings for overload of the route tree. Earlier versions do not send them.
        #[serde(deserialize_with = "trailing::deserialize")]
        overload: OverloadSettings,
    },
    /// Requests [`StreamMessage::Status`].
    GetStatus,
    /// Status of the process; reply to [`StreamMessage::GetStatus`].
    Status(Box<ProcessStatus>),
    /// Requests [`StreamMessage::Members`].
    GetMembers,
    /// All member records; reply to [`StreamMessage::GetMembers`].
    Members(Vec<Member>),
    /// Requests [`StreamMessage::Events`].
    GetEvents,
    /// Event timeline of a process; reply to [`StreamMessage::GetEvents`].
    Events {
        /// Process that recorded the events.
        process: ProcessId,
        /// Events, oldest first.
        events: Vec<Event>,
    },
    /// Forwards a request to another agent.
    Request(Box<ForwardedRequest>),
    /// Start of a response.
    ResponseHead {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// Part of a response's body.
    ResponseData(Vec<u8>),
    /// End of a complete response.
    ResponseEnd,
    /// The response was aborted and remains incomplete.
    ResponseAborted,
}

/// Describes a change of a member's status for the event timeline.
#[must_use]
pub fn describe(change: &MemberChange) -> String {
    let member = &change.member;
    let before = change.before.map_or("unknown".to_owned(), |status| status.to_string());
    format!("{} {} ({}) {before} -> {}", member.role, member.vm, member.process, member.status)
}
