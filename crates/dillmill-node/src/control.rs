//! The control task, which owns a process's view of the members, settings and evacuation orders.
//!
//! It handles one `Input` after the other: it runs the membership protocol, distributes settings and
//! orders to peers, responds to requests about the process, and publishes a new [`View`] to the other
//! tasks when something has changed.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use dillmill_core::membership::Outgoing;
use dillmill_core::{
    Evacuations, EventKind, EventLog, Member, MemberStatus, Membership, PauseDetector, Revision,
    Timestamp,
};
use dillmill_settings::{Change, RouteTree, Tree};
use dillmill_wire::stream::describe;
use dillmill_wire::{FlowMessage, LoadStatus, Message, ProcessStatus, Reply};

use crate::handle::{IncomingPeerRequest, NodeHandle, RoleChannels, with_random_index};
use crate::views::ViewSender;
use crate::{SettingsSource, TrafficKind, View};

mod confirmations;
mod evacuations;
mod input;
mod peer_sync;
mod settings;

pub(crate) use input::Input;

/// A longer gap between two ticks means that this process was paused.
const MAX_TICK_GAP: Duration = Duration::from_millis(200);
const TIMELINE_CAPACITY: usize = 4096;
const MAX_DATAGRAM: usize = 8 * 1024;
const REQUEST_LIFETIME: Duration = Duration::from_secs(10);
/// Number of queued inputs that are handled after the first one before a view is published.
const MAX_INPUT_BATCH: usize = 64;
/// Minimum time between two views. While the whole fleet starts, members change with each datagram, and
/// with each view every task goes through all members.
const VIEW_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of member changes of one batch that are logged one by one.
///
/// If a batch has more, new members are only counted, as are the other changes beyond this limit.
const MAX_LOGGED_CHANGES: usize = 8;

/// Versions of the data in the last published view, used to detect changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PublishedState {
    members: u64,
    settings: Revision,
    evacuations: Option<Revision>,
    settled: bool,
    stored_size: u64,
}

/// The state of the control task.
pub(crate) struct Control {
    pub(crate) handle: NodeHandle,
    pub(crate) socket: UdpSocket,
    pub(crate) membership: Membership,
    pub(crate) tree: Tree,
    pub(crate) settings: Option<Arc<dillmill_settings::CompiledTree>>,
    pub(crate) routes: Option<Arc<RouteTree>>,
    /// Data centres that get no new flows; `None` until the store or a peer has reported them.
    pub(crate) evacuations: Option<Arc<Evacuations>>,
    /// Route revision for which a peer was last asked to synchronise, and when.
    pub(crate) routes_requested: Option<(Revision, Timestamp)>,
    /// Latest applied settings changes, oldest first, from which peers are served.
    pub(crate) recent_changes: VecDeque<Change>,
    pub(crate) events: EventLog,
    pub(crate) role_channels: Option<RoleChannels>,
    pub(crate) subscribers: Vec<ViewSender>,
    /// Requests to peers that wait for a reply, by identifier, with the time of the first transmission.
    pub(crate) pending_requests: HashMap<u64, (flume::Sender<Reply>, Timestamp)>,
    /// Pull whose changes have not arrived yet: revision that they follow, peer, and time of the pull.
    pub(crate) pending_pull: Option<(Revision, SocketAddrV4, Timestamp)>,
    pub(crate) platform_reachable: bool,
    pub(crate) published: Option<PublishedState>,
    pub(crate) published_at: Timestamp,
    /// Number of member record changes that have been added to the metrics.
    pub(crate) changes_counted: u64,
    /// Whether a timer for the next view is running.
    pub(crate) publish_scheduled: bool,
    /// Times of the synchronisations with peers that were answered recently.
    pub(crate) recent_syncs: VecDeque<Timestamp>,
    /// Time before which the process is not announced to peers, as its record does not say yet what it does.
    /// The first change of its own record ends the delay.
    pub(crate) announce_after: Timestamp,
    pub(crate) settings_source: SettingsSource,
    pub(crate) settled: bool,
    /// Load of this agent's target, as last reported by the role.
    pub(crate) load: Option<LoadStatus>,
    pub(crate) pauses: PauseDetector,
    /// When this process last ran again after a pause.
    pub(crate) resumed_at: Option<Timestamp>,
}

