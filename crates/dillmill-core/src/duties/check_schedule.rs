//! Decides when a process checks with the platform's store that its settings are the newest.
//!
//! A watch at the store only shows changes. While it shows none, its connection may have gone silent, so
//! the settings count as confirmed only as of the last answer that was asked for.

use std::time::Duration;

use crate::Timestamp;

/// Time that a change needs from a check to being in force: the check's delay, its answer, and the
/// application.
const APPLY_MARGIN: Duration = Duration::from_millis(600);
/// Share of the maximum age of a confirmation after which it is renewed.
const RENEWAL_SHARE: f64 = 0.6;
/// Pause after the first failed check in a row; each further pause is twice as long.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// The age of a process's confirmation that its settings are the newest, and its failed checks.
#[derive(Debug, Clone, Copy)]
pub struct CheckSchedule {
    max_age: Duration,
    confirmed_at: Timestamp,
    retry_pause: Duration,
    next_try: Timestamp,
}

impl CheckSchedule {
    /// Creates the schedule of a process that starts at `now`, and in which settings must be in force
    /// `limit` after the store has acknowledged them.
    #[must_use]
    pub fn new(limit: Duration, now: Timestamp) -> Self {
        let max_age = limit.saturating_sub(APPLY_MARGIN).max(limit / 2);
        Self { max_age, confirmed_at: now, retry_pause: FIRST_RETRY_PAUSE, next_try: now }
    }

    /// Notes that the settings were the newest at `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(at);
        self.retry_pause = FIRST_RETRY_PAUSE;
    }

    /// Notes that a check has failed.
    pub fn fail(&mut self, now: Timestamp) {
        self.next_try = now + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    /// Returns whether a check is due.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_try && now.since(self.confirmed_at) >= self.max_age.mul_f64(RENEWAL_SHARE)
    }
}
