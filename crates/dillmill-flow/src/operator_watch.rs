//! Reads the operators' entries in the store: the configuration, and the orders to evacuate data centres.
//!
//! A few processes watch the entries and pass each new revision on; the others read them only if no peer
//! has sent them any. A watch alone does not show whether the store still answers, so only processes
//! whose leases are being renewed are given this duty.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::membership::{FleetSize, StoredSize};
use dillmill_core::{EventKind, StartDelay, StoreReach, Timestamp, store_selection};
use dillmill_node::{Node, NodeHandle, View, ViewReceiver};
use dillmill_platform::{
    Freshness, PlatformError, ProcessSettings, Store, Version, WatchOutcome, operator_key,
};
use error_stack::Report;
use futures_util::future::{Either, select};
use rand::Rng;

use crate::operator_check::{KnownVersion, OperatorCheck};
use crate::operator_entries::OperatorEntries;
use crate::session::FLEET_SIZE_KEY;
use crate::unreadable;

/// Longest duration of one watch call: calls are paid for, also those that end without changes. A watch
/// whose connection is lost silently is given up sooner: if the lease is not renewed then either, or if a
/// check finds a change that the watch has not reported.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Pause between two calls to the store: changes that come faster are read together.
const COALESCE_DELAY: Duration = Duration::from_millis(100);
/// How long a starting process waits for its peers' routes before it reads the store. When all processes
/// start at once, the few seeds through which the others join read the store, and pass the routes on
/// before most others would read it.
const PEER_WAIT: StartDelay = StartDelay {
    base: Duration::from_millis(100),
    spread: Duration::from_millis(300),
    per_process: Duration::from_micros(1500),
};
/// The same while no seed has answered: the seeds may start last.
const PEER_WAIT_ALONE: StartDelay = StartDelay {
    base: Duration::from_millis(10),
    spread: Duration::from_millis(40),
    per_process: Duration::from_micros(1500),
};
/// Range from which a seed draws its wait, in milliseconds.
const PEER_WAIT_SEED_MS: Range<u64> = 0..50;
/// Range of the wait at the first start of the whole system, in milliseconds: traffic comes only seconds
/// later.
const PEER_WAIT_FIRST_START_MS: Range<u64> = 500..4000;
/// Interval at which a waiting process checks whether its peers have sent the data.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a process without the duty checks whether it has it now.
const OFF_DUTY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Watches the operators' entries for as long as the process lives.
#[derive(Debug)]
pub struct OperatorWatch {
    store: Store,
    handle: NodeHandle,
    views: ViewReceiver,
    view: Option<Arc<View>>,
    after: Option<Version>,
    entries: OperatorEntries,
    known: KnownVersion,
    /// Receives a message when a check has found a change that the watch has not reported.
    missed: flume::Receiver<()>,
    started: Timestamp,
    /// A process that has only just started accepts data that is seconds old, as registered processes
    /// watch for newer data.
    freshness: Freshness,
    peer_wait: PeerWait,
}

/// How long a process waits after its start for its peers' routes.
#[derive(Debug, Clone, Copy)]
enum PeerWait {
    /// A fixed duration.
    Fixed(Duration),
    /// A duration that depends on the fleet's size, scaled by this process's random share from 0 to 1.
    Scaled(f64),
}

/// How a call to the store ended.
enum PollOutcome {
    Done(StoreResult<()>),
    /// The call has not ended, and may never do so.
    GivenUp {
        cause: &'static str,
    },
}

fn random_wait(ms: Range<u64>) -> PeerWait {
    PeerWait::Fixed(Duration::from_millis(rand::rng().random_range(ms)))
}

type StoreResult<T> = Result<T, Report<PlatformError>>;

impl OperatorWatch {
    /// Starts the task.
    pub fn spawn(node: &Node, settings: &ProcessSettings) {
        let peer_wait = if settings.first_start {
            random_wait(PEER_WAIT_FIRST_START_MS)
        } else if settings.is_seed() {
            random_wait(PEER_WAIT_SEED_MS)
        } else {
            PeerWait::Scaled(rand::rng().random())
        };
        // A client of its own, with connections of its own: in a shared pool a waiting watch takes the
        // connection of the lease renewals, and they open another one when the watch's goes silent. They
        // would then never show that the store no longer answers on the older connections.
        let store = Store::new(node.store.base()).unwrap_or_else(|_| node.store.clone());
        let (missed_tx, missed) = flume::bounded(1);
        let known = KnownVersion::default();
        OperatorCheck::spawn(node, settings, known.clone(), missed_tx);
        let watch = Self {
            store,
            entries: OperatorEntries::new(node.handle.clone()),
            known,
            missed,
            handle: node.handle.clone(),
            views: node.handle.views(),
            view: None,
            after: None,
            started: node.handle.started,
            freshness: if settings.is_seed() { Freshness::Newest } else { Freshness::MayBeStale },
            peer_wait,
        };
        compio::runtime::spawn(watch.run()).detach();
    }

    async fn run(mut self) {
        self.wait_for_peers().await;
        loop {
            self.view = self.views.newer().or(self.view.take());
            if self.is_selected() {
                self.freshness = Freshness::Newest;
            } else if self.has_peer_data() {
                self.after = None;
                compio::time::sleep(OFF_DUTY_POLL_INTERVAL).await;
                continue;
            }
            let pause = match self.poll_while_reachable().await {
                PollOutcome::GivenUp { cause } => {
                    self.after = None;
                    self.handle.journal.record(EventKind::Platform, "watch given up", cause);
                    RETRY_DELAY
                }
                PollOutcome::Done(Ok(())) => COALESCE_DELAY,
                PollOutcome::Done(Err(report)) => {
                    self.after = None;
                    self.handle.metrics.platform_errors.inc();
                    let cause = report.current_context().to_string();
                    self.handle.journal.record(
                        EventKind::Platform,
                        "operators' entries not read",
                        cause,
                    );
                    RETRY_DELAY
                }
            };
            compio::time::sleep(pause).await;
        }
    }

