//! The control task: owns the view of members and settings, spreads both, answers questions.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use dillmill_core::membership::Outgoing;
use dillmill_core::{
    Evacuations, EventKind, EventLog, Member, MemberStatus, Membership, Revision, Timestamp,
};
use dillmill_settings::{Change, RouteTree, Tree};
use dillmill_wire::stream::describe;
use dillmill_wire::{FlowMessage, Message, ProcessStatus, Reply};

use crate::handle::{IncomingPeerRequest, NodeHandle, RoleChannels, with_random_index};
use crate::views::ViewSender;
use crate::{SettingsSource, TrafficKind, View};

mod evacuations;
mod input;
mod peer_sync;
mod settings;

pub(crate) use input::Input;

const TIMELINE_CAPACITY: usize = 4096;
const MAX_DATAGRAM: usize = 8 * 1024;
const ASK_LIFETIME: Duration = Duration::from_secs(10);
/// Inputs that are taken in before the other tasks are told of their outcome.
const INPUTS_AT_ONCE: usize = 64;
/// Time between two views: when everything starts, members change with each datagram, and each view costs every task
/// a look at all of them.
const VIEW_EVERY: Duration = Duration::from_millis(20);
/// Changes of members that are logged one by one, of those that come together: of newcomers only the number is told if
/// there are more.
const CHANGES_LOGGED: usize = 8;

/// What the last view for the other tasks was made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shown {
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
    /// Data centres that are to get no new flows; `None` until somebody has told.
    pub(crate) evacuations: Option<Arc<Evacuations>>,
    /// Revision of routes that a peer was asked for, and when.
    pub(crate) routes_asked: Option<(Revision, Timestamp)>,
    pub(crate) recent: VecDeque<Change>,
    pub(crate) events: EventLog,
    pub(crate) role_channels: Option<RoleChannels>,
    pub(crate) subscribers: Vec<ViewSender>,
    pub(crate) asks: HashMap<u64, (flume::Sender<Reply>, Timestamp)>,
    pub(crate) pulled: Option<(Revision, SocketAddrV4, Timestamp)>,
    pub(crate) platform_reachable: bool,
    pub(crate) shown: Option<Shown>,
    pub(crate) shown_at: Timestamp,
    /// Changes of records that the metrics hold.
    pub(crate) counted: u64,
    /// A timer for the next view runs.
    pub(crate) shows_later: bool,
    /// When comparisons were answered lately.
    pub(crate) answered: VecDeque<Timestamp>,
    /// Until then the process has not said what it does, and is not made known.
    pub(crate) quiet_until: Timestamp,
    pub(crate) settings_source: SettingsSource,
    pub(crate) settled: bool,
}

impl Control {
    pub(crate) fn new(
        handle: NodeHandle,
        socket: UdpSocket,
        me: Member,
        seeds: Vec<SocketAddrV4>,
        settings_source: SettingsSource,
        quiet_until: Timestamp,
    ) -> Self {
        Self {
            handle,
            socket,
            membership: Membership::new(me).seeds(seeds),
            tree: Tree::default(),
            settings: None,
            routes: None,
            evacuations: None,
            routes_asked: None,
            recent: VecDeque::new(),
            events: EventLog::new(TIMELINE_CAPACITY),
            role_channels: None,
            subscribers: Vec::new(),
            asks: HashMap::new(),
            pulled: None,
            platform_reachable: false,
            shown: None,
            shown_at: Timestamp::default(),
            counted: 0,
            shows_later: false,
            answered: VecDeque::new(),
            quiet_until,
            settings_source,
            settled: false,
        }
    }

    pub(crate) async fn run(mut self, rx: flume::Receiver<Input>) {
        while let Ok(input) = rx.recv_async().await {
            self.take(input, self.handle.clock.now()).await;
            for input in rx.try_iter().take(INPUTS_AT_ONCE) {
                self.take(input, self.handle.clock.now()).await;
            }
            let now = self.handle.clock.now();
            self.record_member_changes();
            self.note_settled(now);
            self.publish(now);
        }
    }

    fn note_settled(&mut self, now: Timestamp) {
        let before = std::mem::replace(&mut self.settled, self.membership.settled(now));
        if before != self.settled {
            let what =
                if self.settled { "knows all processes" } else { "may not know all processes" };
            let cause = format!("{} known, as far as can be told", self.membership.fleet());
            self.handle.journal.record(EventKind::Member, what, cause);
        }
    }

