//! Reads what operators keep in the store: the configuration, and which data centres are to be evacuated.
//!
//! A few processes watch it and pass each new revision on; the others read it only when nobody has
//! shown them any. A watch alone does not tell whether the store still answers, so only processes
//! whose leases are being renewed have the duty.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::membership::{FleetSize, StoredSize};
use dillmill_core::{
    Evacuations, EventKind, Revision, StartPatience, StoreReach, Timestamp, store_duty,
};
use dillmill_node::{Node, NodeHandle, View, Views};
use dillmill_platform::store_protocol::Changes;
use dillmill_platform::{
    Entry, Freshness, OperatorKey, PlatformError, ProcessSettings, Store, Version, WatchOutcome,
    document, operator_key,
};
use error_stack::Report;
use rand::Rng;

use crate::session::FLEET_SIZE_KEY;
use crate::unreadable;

/// Longest wait of one watch: every watch that ends empty is a call that is paid for. A watch that is cut
/// without a word is noticed sooner, as the lease is not renewed then either.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Wait between two events: changes that come faster are read as one.
const COALESCE_DELAY: Duration = Duration::from_millis(100);
/// How long a process that starts waits for its peers' routes before it reads the store: when all start at once, the
/// few that all others join through read it, and pass the routes on before most others would.
const PEER_WAIT: StartPatience = StartPatience {
    base: Duration::from_millis(100),
    spread: Duration::from_millis(300),
    per_process: Duration::from_micros(1500),
};
/// The same while none of those few has answered: they may start last.
const PEER_WAIT_ALONE: StartPatience = StartPatience {
    base: Duration::from_millis(30),
    spread: Duration::from_millis(120),
    per_process: Duration::from_micros(1500),
};
/// The same for those few.
const PEER_WAIT_SEED_MS: Range<u64> = 0..50;
/// The same when the whole system starts for the first time, seconds before any traffic.
const PEER_WAIT_FIRST_START_MS: Range<u64> = 500..4000;
/// How often it is looked meanwhile whether peers have told.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Wait after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How often a process without the duty looks whether it has it now.
const OFF_DUTY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Watches what operators keep for as long as the process lives.
#[derive(Debug)]
pub struct OperatorWatch {
    store: Store,
    handle: NodeHandle,
    views: Views,
    view: Option<Arc<View>>,
    after: Option<Version>,
    started: Timestamp,
    /// What is read may be seconds old while this process only wants to begin: keepers watch for what is newer.
    freshness: Freshness,
    peer_wait: PeerWait,
}

