//! Everything that the control task takes in.

use std::net::SocketAddrV4;

use dillmill_core::membership::StoredSize;
use dillmill_core::{EvacuationChange, Evacuations, EventKind, Member, Timestamp};
use dillmill_settings::{Change, RouteTree, Tree};
use dillmill_wire::{Message, Reply, StreamMessage};

use crate::IncomingForward;
use crate::handle::RoleChannels;
use crate::views::ViewSender;

/// Everything that the control task takes in.
pub(crate) enum Input {
    /// A datagram of a process.
    Datagram {
        /// Its sender.
        from: SocketAddrV4,
        /// Its content.
        message: Message,
    },
    /// A question on a TCP connection.
    Stream {
        /// The question.
        message: StreamMessage,
        /// Takes the answer.
        tx: flume::Sender<StreamMessage>,
    },
    /// A request handed over on a TCP connection.
    IncomingForward(Box<IncomingForward>),
    /// Time passes.
    Tick,
    /// A task wants views.
    Subscribe(ViewSender),
    /// A role says where questions go.
    RoleChannels(RoleChannels),
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddrV4,
        /// Content.
        message: Message,
    },
    /// Ask an agent for the flows that this one is to remember.
    AskRecords {
        /// The agent.
        to: SocketAddrV4,
    },
    /// Take the reply to a question that is sent under this number.
    Await {
        /// Number of the question.
        id: u64,
        /// Takes the reply.
        tx: flume::Sender<Reply>,
    },
    /// Changes or a tree, from the platform or a peer.
    Settings {
        /// Where they came from.
        source: String,
        /// Consecutive changes.
        changes: Vec<Change>,
        /// A whole tree.
        tree: Option<Tree>,
    },
    /// A tree of routes, from the platform or a peer.
    Routes {
        /// Where it came from.
        source: String,
        /// The tree.
        routes: RouteTree,
    },
    /// Orders to evacuate data centres, from the platform or a peer.
    Evacuations {
        /// Where they came from.
        source: String,
        /// All that hold.
        evacuations: Evacuations,
    },
    /// Changes of these orders, from the platform.
    EvacuationChanges(Vec<EvacuationChange>),
    /// Change this process's own record.
    UpdateMe(Box<dyn FnOnce(&mut Member) + Send>),
    /// Show the other tasks what has changed.
    Publish,
    /// Size of the fleet, from the platform's store.
    StoredSize(StoredSize),
    /// Join through these control addresses besides the ones of the settings.
    Seeds(Vec<SocketAddrV4>),
    /// A peer did not compare its records with ours.
    SyncFailed,
    /// Member records from a peer.
    Members(Vec<Member>),
    /// An event of another task.
    Event {
        /// When.
        now: Timestamp,
        /// Kind.
        kind: EventKind,
        /// What.
        what: String,
        /// Why.
        cause: String,
    },
    /// Whether the platform answered.
    Platform {
        /// It did.
        reachable: bool,
        /// What it said.
        cause: String,
    },
    /// Take no new work.
    Leave,
    /// Take new work.
    Serve,
    /// The process ends.
    Stopped(flume::Sender<()>),
}
