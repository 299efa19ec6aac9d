//! Decides whether the run of a target that its agent knows still holds the target's address.
//!
//! The address of a run that has ended may go to a target of another service. Packets from the address
//! do not tell which run sent them; only heartbeats name their run.

use std::time::Duration;

use crate::Timestamp;

/// Heartbeat intervals for which a heartbeat confirms its run, so that the next one may be late by half
/// an interval.
const CONFIRMED_INTERVALS: f64 = 1.5;
/// Delay between the sending and the handling of a heartbeat, and between a decision and the arrival of
/// its packet at the target.
const HANDLING_DELAY: Duration = Duration::from_millis(200);

/// When the current run of a target was last known to hold the target's address.
#[derive(Debug)]
pub struct RunConfirmation {
    lifetime: Duration,
    /// First heartbeat of the run, or the agent's start.
    since: Timestamp,
    confirmed_at: Timestamp,
    revoked_at: Option<Timestamp>,
}

impl RunConfirmation {
    /// Creates the state of an agent that starts at `now` beside a target which sends a heartbeat every
    /// `interval`. The settings with which an agent starts name the service of its target.
    #[must_use]
    pub fn new(interval: Duration, now: Timestamp) -> Self {
        let lifetime = interval.mul_f64(CONFIRMED_INTERVALS);
        Self { lifetime, since: now, confirmed_at: now, revoked_at: None }
    }

    /// Sets the minimum time between the end of a run and the start of another target at its address.
    #[must_use]
    pub fn address_kept_for(mut self, kept: Duration) -> Self {
        self.lifetime = self.lifetime.max(kept.saturating_sub(HANDLING_DELAY));
        self
    }

    /// Notes that another run has begun.
    pub fn begin(&mut self, now: Timestamp) {
        self.since = now;
    }

    /// Notes a heartbeat of the current run, which was sent at `at` or later.
    pub fn confirm(&mut self, at: Timestamp) {
        if self.revoked_at.is_some_and(|revoked| at <= revoked) {
            return;
        }
        self.revoked_at = None;
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Notes that the target does not hold a flow that it took at `taken`. If the current run took the
    /// flow, this run has ended.
    pub fn lost_flow(&mut self, taken: Timestamp, now: Timestamp) {
        if taken >= self.since {
            self.revoked_at = Some(now);
        }
    }

    /// Returns whether no other run can hold the address yet.
    #[must_use]
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.revoked_at.is_none() && now.since(self.confirmed_at) < self.lifetime
    }
}
