//! Handle through which the other tasks of a process use its control task.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::claims::RingMember;
use dillmill_core::membership::{RandomIndex, StoredSize};
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    EvacuationChange, Evacuations, EventKind, Member, ProcessId, ServiceName, Timestamp, VmName,
};
use dillmill_settings::RouteTree;
use dillmill_wire::{
    ClusterKey, FlowMessage, ForwardedRequest, LoadStatus, Message, PeerRequest, Reply,
};
use rand::Rng;

use crate::control::Input;
use crate::logging;
use crate::{Clock, ConfirmedAt, Framed, Metrics, NodeError, ViewReceiver};

const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// Writes events to the log and to the event timeline.
#[derive(Debug, Clone)]
pub struct Journal {
    pub(crate) tx: flume::Sender<Input>,
    pub(crate) clock: Clock,
    pub(crate) vm: VmName,
}

impl Journal {
    /// Records an event with its cause.
    pub fn record(&self, kind: EventKind, what: impl Into<String>, cause: impl Into<String>) {
        self.record_at_level(log::Level::Info, kind, what.into(), cause.into());
    }

    /// Records a frequent event, which is logged at level `debug` only.
    pub fn record_debug(&self, kind: EventKind, what: impl Into<String>, cause: impl Into<String>) {
        self.record_at_level(log::Level::Debug, kind, what.into(), cause.into());
    }

    /// Writes to the log only; for lines that would push all others out of the event timeline.
    pub fn log_only(&self, kind: EventKind, what: &str, cause: &str) {
        let (now, level) = (self.clock.now(), log::Level::Info);
        if log::log_enabled!(level) {
            let kind = kind.to_string();
            let line = logging::line(now, level, self.vm.as_str(), &kind, what, cause);
            log::log!(level, "{line}");
        }
    }

    fn record_at_level(&self, level: log::Level, kind: EventKind, what: String, cause: String) {
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

/// A request from another agent, which the role replies to.
#[derive(Debug)]
pub struct IncomingPeerRequest {
    /// Address of the requesting process.
    pub from: SocketAddrV4,
    /// Identifier of the request, which the reply repeats.
    pub id: u64,
    /// Service of both agents.
    pub service: ServiceName,
    /// Content of the request.
    pub ask: PeerRequest,
}

/// A request that another agent has forwarded, with the connection for the response.
#[derive(Debug)]
pub struct IncomingForward {
    /// Forwarded request.
    pub request: ForwardedRequest,
    /// Connection to the forwarding agent.
    pub framed: Framed,
}

/// Channels on which a role receives messages from the control task, besides views.
#[derive(Debug, Clone)]
pub struct RoleChannels {
    /// Requests from other agents of the service.
    pub peer_requests: flume::Sender<IncomingPeerRequest>,
    /// Load reports of agents, with their senders.
    pub loads: flume::Sender<(SocketAddrV4, LoadReport)>,
    /// Requests forwarded by other agents.
    pub handed: flume::Sender<IncomingForward>,
    /// Messages about packet flows, with their senders.
    pub flows: flume::Sender<(SocketAddrV4, FlowMessage)>,
}

impl RoleChannels {
    /// Returns closed channels, of which a role replaces those that it uses.
    #[must_use]
    pub fn closed() -> Self {
        let (peer_requests, _) = flume::bounded(0);
        let (loads, _) = flume::bounded(0);
        let (handed, _) = flume::bounded(0);
        let (flows, _) = flume::bounded(0);
        Self { peer_requests, loads, handed, flows }
    }
}

/// Handle to the control task of a process.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    pub(crate) tx: flume::Sender<Input>,
    /// Identifier of this run of the process.
    pub process: ProcessId,
    /// Start time of the process.
    pub started: Timestamp,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Log and event timeline of the process.
    pub journal: Journal,
    /// Key of the installation.
    pub key: ClusterKey,
    /// Time as of which the settings in force were the newest; the start before any confirmation.
    pub settings_confirmed: ConfirmedAt,
}

impl NodeHandle {
    /// Subscribes one task to views: it receives the current one and then newer ones.
    #[must_use]
    pub fn views(&self) -> ViewReceiver {
        let (tx, views) = crate::views::views();
        let _ = self.tx.send(Input::Subscribe(tx));
        views
    }

    /// Sets the channels on which the role receives its messages.
    pub fn set_role_channels(&self, role_channels: RoleChannels) {
        let _ = self.tx.send(Input::RoleChannels(role_channels));
    }

    /// Sends a datagram to a process; it may be lost.
    pub fn send(&self, to: SocketAddrV4, message: Message) {
        let _ = self.tx.send(Input::Send { to, message });
    }