    async fn take(&mut self, input: Input, now: Timestamp) {
        match input {
            Input::Datagram { from, message } => self.datagram(from, message, now).await,
            Input::Stream { message, tx } => self.answer_stream(message, &tx, now),
            Input::IncomingForward(handed) => {
                if let Some(role_channels) = &self.role_channels {
                    let _ = role_channels.handed.send(*handed);
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
            Input::Await { id, tx } => {
                self.asks.insert(id, (tx, now));
            }
            Input::Settings { source, changes, tree } => {
                self.take_settings(&source, changes, tree).await;
            }
            Input::Routes { source, routes } => self.take_routes(&source, routes).await,
            Input::Evacuations { source, evacuations } => {
                self.take_evacuations(&source, evacuations).await;
            }
            Input::EvacuationChanges(changes) => self.take_evacuation_changes(&changes).await,
            Input::UpdateMe(change) => {
                self.quiet_until = now;
                self.membership.update_me(change);
                self.tick(now).await;
            }
            Input::Publish => self.shows_later = false,
            Input::StoredSize(stored) => self.membership.set_stored_size(stored),
            Input::Seeds(seeds) => {
                self.membership.add_seeds(seeds);
                let joins = self.membership.take_join_messages();
                self.send_all(joins).await;
            }
            Input::SyncFailed => {
                self.routes_asked = None;
                self.membership.retry_sync(now);
            }
            Input::Members(members) => self.membership.learn_from_sync(members, now),
            Input::Event { now, kind, what, cause } => self.events.push(now, kind, what, cause),
            Input::Platform { reachable, cause } => self.platform(reachable, cause),
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
        self.handle.journal.record(EventKind::Process, what, "own word");
        self.tick(now).await;
    }

    fn platform(&mut self, reachable: bool, cause: String) {
        if self.platform_reachable != reachable {
            self.platform_reachable = reachable;
            let what = if reachable { "platform answers" } else { "platform does not answer" };
            self.handle.journal.record(EventKind::Platform, what, cause);
        }
    }

    async fn datagram(&mut self, from: SocketAddrV4, message: Message, now: Timestamp) {
        match message {
            Message::Probe(probe) => {
                self.learn_revision(from, &probe, now).await;
                let out = with_random_index(|draw| self.membership.receive(from, probe, now, draw));
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
                self.take_evacuations(&format!("peer {from}"), evacuations).await;
            }
            Message::Pull { after } => self.send_changes(from, after).await,
            Message::Changes(changes) => {
                self.take_settings(&format!("peer {from}"), changes, None).await;
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
                if let Some((tx, _)) = self.asks.remove(&id) {
                    let _ = tx.send(reply);
                }
            }
        }
    }

    async fn tick(&mut self, now: Timestamp) {
        self.note_busy(now);
        if now < self.quiet_until {
            return;
        }
        let out = with_random_index(|draw| self.membership.tick(now, draw));
        self.send_all(out).await;
        self.asks.retain(|_, (_, at)| now.since(*at) < ASK_LIFETIME);
        self.sync_if_wanted();
        self.sync_if_pull_failed(now);
    }

    fn status(&self) -> ProcessStatus {
        ProcessStatus {
            member: self.membership.me().clone(),
            revision: self.in_force(),
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
        }
    }

    fn record_member_changes(&mut self) {
        let new = self.membership.generation() - self.counted;
        self.counted += new;
        self.handle.metrics.record_changes.inc_by(new);
        let mut changes = self.membership.take_changes();
        if changes.len() > CHANGES_LOGGED {
            let all = changes.len();
            changes.retain(|change| change.before.is_some());
            let newcomers = all - changes.len();
            changes.truncate(CHANGES_LOGGED);
            let rest = all - newcomers - changes.len();
            let what = format!("{newcomers} newcomers, {rest} more changes of members");
            self.handle.journal.record(EventKind::Member, what, "more than the log takes at once");
        }
        for change in changes {
            let cause = match change.member.status {
                MemberStatus::Suspect => "no answer to probes",
                MemberStatus::Down => "silent, replaced, or own word",
                MemberStatus::Serving | MemberStatus::Leaving | MemberStatus::Empty => "own word",
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

    /// Shows the other tasks what has changed; what changes right behind it is shown a moment later.
    fn publish(&mut self, now: Timestamp) {
        let state = Shown {
            members: self.membership.generation(),
            settings: self.in_force(),
            evacuations: self.evacuations.as_ref().map(|known| known.revision()),
            settled: self.settled,
            stored_size: self.membership.stored_size().version,
        };
        if self.shown == Some(state) {
            return;
        }
        let wait = VIEW_EVERY.saturating_sub(now.since(self.shown_at));
        if self.shown.is_some() && !wait.is_zero() {
            return self.publish_later(wait);
        }
        self.shown = Some(state);
        self.shown_at = now;
        self.handle.metrics.views.inc();
        let view = Arc::new(self.view());
        self.subscribers.retain(|tx| tx.send(view.clone()));
    }

    fn publish_later(&mut self, wait: Duration) {
        if std::mem::replace(&mut self.shows_later, true) {
            return;
        }
        let tx = self.handle.tx.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(wait).await;
            // Fails only when the process ends.
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
            self.handle.journal.record(EventKind::Process, what, "longer than 8 KiB");
            return;
        }
        self.handle.metrics.control_sent.inc_by(bytes.len() as u64);
        self.handle.metrics.traffic.sent_unqueued(TrafficKind::from(message), bytes.len());
        // A datagram that can't be sent is as one that was lost: whoever needs it asks again.
        let _ = self.socket.send_to(bytes, std::net::SocketAddr::V4(to)).await;
    }
}