impl Control {
    pub(crate) fn new(
        handle: NodeHandle,
        socket: UdpSocket,
        me: Member,
        seeds: Vec<SocketAddrV4>,
        settings_source: SettingsSource,
        announce_after: Timestamp,
    ) -> Self {
        Self {
            handle,
            socket,
            membership: Membership::new(me).seeds(seeds),
            tree: Tree::default(),
            settings: None,
            routes: None,
            evacuations: None,
            routes_requested: None,
            recent_changes: VecDeque::new(),
            events: EventLog::new(TIMELINE_CAPACITY),
            role_channels: None,
            subscribers: Vec::new(),
            pending_requests: HashMap::new(),
            pending_pull: None,
            platform_reachable: false,
            published: None,
            published_at: Timestamp::default(),
            changes_counted: 0,
            publish_scheduled: false,
            recent_syncs: VecDeque::new(),
            announce_after,
            settings_source,
            settled: false,
            load: None,
            pauses: PauseDetector::new(MAX_TICK_GAP),
            resumed_at: None,
        }
    }

    pub(crate) async fn run(mut self, rx: flume::Receiver<Input>) {
        while let Ok(input) = rx.recv_async().await {
            self.note_pause(self.handle.clock.now());
            self.handle_input(input, self.handle.clock.now()).await;
            for input in rx.try_iter().take(MAX_INPUT_BATCH) {
                self.handle_input(input, self.handle.clock.now()).await;
            }
            let now = self.handle.clock.now();
            self.record_member_changes();
            self.update_settled(now);
            self.publish(now);
        }
    }

    fn note_pause(&mut self, now: Timestamp) {
        if self.pauses.was_paused(now) {
            self.resumed_at = Some(now);
        }
    }

    fn update_settled(&mut self, now: Timestamp) {
        let before = std::mem::replace(&mut self.settled, self.membership.settled(now));
        if before != self.settled {
            let what =
                if self.settled { "knows all processes" } else { "may not know all processes" };
            let cause =
                format!("{} processes known, as far as can be told", self.membership.fleet());
            self.handle.journal.record(EventKind::Member, what, cause);
        }
    }

    async fn handle_input(&mut self, input: Input, now: Timestamp) {
        match input {
            Input::Datagram { from, message } => self.handle_datagram(from, message, now).await,
            Input::Stream { message, tx } => self.respond_to_stream(message, &tx, now),
            Input::IncomingForward(forward) => {
                if let Some(role_channels) = &self.role_channels {
                    let _ = role_channels.handed.send(*forward);
                }
            }
            Input::Tick => self.tick(now).await,
            Input::Subscribe(tx) => {
                tx.send(Arc::new(self.view()));
                self.subscribers.push(tx);
            }
            Input::RoleChannels(role_channels) => self.role_channels = Some(role_channels),
            Input::Send { to, message } => self.send(to, &message).await,
            Input::AskRecords { to } => {
                let me = Box::new(self.membership.me().clone());
                self.send(to, &Message::Flow(FlowMessage::AskRecords { me })).await;
            }
            Input::AwaitReply { id, tx } => {
                self.pending_requests.insert(id, (tx, now));
            }
            Input::Settings { source, changes, tree } => {
                self.apply_settings(&source, changes, tree).await;
            }
            Input::Routes { source, routes } => self.apply_routes(&source, routes).await,
            Input::Evacuations { source, evacuations } => {
                self.apply_evacuations(&source, evacuations).await;
            }
            Input::EvacuationChanges(changes) => self.apply_evacuation_changes(&changes).await,
            Input::SettingsConfirmed { asked } => self.confirm_settings(asked, now).await,
            Input::Load(load) => self.load = Some(load),
            Input::UpdateMe(change) => {
                self.announce_after = now;
                self.membership.update_me(change);
                self.tick(now).await;
            }
            Input::Publish => self.publish_scheduled = false,
            Input::StoredSize(stored) => self.membership.set_stored_size(stored),
            Input::Seeds(seeds) => {
                self.membership.add_seeds(seeds);
                let joins = self.membership.take_join_messages();
                self.send_all(joins).await;
            }
            Input::SyncFailed => {
                self.routes_requested = None;
                self.membership.retry_sync(now);
            }
            Input::Members(members) => self.membership.learn_from_sync(members, now),
            Input::Event { now, kind, what, cause } => self.events.push(now, kind, what, cause),
            Input::Platform { reachable, cause } => self.set_platform_reachable(reachable, cause),
            Input::Leave => self.set_status(MemberStatus::Leaving, now).await,
            Input::Serve => self.set_status(MemberStatus::Serving, now).await,
            Input::Stopped(tx) => {
                self.set_status(MemberStatus::Down, now).await;
                let _ = tx.send(());
            }
        }
    }

