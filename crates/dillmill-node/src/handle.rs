//! How other tasks reach the control task.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::claims::RingMember;
use dillmill_core::membership::{RandomIndex, StoredSize};
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    EvacuationChange, Evacuations, EventKind, Member, ProcessId, ServiceName, Timestamp, VmName,
};
use dillmill_settings::RouteTree;
use dillmill_wire::{ClusterKey, FlowMessage, ForwardedRequest, Message, PeerRequest, Reply};
use rand::Rng;

use crate::control::Input;
use crate::logging;
use crate::{Clock, Framed, Metrics, NodeError, ViewReceiver};

const ASK_AGAIN: Duration = Duration::from_millis(120);

/// Writes events into the log and the time line.
#[derive(Debug, Clone)]
pub struct Journal {
    pub(crate) tx: flume::Sender<Input>,
    pub(crate) clock: Clock,
    pub(crate) vm: VmName,
}

impl Journal {
    /// Records an event with its cause.
    pub fn record(&self, kind: EventKind, what: impl Into<String>, cause: impl Into<String>) {
        self.at_level(log::Level::Info, kind, what.into(), cause.into());
    }

    /// Records an event that is frequent, so that it is logged on `debug` only.
    pub fn record_debug(&self, kind: EventKind, what: impl Into<String>, cause: impl Into<String>) {
        self.at_level(log::Level::Debug, kind, what.into(), cause.into());
    }

    /// Writes into the log only: for lines that would push all others out of the time line.
    pub fn log_only(&self, kind: EventKind, what: &str, cause: &str) {
        let (now, level) = (self.clock.now(), log::Level::Info);
        if log::log_enabled!(level) {
            let kind = kind.to_string();
            let line = logging::line(now, level, self.vm.as_str(), &kind, what, cause);
            log::log!(level, "{line}");
        }
    }

    fn at_level(&self, level: log::Level, kind: EventKind, what: String, cause: String) {
        let now = self.clock.now();
        if log::log_enabled!(level) {
            let kind = kind.to_string();
            log::log!(
                level,
                "{}",
                logging::line(now, level, self.vm.as_str(), &kind, &what, &cause)
            );
        }
        let _ = self.tx.send(Input::Event { now, kind, what, cause });
    }
}

/// A question of another process that a role answers.
#[derive(Debug)]
pub struct IncomingPeerRequest {
    /// Who asks.
    pub from: SocketAddrV4,
    /// Number to repeat.
    pub id: u64,
    /// The service it is about.
    pub service: ServiceName,
    /// The question.
    pub ask: PeerRequest,
}

/// A request that another agent hands over, with the connection for the answer.
#[derive(Debug)]
pub struct IncomingForward {
    /// The request.
    pub request: ForwardedRequest,
    /// The connection.
    pub framed: Framed,
}

/// What a role takes from the control task besides views.
#[derive(Debug, Clone)]
pub struct RoleChannels {
    /// Questions of other agents.
    pub peer_requests: flume::Sender<IncomingPeerRequest>,
    /// Load reports of siblings.
    pub loads: flume::Sender<(SocketAddrV4, LoadReport)>,
    /// Requests handed over.
    pub handed: flume::Sender<IncomingForward>,
    /// Messages about packet flows, with their senders.
    pub flows: flume::Sender<(SocketAddrV4, FlowMessage)>,
}

impl RoleChannels {
    /// Returns inlets that take nothing, for a role to fill in those it uses.
    #[must_use]
    pub fn closed() -> Self {
        let (peer_requests, _) = flume::bounded(0);
        let (loads, _) = flume::bounded(0);
        let (handed, _) = flume::bounded(0);
        let (flows, _) = flume::bounded(0);
        Self { peer_requests, loads, handed, flows }
    }
}

/// A handle on the control task.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    pub(crate) tx: flume::Sender<Input>,
    /// This run of the process.
    pub process: ProcessId,
    /// When the process started.
    pub started: Timestamp,
    /// The process's clock.
    pub clock: Clock,
    /// The process's metrics.
    pub metrics: Metrics,
    /// The process's log and time line.
    pub journal: Journal,
    /// The installation's key.
    pub key: ClusterKey,
}

