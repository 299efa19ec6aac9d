//! Limits the request rate of a cold target, one that has only just started.
//!
//! A cold target can carry only a certain number of requests per second. Under more it crashes,
//! restarts cold and receives all its work at once, so that it crashes again and again. The agent
//! beside it enforces the limit, as it is the only place that all of the target's traffic passes,
//! whoever sends it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Window over which requests are counted, as the rate is given per second.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests that a target received lately, and its limit while it is cold.
#[derive(Debug, Default)]
pub struct ColdStart {
    /// Requests per second that a cold target can carry; `None` if not configured.
    rate: Option<u32>,
    /// Time until which the target is cold.
    cold_until: Option<Timestamp>,
    /// Arrival times of the requests within the window.
    received: VecDeque<Timestamp>,
}

impl ColdStart {
    /// Sets the requests per second that a cold target of the service can carry.
    pub fn set_rate(&mut self, rate: Option<u32>) {
        self.rate = rate;
    }

    /// Resets the state for another run of the target, which has received nothing and reported
    /// nothing yet.
    pub fn restart(&mut self) {
        self.cold_until = None;
        self.received.clear();
    }

    /// Sets how much longer the target stays cold.
    pub fn set_remaining(&mut self, remaining: Duration, now: Timestamp) {
        self.cold_until = (!remaining.is_zero()).then(|| now + remaining);
    }

    /// Returns whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.cold_until.is_some_and(|cold_until| now < cold_until)
    }

    /// Returns the maximum requests per second while the target is cold.
    #[must_use]
    pub fn limit(&self, now: Timestamp) -> Option<u32> {
        self.rate.filter(|_| self.is_cold(now))
    }

    /// Returns the number of requests that the target received within the last second.
    pub fn received(&mut self, now: Timestamp) -> u32 {
        self.remove_expired(now);
        u32::try_from(self.received.len()).unwrap_or(u32::MAX)
    }

    /// Records a request, or a new flow that is about to bring one.
    pub fn note(&mut self, now: Timestamp) {
        let Some(limit) = self.limit(now) else { return self.received.clear() };
        self.remove_expired(now);
        // More than the limit arrive only over flows that are already open.
        let max_recorded = usize::try_from(limit).unwrap_or(usize::MAX).saturating_mul(4);
        if self.received.len() < max_recorded {
            self.received.push_back(now);
        }
    }

    /// Returns whether the target may receive one more request now. No window of one second may
    /// exceed the limit, wherever it begins.
    pub fn room(&mut self, now: Timestamp) -> bool {
        let Some(limit) = self.limit(now) else { return true };
        self.remove_expired(now);
        self.received.len() < usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Removes the arrivals that have left the window.
    fn remove_expired(&mut self, now: Timestamp) {
        while self.received.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.received.pop_front();
        }
    }
}