    /// Asks an agent for the records of the flows for which this process is now a directory.
    pub fn ask_records(&self, to: SocketAddrV4) {
        let _ = self.tx.send(Input::AskRecords { to });
    }

    /// Replies to a request from another agent.
    pub fn reply(&self, incoming: &IncomingPeerRequest, reply: Reply) {
        self.send(incoming.from, Message::Reply { id: incoming.id, reply });
    }

    /// Sends a request to an agent and waits for its reply, up to `time_limit`.
    ///
    /// The request is sent again whenever a wait for the reply ends without one; each wait is twice as long
    /// as the one before, starting with 120 ms.
    ///
    /// # Errors
    ///
    /// Fails if no reply comes in time.
    pub async fn ask(
        &self,
        to: RingMember,
        service: &ServiceName,
        ask: PeerRequest,
        time_limit: Duration,
    ) -> Result<Reply, NodeError> {
        // All transmissions have the same identifier, so that a late reply to the first one still counts.
        let id: u64 = rand::rng().random();
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::AwaitReply { id, tx });
        let message = Message::PeerRequest { id, to: to.process, service: service.clone(), ask };
        let mut remaining = time_limit;
        let mut reply_timeout = FIRST_REPLY_TIMEOUT;
        while !remaining.is_zero() {
            self.send(to.control, message.clone());
            let current_timeout = reply_timeout.min(remaining);
            if let Ok(Ok(reply)) = compio::time::timeout(current_timeout, rx.recv_async()).await {
                return Ok(reply);
            }
            remaining -= current_timeout;
            reply_timeout *= 2;
        }
        Err(NodeError::new("ask", to.control, "no answer"))
    }

    /// Changes this process's own member record and announces it to the other processes.
    pub fn update_me(&self, change: impl FnOnce(&mut Member) + Send + 'static) {
        let _ = self.tx.send(Input::UpdateMe(Box::new(change)));
    }

    /// Puts a route tree in force if it is newer, and distributes it to peers.
    pub fn put_routes(&self, source: impl Into<String>, routes: RouteTree) {
        let _ = self.tx.send(Input::Routes { source: source.into(), routes });
    }

    /// Puts orders to evacuate data centres in force if they are newer, and distributes them to peers.
    pub fn put_evacuations(&self, source: impl Into<String>, evacuations: Evacuations) {
        let _ = self.tx.send(Input::Evacuations { source: source.into(), evacuations });
    }

    /// Applies changes of the evacuation orders that the platform has reported.
    pub fn change_evacuations(&self, changes: Vec<EvacuationChange>) {
        let _ = self.tx.send(Input::EvacuationChanges(changes));
    }

    /// Confirms that the settings put in force so far were the newest when the store was asked at `asked`, and
    /// tells peers.
    pub fn confirm_settings(&self, asked: Timestamp) {
        let _ = self.tx.send(Input::SettingsConfirmed { asked });
    }

    /// Sets the load of the agent's target, which the status of the process contains.
    pub fn put_load(&self, load: LoadStatus) {
        let _ = self.tx.send(Input::Load(load));
    }

    /// Sets the fleet size read from the platform's store.
    pub fn put_stored_size(&self, stored: StoredSize) {
        let _ = self.tx.send(Input::StoredSize(stored));
    }

    /// Joins through the processes at these control addresses, in addition to those in the settings.
    pub fn add_seeds(&self, seeds: Vec<SocketAddrV4>) {
        let _ = self.tx.send(Input::Seeds(seeds));
    }

    /// Reports the result of a call to the platform; `cause` is its answer or error.
    pub fn report_platform(&self, reachable: bool, cause: impl Into<String>) {
        let _ = self.tx.send(Input::Platform { reachable, cause: cause.into() });
    }

    /// Announces that this process accepts no new work from now on.
    pub fn leave(&self) {
        let _ = self.tx.send(Input::Leave);
    }

    /// Announces that this process accepts new work from now on.
    pub fn serve(&self) {
        let _ = self.tx.send(Input::Serve);
    }

    /// Announces that this process has stopped, and waits until the announcement is sent.
    pub async fn announce_stopped(&self) {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Stopped(tx));
        let _ = rx.recv_async().await;
    }
}

/// Returns a random index below `n`, or 0 if `n` is 0.
#[must_use]
pub fn random_index(n: usize) -> usize {
    if n == 0 { 0 } else { rand::rng().random_range(0..n) }
}

/// Calls `f` with a generator of random indices.
pub fn with_random_index<T>(f: impl FnOnce(&mut RandomIndex<'_>) -> T) -> T {
    f(&mut random_index)
}