impl NodeHandle {
    /// Returns the present view and then newer ones, for one task.
    #[must_use]
    pub fn views(&self) -> ViewReceiver {
        let (tx, views) = crate::views::views();
        let _ = self.tx.send(Input::Subscribe(tx));
        views
    }

    /// Sets where questions, load reports and handed-over requests go.
    pub fn set_role_channels(&self, role_channels: RoleChannels) {
        let _ = self.tx.send(Input::RoleChannels(role_channels));
    }

    /// Sends a datagram to a process; it may be lost.
    pub fn send(&self, to: SocketAddrV4, message: Message) {
        let _ = self.tx.send(Input::Send { to, message });
    }

    /// Asks an agent for the flows that this one is to remember from now on.
    pub fn ask_records(&self, to: SocketAddrV4) {
        let _ = self.tx.send(Input::AskRecords { to });
    }

    /// Answers a question.
    pub fn reply(&self, question: &IncomingPeerRequest, reply: Reply) {
        self.send(question.from, Message::Reply { id: question.id, reply });
    }

    /// Asks an agent, again and again until it answers or `patience` is over.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn ask(
        &self,
        to: RingMember,
        service: &ServiceName,
        ask: PeerRequest,
        patience: Duration,
    ) -> Result<Reply, NodeError> {
        // All tries have one number, so that a late answer to the first still counts.
        let id: u64 = rand::rng().random();
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Await { id, tx });
        let message = Message::PeerRequest { id, to: to.process, service: service.clone(), ask };
        let mut left = patience;
        let mut wait = ASK_AGAIN;
        while !left.is_zero() {
            self.send(to.control, message.clone());
            let this = wait.min(left);
            if let Ok(Ok(reply)) = compio::time::timeout(this, rx.recv_async()).await {
                return Ok(reply);
            }
            left -= this;
            wait *= 2;
        }
        Err(NodeError::new("ask", to.control, "no answer"))
    }

    /// Changes this process's own record and spreads it.
    pub fn update_me(&self, change: impl FnOnce(&mut Member) + Send + 'static) {
        let _ = self.tx.send(Input::UpdateMe(Box::new(change)));
    }

    /// Puts a tree of routes in force if it is newer, and passes it on.
    pub fn put_routes(&self, source: impl Into<String>, routes: RouteTree) {
        let _ = self.tx.send(Input::Routes { source: source.into(), routes });
    }

    /// Puts orders to evacuate data centres in force if they are newer, and passes them on.
    pub fn put_evacuations(&self, source: impl Into<String>, evacuations: Evacuations) {
        let _ = self.tx.send(Input::Evacuations { source: source.into(), evacuations });
    }

    /// Takes in changes of the orders to evacuate that the platform has told.
    pub fn change_evacuations(&self, changes: Vec<EvacuationChange>) {
        let _ = self.tx.send(Input::EvacuationChanges(changes));
    }

    /// Takes in what the platform's store holds of the fleet's size.
    pub fn put_stored_size(&self, stored: StoredSize) {
        let _ = self.tx.send(Input::StoredSize(stored));
    }

    /// Joins through the processes at these control addresses, besides those of the settings.
    pub fn add_seeds(&self, seeds: Vec<SocketAddrV4>) {
        let _ = self.tx.send(Input::Seeds(seeds));
    }

    /// Says whether the platform answered, and what.
    pub fn report_platform(&self, reachable: bool, cause: impl Into<String>) {
        let _ = self.tx.send(Input::Platform { reachable, cause: cause.into() });
    }

    /// Says that this process takes no new work from now on.
    pub fn leave(&self) {
        let _ = self.tx.send(Input::Leave);
    }

    /// Says that this process takes new work from now on.
    pub fn serve(&self) {
        let _ = self.tx.send(Input::Serve);
    }

    /// Says that this process has stopped, and waits until that is sent.
    pub async fn announce_stopped(&self) {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Stopped(tx));
        let _ = rx.recv_async().await;
    }
}

/// Draws a random index below `n`.
#[must_use]
pub fn random_index(n: usize) -> usize {
    if n == 0 { 0 } else { rand::rng().random_range(0..n) }
}

/// Calls `f` with a source of random indices.
pub fn with_random_index<T>(f: impl FnOnce(&mut RandomIndex<'_>) -> T) -> T {
    f(&mut random_index)
}
