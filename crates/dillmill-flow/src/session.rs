//! Keeps the process's entry in the store, and finds the other processes.
//!
//! Processes find each other through the addresses in their settings and through the entries of a few
//! registered processes ([`store_selection`]), and then communicate directly. An entry only states the
//! address of a process at the time of writing. Liveness is determined by probes, so an entry that expires
//! or is removed while its process lives changes nothing.

use std::cmp::Ordering;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::membership::{FleetSize, StoredSize};
use dillmill_core::{EventKind, StartDelay, StoreReach, Timestamp, store_selection};
use dillmill_node::{Node, NodeHandle, View, ViewReceiver};
use dillmill_platform::{CommitOutcome, Freshness, LeaseId, ProcessSettings, Store};
use error_stack::Report;
use rand::Rng;

use crate::unreadable;

/// Prefix of the keys of process entries; the process id of the run follows.
const PROCESS_PREFIX: &str = "dillmill/processes/";
/// Key of the fleet's size.
pub(crate) const FLEET_SIZE_KEY: &str = "dillmill/fleet-size";
/// A smaller size of the fleet is written only after it has been the same for this long, so that the
/// restart of a process changes nothing. A larger size is written immediately, as starting processes must
/// not take fewer for the whole fleet.
const SIZE_STABLE_FOR: Duration = Duration::from_secs(5);
/// Time to live of the lease, unless the store's minimum is longer: short enough that entries of lost
/// processes soon expire, and long enough that several renewals in a row may be lost.
const LEASE_TTL: Duration = Duration::from_secs(8);
/// Interval between two renewals. A renewal costs a tenth of a read, and also shows whether the store
/// answers this process: a process that it does not answer must not be relied on to watch the store.
const RENEW_INTERVAL: Duration = Duration::from_millis(1200);
/// Pause after a failed call: an entry must be restored within 2 s after the store is reachable again.
const RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long a process tries the seed addresses in its settings before it looks for peers in the store.
/// After a loss of power the seeds start in any order, some of them last, and callers wait meanwhile: a
/// read from the store costs less than a longer wait. A process whose seeds have started is answered
/// within this time.
const SEED_WAIT: StartDelay = StartDelay {
    base: Duration::from_millis(40),
    spread: Duration::ZERO,
    per_process: Duration::from_micros(500),
};
/// The same while the fleet's size is not known: it has been read by then.
const SEED_WAIT_UNKNOWN_SIZE: Duration = Duration::from_millis(200);
/// Interval at which a process that has only just started checks whether it has to contact the store.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for the seed addresses when the whole system starts for the first time: the store has no entries
/// yet and no traffic comes for seconds, but thousands of processes would all query the store.
const SEED_WAIT_FIRST_START: Duration = Duration::from_secs(1);
/// Least age of a registered process: a younger process does not know all others, and would take itself for
/// a registered process too early.
const REGISTRATION_MIN_AGE: Duration = Duration::from_millis(1500);
/// Interval at which a process that is not a registered process checks whether it is one now.
const OFF_DUTY_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the entry of a process in the store for as long as the process lives.
#[derive(Debug)]
pub struct Session {
    store: Store,
    handle: NodeHandle,
    control: SocketAddrV4,
    lease: Option<LeaseId>,
    ttl: Duration,
    views: ViewReceiver,
    view: Option<Arc<View>>,
    first_start: bool,
    /// Random number from 0 to 1 that decides when this process queries the store among all that start
    /// with it.
    random_share: f64,
    started: Timestamp,
    /// Size of the fleet, and the time since when it has been the same.
    size: (FleetSize, Timestamp),
    /// The reachability of the store that this process has announced, and when.
    announced: (StoreReach, Timestamp),
}

type StoreResult<T> = Result<T, Report<dillmill_platform::PlatformError>>;

impl Session {
    /// Starts the task that keeps the entry.
    pub fn spawn(node: &Node, control: SocketAddrV4, settings: &ProcessSettings) {
        let now = node.handle.clock.now();
        let session = Self {
            store: node.store.clone(),
            handle: node.handle.clone(),
            control,
            lease: None,
            ttl: LEASE_TTL.max(settings.min_lease_ttl),
            first_start: settings.first_start,
            random_share: rand::rng().random(),
            views: node.handle.views(),
            view: None,
            started: now,
            size: (FleetSize::default(), now),
            announced: (StoreReach::Unknown, now),
        };
        compio::runtime::spawn(session.run()).detach();
    }

    async fn run(mut self) {
        loop {
            self.view = self.views.newer().or(self.view.take());
            let now = self.handle.clock.now();
            let pause = if self.should_contact_store(now) {
                self.contact_store().await
            } else {
                self.release_entry(now).await
            };
            compio::time::sleep(pause).await;
        }
    }

    /// Returns whether this process has to contact the store: as a registered process, or because it knows
    /// no other process.
    fn should_contact_store(&self, now: Timestamp) -> bool {
        let Some(view) = &self.view else { return false };
        if view.members.len() <= 1 {
            return now.since(self.started) >= self.seed_wait(view);
        }
        now.since(self.started) >= REGISTRATION_MIN_AGE
            && store_selection::is_selected(
                view.me.process,
                view.members(),
                store_selection::REGISTERED_PROCESSES,
            )
    }

