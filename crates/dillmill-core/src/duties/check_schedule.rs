//! Decides when a process checks with the platform's store that its settings are the newest.
//!
//! A watch at the store only shows changes: while it shows none, its connection may have gone silent, or
//! its process may be gone. So each process knows as of when its settings are confirmed to be the newest.
//! Whoever checks them with the store tells the others by gossip. A process whose confirmation is too old
//! checks by itself, whatever it believes about the others: the first in an order that all processes
//! agree on early, the others one after the other until the age would exceed the limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Revision, Timestamp};

/// Time that a change needs from a check to being in force: the check's delay, its answer, and the
/// application.
const APPLY_MARGIN: Duration = Duration::from_millis(600);
/// Share of the maximum age of a confirmation at which the first process renews it.
const FIRST_RENEWAL: f64 = 0.6;
/// Pause after the first failed check in a row; each further pause is twice as long.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// A confirmation that is newer by less is not passed on: the age is inexact by the transit time.
const MIN_GAIN: Duration = Duration::from_millis(100);
/// Number of times that a confirmation is passed on, enough to reach a thousand processes. Each hop makes
/// it appear younger by the transit time.
const MAX_HOPS: u8 = 8;

/// States as of when certain settings were the newest, as processes tell it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Revision of the settings.
    pub revision: Revision,
    /// Revision of the evacuation orders.
    pub evacuations: Revision,
    /// Time since the store was asked, in milliseconds.
    pub age_ms: u32,
    /// Number of times that the confirmation may still be passed on.
    pub hops_left: u8,
}

impl Confirmation {
    /// Creates the confirmation of a process that asked the store at `asked`.
    #[must_use]
    pub fn new(
        revision: Revision,
        evacuations: Revision,
        asked: Timestamp,
        now: Timestamp,
    ) -> Self {
        let age_ms = u32::try_from(now.since(asked).as_millis()).unwrap_or(u32::MAX);
        Self { revision, evacuations, age_ms, hops_left: MAX_HOPS }
    }

    /// Returns when the store was asked, for a confirmation that is received at `now`.
    #[must_use]
    pub fn asked_at(&self, now: Timestamp) -> Timestamp {
        now - Duration::from_millis(self.age_ms.into())
    }

    /// Returns whether the confirmation is news to a process whose own is of `known`.
    #[must_use]
    pub fn is_news(&self, known: Timestamp, now: Timestamp) -> bool {
        self.asked_at(now) > known + MIN_GAIN
    }

    /// Returns the confirmation as it is passed on at once, unless it has been passed on often enough.
    #[must_use]
    pub fn next_hop(self) -> Option<Self> {
        let hops_left = self.hops_left.checked_sub(1)?;
        Some(Self { hops_left, ..self })
    }
}

/// Place of a process in the order in which processes check the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckOrder {
    /// Number of live processes that come before it.
    pub before: usize,
    /// Number of live processes.
    pub all: usize,
}

impl CheckOrder {
    /// The last place, for a process that does not know the others.
    pub const LAST: Self = Self { before: 0, all: 0 };

    /// Returns the place as a share of the way from the first to the last, from 0 to 1. It grows with the
    /// logarithm, so that few processes check before the first of them have told the others.
    fn share(self) -> f64 {
        if self.before >= self.all {
            return 1.0;
        }
        let log = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX)).ln_1p();
        log(self.before) / log(self.all)
    }
}

/// The age of a process's confirmation that its settings are the newest, and its failed checks.
#[derive(Debug, Clone, Copy)]
pub struct CheckSchedule {
    max_age: Duration,
    retry_pause: Duration,
    next_try: Timestamp,
}

impl CheckSchedule {
    /// Creates the schedule of a process in which settings must be in force `limit` after the store has
    /// acknowledged them.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        let max_age = limit.saturating_sub(APPLY_MARGIN).max(limit / 2);
        Self { max_age, retry_pause: FIRST_RETRY_PAUSE, next_try: Timestamp::default() }
    }

    /// Returns the age of the confirmation below which no process checks.
    #[must_use]
    pub fn min_age(&self) -> Duration {
        self.max_age.mul_f64(FIRST_RENEWAL)
    }

    /// Returns whether a process in this place of the order has to check, if its settings were confirmed
    /// at `confirmed`.
    #[must_use]
    pub fn is_due(&self, order: CheckOrder, confirmed: Timestamp, now: Timestamp) -> bool {
        let spread = (1.0 - FIRST_RENEWAL) * order.share();
        now >= self.next_try && now.since(confirmed) >= self.max_age.mul_f64(FIRST_RENEWAL + spread)
    }

    /// Notes that a check has succeeded.
    pub fn succeed(&mut self) {
        self.retry_pause = FIRST_RETRY_PAUSE;
    }

    /// Notes that a check has failed.
    pub fn fail(&mut self, now: Timestamp) {
        self.next_try = now + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }
}
