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
const PREFIX: &str = "dillmill/processes/";
/// Key of the fleet's size.
pub(crate) const SIZE_KEY: &str = "dillmill/fleet-size";
/// A smaller size of the fleet is written when it has been the same for this long: a process that restarts changes
/// nothing. A larger one is at once, as those who start must not take fewer for all.
const SIZE_STEADY: Duration = Duration::from_secs(5);
/// Length of the lease, unless the store's shortest is longer: entries of lost processes are gone
/// soon, and some renewals in a row may be lost.
const LEASE: Duration = Duration::from_secs(8);
/// Time between two renewals. A renewal costs a tenth of a read and tells besides whether the store
/// answers this process: whoever it does not answer must not be relied on to watch.
const RENEW_EVERY: Duration = Duration::from_millis(1200);
/// Wait after a failed call: an entry must be back within 2 s of the store's return.
const RETRY: Duration = Duration::from_millis(800);
/// How long a process tries the addresses in its settings before it looks for others in the store: when everything
/// starts, one of those few has started by then for nearly all.
const SETTINGS_FIRST: StartPatience = StartPatience {
    base: Duration::from_millis(120),
    spread: Duration::ZERO,
    per_process: Duration::from_micros(500),
};
/// The fleet's size is read by then.
const SIZE_READ: Duration = Duration::from_millis(200);
/// How often a process that has only just started looks whether it has a duty.
const YOUNG_OFF_DUTY: Duration = Duration::from_millis(30);
/// The same when the whole system starts for the first time: there is nobody in the store yet, and no
/// traffic for seconds, but thousands of processes that would all ask.
const FIRST_START: Duration = Duration::from_secs(1);
/// Before this age a process does not know all others, and would take itself for a keeper too soon.
const KEEPER_AGE: Duration = Duration::from_millis(1500);
/// How often a process that is no keeper looks whether it is one now.
const OFF_DUTY: Duration = Duration::from_millis(500);

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
    share: f64,
    started: Timestamp,
    /// Size of the fleet, and since when it is that.
    size: (FleetSize, Timestamp),
    /// What this process has told the others of the store, and when.
    told: (StoreReach, Timestamp),
}

type Step<T> = Result<T, Report<dillmill_platform::PlatformError>>;

impl Session {
    /// Starts the task that keeps the entry.
    pub fn spawn(node: &Node, control: SocketAddrV4, settings: &ProcessSettings) {
        let now = node.handle.clock.now();
        let session = Self {
            store: node.store.clone(),
            handle: node.handle.clone(),
            control,
            lease: None,
            ttl: LEASE.max(settings.min_lease_ttl),
            first_start: settings.first_start,
            share: rand::rng().random(),
            views: node.handle.views(),
            view: None,
            started: now,
            size: (FleetSize::default(), now),
            told: (StoreReach::Unknown, now),
        };
        compio::runtime::spawn(session.run()).detach();
    }

    async fn run(mut self) {
        loop {
            self.view = self.views.newer().or(self.view.take());
            let now = self.handle.clock.now();
            let pause = if self.has_duty(now) { self.talk().await } else { self.rest(now).await };
            compio::time::sleep(pause).await;
        }
    }

    /// Returns whether this process talks to the store: as a keeper, or because it is alone.
    fn has_duty(&self, now: Timestamp) -> bool {
        let Some(view) = &self.view else { return false };
        if view.members.len() <= 1 {
            return now.since(self.started) >= self.settings_first(view);
        }
        now.since(self.started) >= KEEPER_AGE
            && store_duty::on_duty(view.me.process, view.members(), store_duty::KEEPERS)
    }

    /// Returns how long this process tries the addresses in its settings.
    fn settings_first(&self, view: &View) -> Duration {
        match view.stored_size.size {
            _ if self.first_start => FIRST_START,
            FleetSize(0) => SIZE_READ,
            size => SETTINGS_FIRST.of(self.share, size),
        }
    }