    /// Returns how long this process tries the seed addresses in its settings.
    fn seed_wait(&self, view: &View) -> Duration {
        match view.stored_size.size {
            _ if self.first_start => SEED_WAIT_FIRST_START,
            FleetSize(0) => SEED_WAIT_UNKNOWN_SIZE,
            size => SEED_WAIT.of(self.random_share, size),
        }
    }

    async fn contact_store(&mut self) -> Duration {
        match self.update_entry().await {
            Ok(()) => {
                self.record_reach(StoreReach::Answers, "call answered".to_owned());
                if self.lease.is_some() { RENEW_INTERVAL } else { OFF_DUTY_POLL_INTERVAL }
            }
            Err(report) => {
                self.handle.metrics.platform_errors.inc();
                self.record_reach(StoreReach::Fails, report.current_context().to_string());
                RETRY_DELAY
            }
        }
    }

    /// Gives up the entry. An announcement that the store answers is withdrawn immediately, an announcement
    /// that it has failed only after `store_selection::RETRY_AFTER`.
    async fn release_entry(&mut self, now: Timestamp) -> Duration {
        if let Some(lease) = self.lease.take()
            && let Err(report) = self.store.end(lease).await
        {
            // The lease expires by itself.
            let cause = report.current_context().to_string();
            self.handle.journal.record(EventKind::Platform, "lease of the entry not ended", cause);
        }
        let (announced, at) = self.announced;
        let stale = announced == StoreReach::Fails && now.since(at) >= store_selection::RETRY_AFTER;
        if announced == StoreReach::Answers || stale {
            self.announce_reach(StoreReach::Unknown);
        }
        if now.since(self.started) < REGISTRATION_MIN_AGE {
            STARTUP_POLL_INTERVAL
        } else {
            OFF_DUTY_POLL_INTERVAL
        }
    }

    async fn update_entry(&mut self) -> StoreResult<()> {
        let alone = self.view.as_ref().is_none_or(|view| view.members.len() <= 1);
        if alone {
            self.read_peers().await?;
        }
        // A process that has only just started joins through the entries of others and needs no entry of
        // its own.
        if self.handle.clock.now().since(self.started) < REGISTRATION_MIN_AGE {
            return Ok(());
        }
        match self.lease {
            Some(lease) => {
                if !self.store.renew(lease).await? {
                    let what = format!("lease {lease} is over");
                    self.handle.journal.record(
                        EventKind::Platform,
                        what,
                        "store has no such lease",
                    );
                    self.lease = None;
                    self.write_entry().await?;
                }
            }
            None => self.write_entry().await?,
        }
        self.write_size().await
    }

    /// Writes the fleet's size if this process is the first registered process and the size has changed
    /// lastingly.
    async fn write_size(&mut self) -> StoreResult<()> {
        let now = self.handle.clock.now();
        let Some(view) = &self.view else { return Ok(()) };
        let size = view.fleet();
        if size != self.size.0 {
            self.size = (size, now);
        }
        let stable = now.since(self.size.1) >= SIZE_STABLE_FOR;
        let due = match size.cmp(&view.stored_size.size) {
            Ordering::Less => stable,
            Ordering::Equal => false,
            Ordering::Greater => view.stored_size.version > 0 || stable,
        };
        let first = store_selection::is_selected(view.me.process, view.members(), 1);
        if !due || !first || !view.settled {
            return Ok(());
        }
        let value = size.to_string().into_bytes();
        if let CommitOutcome::Done(version) =
            self.store.put(FLEET_SIZE_KEY, value, LeaseId::default()).await?
        {
            self.handle.put_stored_size(StoredSize { size, version: version.0 });
        }
        Ok(())
    }

    /// Obtains a lease and writes the entry under it.
    async fn write_entry(&mut self) -> StoreResult<()> {
        let lease = self.store.grant(self.ttl).await?;
        let key = format!("{PROCESS_PREFIX}{}", self.handle.process);
        let value = self.control.to_string().into_bytes();
        match self.store.put(&key, value, lease.id).await? {
            CommitOutcome::Done(_) => self.lease = Some(lease.id),
            CommitOutcome::Conflict(_) | CommitOutcome::LeaseNotFound => {
                return Err(Report::new(self.store.error("write the entry", "lease is over")));
            }
        }
        Ok(())
    }

    /// Reads the addresses of the registered processes from their entries.
    async fn read_peers(&mut self) -> StoreResult<()> {
        // Data that is some seconds old is enough: one address that is still valid leads to a process
        // that knows the others.
        let page = self.store.list(PROCESS_PREFIX, "", Freshness::MayBeStale).await?;
        unreadable::record_entries(&self.handle, &page.unreadable);
        let mut peers = Vec::with_capacity(page.entries.len());
        for entry in &page.entries {
            let control = std::str::from_utf8(&entry.value).ok().and_then(|text| text.parse().ok());
            match control.filter(|addr: &SocketAddrV4| addr.port() != 0) {
                Some(addr) => peers.push(addr),
                None => unreadable::record_entry(
                    &self.handle,
                    &entry.key,
                    "value is not a socket address",
                ),
            }
        }
        self.handle.add_seeds(peers);
        Ok(())
    }

    fn record_reach(&mut self, reach: StoreReach, cause: String) {
        self.handle.report_platform(reach == StoreReach::Answers, cause);
        if self.announced.0 != reach {
            self.announce_reach(reach);
        }
    }

    fn announce_reach(&mut self, reach: StoreReach) {
        self.announced = (reach, self.handle.clock.now());
        self.handle.update_me(move |me| me.store = reach);
    }
}
