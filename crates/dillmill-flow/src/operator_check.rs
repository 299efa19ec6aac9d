//! Checks with the store that no change of the operators' entries has been missed.
//!
//! A watch whose connection has gone silent can't be told from one that waits for a change, and the processes
//! that watch may be gone. A check asks for the changes since the last known version on a connection of its
//! own, and its answer comes at once.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::{CheckOrder, CheckSchedule, EventKind, Timestamp, store_selection};
use dillmill_node::{Node, NodeHandle, View, ViewReceiver};
use dillmill_platform::{
    Freshness, PlatformError, ProcessSettings, Store, Version, WatchOutcome, operator_key,
};
use error_stack::Report;

use crate::operator_entries::OperatorEntries;

/// Interval at which a process decides whether a check is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Wait of the watch call of a check, which asks for the changes that there are.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Age below which a process does not know its place in the order of checks.
const MIN_ORDER_AGE: Duration = Duration::from_secs(2);

/// Version of the store up to which a process has read the operators' entries.
pub(crate) type KnownVersion = Rc<Cell<Option<Version>>>;

/// Checks the operators' entries for as long as the process lives.
#[derive(Debug)]
pub(crate) struct OperatorCheck {
    base: String,
    entries: OperatorEntries,
    handle: NodeHandle,
    views: ViewReceiver,
    view: Option<Arc<View>>,
    schedule: CheckSchedule,
    known: KnownVersion,
    /// Tells the watch that it has missed a change.
    missed: flume::Sender<()>,
}

impl OperatorCheck {
    /// Starts the task. It sends on `missed` whenever it finds a change before the watch, which sets
    /// `known`.
    pub(crate) fn spawn(
        node: &Node,
        settings: &ProcessSettings,
        known: KnownVersion,
        missed: flume::Sender<()>,
    ) {
        let handle = node.handle.clone();
        let check = Self {
            base: node.store.base().to_owned(),
            entries: OperatorEntries::new(handle.clone()),
            views: handle.views(),
            view: None,
            schedule: CheckSchedule::new(settings.config_limit),
            known,
            missed,
            handle,
        };
        compio::runtime::spawn(check.run()).detach();
    }

    async fn run(mut self) {
        loop {
            compio::time::sleep(POLL_INTERVAL).await;
            self.view = self.views.newer().or(self.view.take());
            let now = self.handle.clock.now();
            if !self.is_due(now) {
                continue;
            }
            self.handle.metrics.store_checks.inc();
            match self.check().await {
                Ok(()) => {
                    self.schedule.succeed();
                    self.handle.confirm_settings(now);
                }
                Err(report) => {
                    self.schedule.fail(self.handle.clock.now());
                    self.handle.metrics.platform_errors.inc();
                    let cause = report.current_context().to_string();
                    self.handle.journal.record(EventKind::Platform, "settings not checked", cause);
                }
            }
        }
    }

    /// Returns whether this process has to check its settings. A process without settings reads them by
    /// other means.
    fn is_due(&self, now: Timestamp) -> bool {
        let Some(view) = self.view.as_ref().filter(|view| view.routes.is_some()) else {
            return false;
        };
        let confirmed = self.handle.settings_confirmed.get();
        if now.since(confirmed) < self.schedule.min_age() {
            return false;
        }
        let order = if now.since(self.handle.started) < MIN_ORDER_AGE {
            CheckOrder::LAST
        } else {
            store_selection::check_order(&view.me, view.members())
        };
        self.schedule.is_due(order, confirmed, now)
    }

    /// Puts the changes since the last known version in force.
    async fn check(&self) -> Result<(), Report<PlatformError>> {
        // Older connections may be silent, so each check opens one.
        let store = Store::new(&self.base)?;
        let Some(after) = self.known.get() else {
            let current = self.entries.read_all(&store, Freshness::Newest).await?;
            self.advance(current);
            return Ok(());
        };
        match store.watch(operator_key::PREFIX, after, NO_WAIT).await? {
            WatchOutcome::HistoryCompacted => {
                let current = self.entries.read_all(&store, Freshness::Newest).await?;
                self.advance(current);
            }
            WatchOutcome::Changes(changes) if changes.is_empty() => self.advance(changes.current),
            WatchOutcome::Changes(changes) => {
                if self.known.get() < Some(changes.current) {
                    let what = format!("change up to version {} found", changes.current);
                    let cause = "check of the store; the watch has not reported it";
                    self.handle.journal.record(EventKind::Platform, what, cause);
                    // Fails only if the watch has been told already.
                    let _ = self.missed.try_send(());
                }
                self.entries.apply(&changes);
                self.advance(changes.current);
            }
        }
        Ok(())
    }

    fn advance(&self, version: Version) {
        self.known.set(self.known.get().max(Some(version)));
    }
}