/// How a process waits for the routes of peers after its start.
#[derive(Debug, Clone, Copy)]
enum PeerWait {
    /// For this long.
    Fixed(Duration),
    /// As long as the share of this process in the patience of all.
    Scaled(f64),
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
        let watch = Self {
            store: node.store.clone(),
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
            if self.on_duty() {
                self.freshness = Freshness::Newest;
            } else if self.has_peer_data() {
                self.after = None;
                compio::time::sleep(OFF_DUTY_POLL_INTERVAL).await;
                continue;
            }
            let pause = match self.poll_store().await {
                Ok(()) => COALESCE_DELAY,
                Err(report) => {
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

    /// Waits until peers have told, or it is time to ask the store; first for the fleet's size, which tells when that is.
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
                if let Err(report) = self.read_size().await {
                    self.handle.metrics.platform_errors.inc();
                    let cause = report.current_context().to_string();
                    self.handle.journal.record(EventKind::Platform, "size not read", cause);
                }
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

    /// Returns whether this process watches: it is among the first keepers, and the store answers it.
    fn on_duty(&self) -> bool {
        let Some(view) = &self.view else { return false };
        let members = view.members();
        view.me.store == StoreReach::Answers
            && store_duty::on_duty(view.me.process, members, store_duty::WATCHERS)
    }

    async fn poll_store(&mut self) -> StoreResult<()> {
        let Some(after) = self.after else { return self.read_all().await };
        match self.store.watch(operator_key::PREFIX, after, WATCH_TIMEOUT).await? {
            WatchOutcome::HistoryCompacted => {
                let cause = format!("store has forgotten what came after {after}");
                self.handle.journal.record(EventKind::Platform, "watch starts again", cause);
                self.read_all().await
            }
            WatchOutcome::Changes(changes) => {
                unreadable::record_entries(&self.handle, &changes.unreadable);
                self.apply_changes(&changes);
                self.after = Some(changes.current.max(after));
                Ok(())
            }
        }
    }

    /// Reads all that operators keep, and from where a watch can go on.
    async fn read_all(&mut self) -> StoreResult<()> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut current = None;
        let mut last_key_read = String::new();
        loop {
            let page =
                self.store.list(operator_key::PREFIX, &last_key_read, self.freshness).await?;
            // What changes while later pages are read is told by the watch again.
            current.get_or_insert(page.current);
            unreadable::record_entries(&self.handle, &page.unreadable);
            let next = page
                .last_key()
                .filter(|key| page.more && **key > *last_key_read)
                .map(str::to_owned);
            entries.extend(page.entries);
            match next {
                Some(key) => last_key_read = key,
                None => break,
            }
        }
        let current = current.unwrap_or_default();
        let ordered = entries.iter().filter_map(operator_key::evacuation_change);
        let evacuations = Evacuations::new(Revision(current.0), ordered.map(|change| change.zone));
        // Before the routes: from the first route on new flows are placed.
        self.handle.put_evacuations("store", evacuations);
        for entry in &entries {
            self.take(entry);
        }
        self.after = Some(current);
        self.read_size().await
    }

    /// Reads how many processes there were, unless somebody has told already.
    async fn read_size(&self) -> StoreResult<()> {
        let known = |view: &Arc<View>| view.stored_size != StoredSize::default();
        if self.view.as_ref().is_some_and(known) {
            return Ok(());
        }
        let Some(entry) = self.store.get(FLEET_SIZE_KEY, Freshness::MayBeStale).await? else {
            return Ok(());
        };
        match std::str::from_utf8(&entry.value).ok().and_then(|text| text.parse().ok()) {
            Some(size) => {
                self.handle.put_stored_size(StoredSize { size, version: entry.version.0 });
            }
            None => unreadable::record_entry(&self.handle, &entry.key, "not a number of processes"),
        }
        Ok(())
    }

    fn apply_changes(&self, changes: &Changes) {
        let ordered: Vec<_> =
            changes.entries.iter().filter_map(operator_key::evacuation_change).collect();
        if !ordered.is_empty() {
            self.handle.change_evacuations(ordered);
        }
        let newest_document =
            |e: &&Entry| OperatorKey::from(e.key.as_str()) == OperatorKey::Document && !e.removed;
        let newest = changes.entries.iter().rfind(newest_document);
        let unknown = changes
            .entries
            .iter()
            .filter(|e| OperatorKey::from(e.key.as_str()) == OperatorKey::Unknown);
        for entry in newest.into_iter().chain(unknown) {
            self.take(entry);
        }
    }

    fn take(&self, entry: &Entry) {
        match OperatorKey::from(entry.key.as_str()) {
            OperatorKey::Document => self.apply_document(entry),
            OperatorKey::Evacuation(_) => {}
            OperatorKey::Unknown => {
                let what = format!("`{}` of the operators not used", entry.key);
                let cause = "neither the configuration nor the name of a data centre to evacuate";
                self.handle.journal.record(EventKind::Settings, what, cause);
            }
        }
    }

    fn apply_document(&self, entry: &Entry) {
        match document::decode(&entry.value) {
            Ok(routes) => {
                let source = format!("store version {}", entry.version);
                self.handle.put_routes(source, routes);
            }
            Err(e) => {
                let what = format!("configuration of store version {} not used", entry.version);
                self.handle.journal.record(EventKind::Settings, what, e.to_string());
            }
        }
    }
}