    async fn set_status(&mut self, status: MemberStatus, now: Timestamp) {
        self.membership.update_me(|me| me.status = status);
        let what = format!("{} is {status}", self.membership.me().vm);
        self.handle.journal.record(EventKind::Process, what, "set by the process itself");
        self.tick(now).await;
    }

    fn set_platform_reachable(&mut self, reachable: bool, cause: String) {
        if self.platform_reachable != reachable {
            self.platform_reachable = reachable;
            let what = if reachable { "platform answers" } else { "platform does not answer" };
            self.handle.journal.record(EventKind::Platform, what, cause);
        }
    }

    async fn handle_datagram(&mut self, from: SocketAddrV4, message: Message, now: Timestamp) {
        match message {
            Message::Probe(probe) => {
                self.compare_revisions(from, &probe, now).await;
                let out = with_random_index(|random_index| {
                    self.membership.receive(from, probe, now, random_index)
                });
                self.send_all(out).await;
                self.sync_if_wanted();
            }
            Message::Load(report) => {
                if let Some(role_channels) = &self.role_channels {
                    let _ = role_channels.loads.send((from, report));
                }
            }
            Message::Flow(message) => {
                if let FlowMessage::AskRecords { me } = &message {
                    self.membership.learn(Member::clone(me), now);
                }
                if let Some(role_channels) = &self.role_channels {
                    let _ = role_channels.flows.send((from, message));
                }
            }
            Message::Evacuations(evacuations) => {
                self.apply_evacuations(&format!("peer {from}"), evacuations).await;
            }
            Message::Confirmation(confirmation) => {
                self.apply_confirmation(from, confirmation, now).await;
            }
            Message::Pull { after } => self.send_changes(from, after).await,
            Message::Changes(changes) => {
                self.apply_settings(&format!("peer {from}"), changes, None).await;
            }
            Message::PeerRequest { id, to, service, ask } => {
                if to == self.membership.me().process
                    && let Some(role_channels) = &self.role_channels
                {
                    let _ = role_channels.peer_requests.send(IncomingPeerRequest {
                        from,
                        id,
                        service,
                        ask,
                    });
                }
            }
            Message::Reply { id, reply } => {
                if let Some((tx, _)) = self.pending_requests.remove(&id) {
                    let _ = tx.send(reply);
                }
            }
        }
    }

    async fn tick(&mut self, now: Timestamp) {
        self.update_busy(now);
        if now < self.announce_after {
            return;
        }
        let out = with_random_index(|random_index| self.membership.tick(now, random_index));
        self.send_all(out).await;
        self.pending_requests.retain(|_, (_, at)| now.since(*at) < REQUEST_LIFETIME);
        self.sync_if_wanted();
        self.sync_if_pull_failed(now);
    }