    async fn talk(&mut self) -> Duration {
        match self.step().await {
            Ok(()) => {
                self.answered(StoreReach::Answers, "call answered".to_owned());
                if self.lease.is_some() { RENEW_EVERY } else { OFF_DUTY }
            }
            Err(report) => {
                self.handle.metrics.platform_errors.inc();
                self.answered(StoreReach::Fails, report.current_context().to_string());
                RETRY
            }
        }
    }

    /// Gives the entry up, and forgets after a while that the store has failed.
    async fn rest(&mut self, now: Timestamp) -> Duration {
        if let Some(lease) = self.lease.take()
            && let Err(report) = self.store.end(lease).await
        {
            // It lapses by itself.
            let cause = report.current_context().to_string();
            self.handle.journal.record(EventKind::Platform, "entry not given up", cause);
        }
        let (told, at) = self.told;
        let stale = told == StoreReach::Fails && now.since(at) >= store_duty::TRY_AGAIN;
        if told == StoreReach::Answers || stale {
            self.tell(StoreReach::Unknown);
        }
        if now.since(self.started) < KEEPER_AGE { YOUNG_OFF_DUTY } else { OFF_DUTY }
    }

    async fn step(&mut self) -> Step<()> {
        let alone = self.view.as_ref().is_none_or(|view| view.members.len() <= 1);
        if alone {
            self.join().await?;
        }
        // Who has only just started joins through the others' entries and needs none of its own.
        if self.handle.clock.now().since(self.started) < KEEPER_AGE {
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
                    self.enter().await?;
                }
            }
            None => self.enter().await?,
        }
        self.write_size().await
    }

    /// Writes the fleet's size, as the first of the keepers, if it has changed for good.
    async fn write_size(&mut self) -> Step<()> {
        let now = self.handle.clock.now();
        let Some(view) = &self.view else { return Ok(()) };
        let size = view.fleet();
        if size != self.size.0 {
            self.size = (size, now);
        }
        let steady = now.since(self.size.1) >= SIZE_STEADY;
        let due = match size.cmp(&view.stored_size.size) {
            Ordering::Less => steady,
            Ordering::Equal => false,
            Ordering::Greater => view.stored_size.version > 0 || steady,
        };
        let first = store_duty::on_duty(view.me.process, view.members(), 1);
        if !due || !first || !view.settled {
            return Ok(());
        }
        let value = size.to_string().into_bytes();
        if let CommitOutcome::Done(version) =
            self.store.put(SIZE_KEY, value, LeaseId::default()).await?
        {
            self.handle.put_stored_size(StoredSize { size, version: version.0 });
        }
        Ok(())
    }

    /// Takes a lease and writes the entry under it.
    async fn enter(&mut self) -> Step<()> {
        let lease = self.store.grant(self.ttl).await?;
        let key = format!("{PREFIX}{}", self.handle.process);
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
    async fn join(&mut self) -> Step<()> {
        // An address that is some seconds old leads to somebody who knows the others.
        let page = self.store.list(PREFIX, "", Freshness::MayBeStale).await?;
        unreadable::note(&self.handle, &page.unreadable);
        let mut peers = Vec::with_capacity(page.entries.len());
        for entry in &page.entries {
            let control = std::str::from_utf8(&entry.value).ok().and_then(|text| text.parse().ok());
            match control {
                Some(addr) => peers.push(addr),
                None => unreadable::note_one(&self.handle, &entry.key, "not an address"),
            }
        }
        self.handle.add_seeds(peers);
        Ok(())
    }

    fn answered(&mut self, reach: StoreReach, cause: String) {
        self.handle.platform_answered(reach == StoreReach::Answers, cause);
        if self.told.0 != reach {
            self.tell(reach);
        }
    }

    fn tell(&mut self, reach: StoreReach) {
        self.told = (reach, self.handle.clock.now());
        self.handle.update_me(move |me| me.store = reach);
    }
}
