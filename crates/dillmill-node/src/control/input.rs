//! The messages that the control task handles.

use std::net::SocketAddrV4;

use dillmill_core::membership::StoredSize;
use dillmill_core::{EvacuationChange, Evacuations, EventKind, Member, Timestamp};
use dillmill_settings::{Change, RouteTree, Tree};
use dillmill_wire::{LoadStatus, Message, Reply, StreamMessage};

use crate::IncomingForward;
use crate::handle::RoleChannels;
use crate::views::ViewSender;

/// A message to the control task.
pub(crate) enum Input {
    /// A datagram from another process.
    Datagram {
        /// Sender.
        from: SocketAddrV4,
        /// Content.
        message: Message,
    },
    /// A request on a TCP connection or from the administration page.
    Stream {
        /// The request.
        message: StreamMessage,
        /// Receives the response.
        tx: flume::Sender<StreamMessage>,
    },
    /// A request that another agent has forwarded on a TCP connection.
    IncomingForward(Box<IncomingForward>),
    /// Periodic tick, which drives the membership protocol and time-outs.
    Tick,
    /// Subscribes a task to views; it gets the current one at once.
    Subscribe(ViewSender),
    /// Sets the channels on which the role receives its messages.
    RoleChannels(RoleChannels),
    /// Sends a datagram.
    Send {
        /// Receiver.
        to: SocketAddrV4,
        /// Content.
        message: Message,
    },
    /// Asks an agent for the records of the flows for which this process is the directory.
    AskRecords {
        /// The agent.
        to: SocketAddrV4,
    },
    /// Registers a request to a peer, so that its reply is passed on.
    AwaitReply {
        /// Identifier of the request.
        id: u64,
        /// Receives the reply.
        tx: flume::Sender<Reply>,
    },
    /// Settings changes or a whole tree, from the platform or a peer.
    Settings {
        /// Origin, for the log.
        source: String,
        /// Consecutive changes.
        changes: Vec<Change>,
        /// Whole tree, if the changes are not available.
        tree: Option<Tree>,
    },
    /// A route tree, from the platform or a peer.
    Routes {
        /// Origin, for the log.
        source: String,
        /// Route tree.
        routes: RouteTree,
    },
    /// All orders to evacuate data centres, from the platform or a peer.
    Evacuations {
        /// Origin, for the log.
        source: String,
        /// All orders in force.
        evacuations: Evacuations,
    },
    /// Changes of the evacuation orders, from the platform.
    EvacuationChanges(Vec<EvacuationChange>),
    /// The settings in force were the newest when the store was asked.
    SettingsConfirmed {
        /// Time of the call to the store.
        asked: Timestamp,
    },
    /// Load of this agent's target, which the status of the process contains.
    Load(LoadStatus),
    /// Changes this process's own member record.
    UpdateMe(Box<dyn FnOnce(&mut Member) + Send>),
    /// The timer for the next view has expired; a view is published if something has changed.
    Publish,
    /// Fleet size read from the platform's store.
    StoredSize(StoredSize),
    /// Control addresses to join through, in addition to those in the settings.
    Seeds(Vec<SocketAddrV4>),
    /// Synchronisation with a peer has failed.
    SyncFailed,
    /// Member records learned by synchronisation with a peer.
    Members(Vec<Member>),
    /// An event for the timeline, reported by any task.
    Event {
        /// Time of the event.
        now: Timestamp,
        /// Kind of the event.
        kind: EventKind,
        /// What happened.
        what: String,
        /// Cause of the event.
        cause: String,
    },
    /// Result of a call to the platform.
    Platform {
        /// Whether the platform answered.
        reachable: bool,
        /// Answer or error, for the log.
        cause: String,
    },
    /// Sets the status to leaving: the process accepts no new work.
    Leave,
    /// Sets the status to serving: the process accepts new work.
    Serve,
    /// Sets the status to down and announces it, then confirms on the channel.
    Stopped(flume::Sender<()>),
}
