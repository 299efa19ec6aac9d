//! The process's entry in the store, and the way to the other processes.
//!
//! Processes find each other through the addresses in their settings and through the entries of a few
//! keepers ([`store_duty`]), and then talk directly. An entry only says where a process was when it wrote
//! it. Whether it lives is settled by probes, so an entry that lapses or is taken away while its process
//! lives changes nothing.

use std::cmp::Ordering;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::membership::{FleetSize, StoredSize};
use dillmill_core::{EventKind, StartPatience, StoreReach, Timestamp, store_duty};
use dillmill_node::{Node, NodeHandle, View, Views};
use dillmill_platform::{CommitOutcome, Freshness, LeaseId, ProcessSettings, Store};
use error_stack::Report;
use rand::Rng;

use crate::unreadable;

/// Keys of processes: this and the number of the run.
const PROCESS_PREFIX: &str = "dillmill/processes/";
/// Key of the fleet's size.
pub(crate) const FLEET_SIZE_KEY: &str = "dillmill/fleet-size";
/// A smaller size of the fleet is written when it has been the same for this long: a process that restarts changes
/// nothing. A larger one is at once, as those who start must not take fewer for all.
const SIZE_STABLE_FOR: Duration = Duration::from_secs(5);
/// Length of the lease, unless the store's shortest is longer: entries of lost processes are gone
/// soon, and some renewals in a row may be lost.
const LEASE_TTL: Duration = Duration::from_secs(8);
/// Time between two renewals. A renewal costs a tenth of a read and tells besides whether the store
/// answers this process: whoever it does not answer must not be relied on to watch.
const RENEW_INTERVAL: Duration = Duration::from_millis(1200);
/// Wait after a failed call: an entry must be back within 2 s of the store's return.
const RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long a process tries the addresses in its settings before it looks for others in the store: when everything
/// starts, one of those few has started by then for nearly all.
const SEED_WAIT: StartPatience = StartPatience {
    base: Duration::from_millis(120),
    spread: Duration::ZERO,
    per_process: Duration::from_micros(500),
};
/// The fleet's size is read by then.
const SEED_WAIT_UNKNOWN_SIZE: Duration = Duration::from_millis(200);
/// How often a process that has only just started looks whether it has a duty.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// The same when the whole system starts for the first time: there is nobody in the store yet, and no
/// traffic for seconds, but thousands of processes that would all ask.
const SEED_WAIT_FIRST_START: Duration = Duration::from_secs(1);
/// Before this age a process does not know all others, and would take itself for a keeper too soon.
const KEEPER_MIN_AGE: Duration = Duration::from_millis(1500);
/// How often a process that is no keeper looks whether it is one now.
const OFF_DUTY_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the entry of a process for as long as it lives.
#[derive(Debug)]
pub struct Session {
    store: Store,
    handle: NodeHandle,
    control: SocketAddrV4,
    lease: Option<LeaseId>,
    ttl: Duration,
    views: Views,
    view: Option<Arc<View>>,
    first_start: bool,
    /// Drawn by this process, from 0 to 1: when it asks among all that start with it.
    random_share: f64,
    started: Timestamp,
    /// Size of the fleet, and since when it is that.
    size: (FleetSize, Timestamp),
    /// What this process has told the others of the store, and when.
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

    /// Returns whether this process talks to the store: as a keeper, or because it is alone.
    fn should_contact_store(&self, now: Timestamp) -> bool {
        let Some(view) = &self.view else { return false };
        if view.members.len() <= 1 {
            return now.since(self.started) >= self.seed_wait(view);
        }
        now.since(self.started) >= KEEPER_MIN_AGE
            && store_duty::on_duty(view.me.process, view.members(), store_duty::KEEPERS)
    }

    /// Returns how long this process tries the addresses in its settings.
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

    /// Gives the entry up, and forgets after a while that the store has failed.
    async fn release_entry(&mut self, now: Timestamp) -> Duration {
        if let Some(lease) = self.lease.take()
            && let Err(report) = self.store.end(lease).await
        {
            // It lapses by itself.
            let cause = report.current_context().to_string();
            self.handle.journal.record(EventKind::Platform, "entry not given up", cause);
        }
        let (announced, at) = self.announced;
        let stale = announced == StoreReach::Fails && now.since(at) >= store_duty::TRY_AGAIN;
        if announced == StoreReach::Answers || stale {
            self.announce_reach(StoreReach::Unknown);
        }
        if now.since(self.started) < KEEPER_MIN_AGE {
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
        // Who has only just started joins through the others' entries and needs none of its own.
        if self.handle.clock.now().since(self.started) < KEEPER_MIN_AGE {
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

    /// Writes the fleet's size, as the first of the keepers, if it has changed for good.
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
        let first = store_duty::on_duty(view.me.process, view.members(), 1);
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

    /// Takes a lease and writes the entry under it.
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

    /// Reads where the keepers are.
    async fn read_peers(&mut self) -> StoreResult<()> {
        // An address that is some seconds old leads to somebody who knows the others.
        let page = self.store.list(PROCESS_PREFIX, "", Freshness::MayBeStale).await?;
        unreadable::record_entries(&self.handle, &page.unreadable);
        let mut peers = Vec::with_capacity(page.entries.len());
        for entry in &page.entries {
            let control = std::str::from_utf8(&entry.value).ok().and_then(|text| text.parse().ok());
            match control {
                Some(addr) => peers.push(addr),
                None => unreadable::record_entry(&self.handle, &entry.key, "not an address"),
            }
        }
        self.handle.add_seeds(peers);
        Ok(())
    }

    fn record_reach(&mut self, reach: StoreReach, cause: String) {
        self.handle.platform_answered(reach == StoreReach::Answers, cause);
        if self.announced.0 != reach {
            self.announce_reach(reach);
        }
    }

    fn announce_reach(&mut self, reach: StoreReach) {
        self.announced = (reach, self.handle.clock.now());
        self.handle.update_me(move |me| me.store = reach);
    }
}
