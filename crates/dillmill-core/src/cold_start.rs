//! How many requests a target gets that has only just started.
//!
//! A cold target carries so many requests a second. One that gets more falls over, starts again, cold, and gets all
//! its work at once, so that it falls over again and again. The agent beside it is the one place where all that it
//! gets passes, whoever sends it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// The span in which requests are counted: a target's rate is told for a second.
const SPAN: Duration = Duration::from_secs(1);

/// What a target has got lately, and how much more it may get while it is cold.
#[derive(Debug, Default)]
pub struct ColdStart {
    /// Requests a second that a cold target carries; `None` where nothing is told.
    rate: Option<u32>,
    /// The target is cold until then.
    until: Option<Timestamp>,
    /// When it got its latest requests, as far as they are within the span.
    received: VecDeque<Timestamp>,
}

impl ColdStart {
    /// Sets the requests a second that a cold target of the service carries.
    pub fn set_rate(&mut self, rate: Option<u32>) {
        self.rate = rate;
    }

    /// Another run of the target has begun, which has got nothing and has said nothing yet.
    pub fn restart(&mut self) {
        self.until = None;
        self.received.clear();
    }

    /// Sets how much longer the target is cold.
    pub fn set_remaining(&mut self, left: Duration, now: Timestamp) {
        self.until = (!left.is_zero()).then(|| now + left);
    }

    /// Returns whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns how many requests a second the target may get at most.
    #[must_use]
    pub fn limit(&self, now: Timestamp) -> Option<u32> {
        self.rate.filter(|_| self.is_cold(now))
    }

    /// Returns the requests that the target has got within the last second.
    pub fn received(&mut self, now: Timestamp) -> u32 {
        self.forget(now);
        u32::try_from(self.received.len()).unwrap_or(u32::MAX)
    }

    /// Notes that the target gets a request, or a flow that is about to bring one.
    pub fn note(&mut self, now: Timestamp) {
        let Some(limit) = self.limit(now) else { return self.received.clear() };
        self.forget(now);
        // More of them than the limit only come over flows that are open already.
        let most = usize::try_from(limit).unwrap_or(usize::MAX).saturating_mul(4);
        if self.received.len() < most {
            self.received.push_back(now);
        }
    }

    /// Returns whether the target may get one more request now: in no span may it get more than it carries, wherever the span
    /// begins.
    pub fn room(&mut self, now: Timestamp) -> bool {
        let Some(limit) = self.limit(now) else { return true };
        self.forget(now);
        self.received.len() < usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Forgets what is no longer within the span.
    fn forget(&mut self, now: Timestamp) {
        while self.received.front().is_some_and(|at| now.since(*at) >= SPAN) {
            self.received.pop_front();
        }
    }
}