    fn status(&self) -> ProcessStatus {
        ProcessStatus {
            member: self.membership.me().clone(),
            revision: self.revision_in_force(),
            evacuations: self.evacuations.as_deref().cloned().unwrap_or_default(),
            platform_reachable: self.platform_reachable,
            flows: u64::try_from(self.handle.metrics.flows.get()).unwrap_or(0),
            serving: self
                .membership
                .all()
                .filter(|m| m.status == MemberStatus::Serving)
                .count()
                .try_into()
                .unwrap_or(u64::MAX),
            load: self.load.clone(),
        }
    }

    fn record_member_changes(&mut self) {
        let new = self.membership.generation() - self.changes_counted;
        self.changes_counted += new;
        self.handle.metrics.record_changes.inc_by(new);
        let mut changes = self.membership.take_changes();
        if changes.len() > MAX_LOGGED_CHANGES {
            let all = changes.len();
            changes.retain(|change| change.before.is_some());
            let newcomers = all - changes.len();
            changes.truncate(MAX_LOGGED_CHANGES);
            let rest = all - newcomers - changes.len();
            let what = format!("{newcomers} newcomers, {rest} more changes of members");
            self.handle.journal.record(EventKind::Member, what, "more than the log takes at once");
        }
        for change in changes {
            let cause = match change.member.status {
                MemberStatus::Suspect => "no answer to probes",
                MemberStatus::Down => "no answer, replaced, or reported by the process itself",
                MemberStatus::Serving | MemberStatus::Leaving | MemberStatus::Empty => {
                    "reported by the process itself"
                }
            };
            self.handle.journal.record(EventKind::Member, describe(&change), cause);
        }
        self.handle.metrics.members.set(i64::try_from(self.membership.fleet()).unwrap_or(i64::MAX));
    }

    fn view(&self) -> View {
        View {
            me: self.membership.me().clone(),
            members: Arc::new(self.membership.shared()),
            settings: self.settings.clone(),
            routes: self.routes.clone(),
            evacuations: self.evacuations.clone(),
            stored_size: self.membership.stored_size(),
            settled: self.settled,
        }
    }

    /// Publishes a view if something has changed; changes within [`VIEW_INTERVAL`] are published after it.
    fn publish(&mut self, now: Timestamp) {
        let state = PublishedState {
            members: self.membership.generation(),
            settings: self.revision_in_force(),
            evacuations: self.evacuations.as_ref().map(|known| known.revision()),
            settled: self.settled,
            stored_size: self.membership.stored_size().version,
        };
        if self.published == Some(state) {
            return;
        }
        let wait = VIEW_INTERVAL.saturating_sub(now.since(self.published_at));
        if self.published.is_some() && !wait.is_zero() {
            return self.schedule_publish(wait);
        }
        self.published = Some(state);
        self.published_at = now;
        self.handle.metrics.views.inc();
        let view = Arc::new(self.view());
        self.subscribers.retain(|tx| tx.send(view.clone()));
    }

    fn schedule_publish(&mut self, wait: Duration) {
        if std::mem::replace(&mut self.publish_scheduled, true) {
            return;
        }
        let tx = self.handle.tx.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(wait).await;
            // Fails only if the control task has ended.
            let _ = tx.send(Input::Publish);
        })
        .detach();
    }

    async fn send_all(&mut self, out: Vec<Outgoing>) {
        for Outgoing { to, probe } in out {
            self.send(to, &Message::Probe(probe)).await;
        }
    }

    async fn send(&mut self, to: SocketAddrV4, message: &Message) {
        let Ok(bytes) = self.handle.key.seal(message) else { return };
        if bytes.len() > MAX_DATAGRAM {
            let what = format!("datagram of {} bytes to {to} not sent", bytes.len());
            self.handle.journal.record(EventKind::Process, what, "exceeds 8 KiB");
            return;
        }
        self.handle.metrics.control_sent.inc_by(bytes.len() as u64);
        self.handle.metrics.traffic.sent_unqueued(TrafficKind::from(message), bytes.len());
        // A datagram that can't be sent counts as lost: the process that needs it requests it again.
        let _ = self.socket.send_to(bytes, std::net::SocketAddr::V4(to)).await;
    }
}
