//! Whether a target fails what it is given, judged by what passes.
//!
//! A target that goes down and up may go on accepting flows and reset each one once its request is there; another
//! answers each request at once with an error, or none at all, while its heartbeats are good. The first two seem to have
//! the least to do of all, and draw new flows.

use std::time::Duration;

use crate::Timestamp;

/// Requests broken off one after the other that show a fault of the target: one or two may be a caller's own.
const FAILURES: u32 = 3;
/// How long a target is set aside at first, and at most; it doubles while the first request after it fails too.
const FIRST_REST: Duration = Duration::from_millis(500);
const LONGEST_REST: Duration = Duration::from_secs(2);
/// Answers in a row after which a target counts as sound again.
const SOUND: u32 = 8;

/// How the last requests at a target ended.
#[derive(Debug)]
pub struct Outcomes {
    failed: u32,
    answered: u32,
    rest: Duration,
    aside_until: Option<Timestamp>,
}

impl Default for Outcomes {
    fn default() -> Self {
        Self { failed: 0, answered: 0, rest: FIRST_REST, aside_until: None }
    }
}

impl Outcomes {
    /// Notes an answer.
    pub fn answer(&mut self) {
        self.failed = 0;
        self.answered = self.answered.saturating_add(1);
        if self.answered >= SOUND {
            self.rest = FIRST_REST;
        }
    }

    /// Notes a request that a target with `slots` leaves without any answer.
    ///
    /// As many of them as it has slots show a fault: it takes no others then.
    pub fn overdue(&mut self, slots: u32, now: Timestamp) {
        self.fail(slots.clamp(1, FAILURES), now);
    }

    /// Notes that the target has reset a flow on which a request waited for its answer.
    pub fn request_reset(&mut self, now: Timestamp) {
        self.fail(FAILURES, now);
    }

    /// Notes an answer that is out of line; `threshold` of them, one after the other, show a fault.
    pub fn outlier_answer(&mut self, threshold: u32, now: Timestamp) {
        self.fail(threshold, now);
    }

    fn fail(&mut self, threshold: u32, now: Timestamp) {
        if self.failing(now) {
            // Given to it before it was set aside.
            return;
        }
        self.answered = 0;
        self.failed += 1;
        if self.failed >= threshold {
            self.aside_until = Some(now + self.rest);
            self.rest = (self.rest * 2).min(LONGEST_REST);
            // The next request tells whether it has recovered.
            self.failed = threshold - 1;
        }
    }

    /// Returns whether the target is set aside, since it has failed several requests in a row.
    #[must_use]
    pub fn failing(&self, now: Timestamp) -> bool {
        self.aside_until.is_some_and(|until| now < until)
    }
}