    /// Waits until peers have sent the data, or the wait is over and the store is to be read. A wait that
    /// depends on the fleet's size may be over twice: the first time only the size is read, from which
    /// the full wait follows.
    async fn wait_for_peers(&mut self) {
        let mut size_read = false;
        loop {
            self.view = self.views.newer().or(self.view.take());
            if self.has_peer_data() {
                return;
            }
            if self.is_peer_wait_over() {
                if size_read || matches!(self.peer_wait, PeerWait::Fixed(_)) {
                    return;
                }
                size_read = true;
                self.read_size().await;
            }
            compio::time::sleep(PEER_POLL_INTERVAL).await;
        }
    }

    fn has_peer_data(&self) -> bool {
        let complete = |view: &Arc<View>| view.routes.is_some() && view.evacuations.is_some();
        self.view.as_ref().is_some_and(complete)
    }

    fn is_peer_wait_over(&self) -> bool {
        let waited = self.handle.clock.now().since(self.started);
        let size = self.view.as_ref().map_or(FleetSize(0), |view| view.stored_size.size);
        let alone = self.view.as_ref().is_none_or(|view| view.members.len() <= 1);
        match self.peer_wait {
            PeerWait::Fixed(wait) => waited >= wait,
            PeerWait::Scaled(random_share) if alone => {
                waited >= PEER_WAIT_ALONE.of(random_share, size)
            }
            PeerWait::Scaled(random_share) => waited >= PEER_WAIT.of(random_share, size),
        }
    }

    /// Returns whether this process is to watch the store: it is among the first registered processes, and
    /// the store answers it.
    fn is_selected(&self) -> bool {
        let Some(view) = &self.view else { return false };
        let members = view.members();
        view.me.store == StoreReach::Answers
            && store_selection::is_selected(view.me.process, members, store_selection::WATCHERS)
    }

    /// Polls the store. A watch is given up when its connection may be lost, as the call would end only at
    /// its timeout.
    async fn poll_while_reachable(&mut self) -> PollOutcome {
        if self.after.is_none() {
            return PollOutcome::Done(self.poll_store().await);
        }
        let views = self.handle.views();
        let missed = self.missed.clone();
        let store_lost = async move {
            while let Some(view) = views.next().await {
                if view.me.store == StoreReach::Fails {
                    return "lease of the entry not renewed";
                }
            }
            std::future::pending().await
        };
        let change_missed = async move {
            if missed.recv_async().await.is_err() {
                std::future::pending::<()>().await;
            }
            "a check has found a change"
        };
        let poll = self.poll_store();
        futures_util::pin_mut!(store_lost, change_missed, poll);
        match select(poll, select(store_lost, change_missed)).await {
            Either::Left((outcome, _)) => PollOutcome::Done(outcome),
            Either::Right((cause, _)) => PollOutcome::GivenUp { cause: cause.factor_first().0 },
        }
    }

    async fn poll_store(&mut self) -> StoreResult<()> {
        let Some(after) = self.after else { return self.read_all().await };
        match self.store.watch(operator_key::PREFIX, after, WATCH_TIMEOUT).await? {
            WatchOutcome::HistoryCompacted => {
                let cause = format!("store no longer holds the changes after {after}");
                self.handle.journal.record(EventKind::Platform, "watch starts again", cause);
                self.read_all().await
            }
            WatchOutcome::Changes(changes) => {
                self.entries.apply(&changes);
                self.continue_after(changes.current.max(after));
                Ok(())
            }
        }
    }

    async fn read_all(&mut self) -> StoreResult<()> {
        let asked = self.handle.clock.now();
        let current = self.entries.read_all(&self.store, self.freshness).await?;
        if self.freshness == Freshness::Newest {
            self.handle.confirm_settings(asked);
        }
        self.continue_after(current);
        self.read_size().await;
        Ok(())
    }

    /// Sets the version after which the watch continues.
    fn continue_after(&mut self, version: Version) {
        self.after = Some(version);
        self.known.set(self.known.get().max(Some(version)));
    }

    /// Reads the stored size of the fleet, unless it is known already. Without it processes only start later,
    /// so a failure is logged, and the watch goes on.
    async fn read_size(&self) {
        let known = |view: &Arc<View>| view.stored_size != StoredSize::default();
        if self.view.as_ref().is_some_and(known) {
            return;
        }
        let entry = match self.store.get(FLEET_SIZE_KEY, Freshness::MayBeStale).await {
            Ok(Some(entry)) => entry,
            Ok(None) => return,
            Err(report) => {
                self.handle.metrics.platform_errors.inc();
                let cause = report.current_context().to_string();
                self.handle.journal.record(EventKind::Platform, "fleet size not read", cause);
                return;
            }
        };
        let text = String::from_utf8_lossy(&entry.value);
        match text.parse() {
            Ok(size) => {
                self.handle.put_stored_size(StoredSize { size, version: entry.version.0 });
            }
            Err(e) => unreadable::record_entry(&self.handle, &entry.key, &e.to_string()),
        }
    }
}
