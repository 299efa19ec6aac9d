//! Detects a failing target from the outcomes of the requests that pass, and ejects it for a
//! while.
//!
//! A target that keeps crashing and restarting may accept flows and reset each one once its
//! request arrives. Another may answer every request at once with an error, or not at all, while
//! its heartbeats look good. Targets of the first two kinds appear the least loaded of all, and
//! so attract new flows.

use std::time::Duration;

use crate::Timestamp;

/// Consecutive reset requests that indicate a faulty target; one or two may have been caused by
/// the callers.
const FAILURE_THRESHOLD: u32 = 3;
/// Initial and maximum ejection time. It doubles while the first request after an ejection fails
/// as well.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// Consecutive answers after which the ejection time returns to its initial value.
const RECOVERY_ANSWERS: u32 = 8;

/// Outcomes of the latest requests at a target, and its ejection state.
#[derive(Debug)]
pub struct Outcomes {
    failed: u32,
    answered: u32,
    ejection_time: Duration,
    ejected_until: Option<Timestamp>,
}

impl Default for Outcomes {
    fn default() -> Self {
        Self { failed: 0, answered: 0, ejection_time: INITIAL_EJECTION, ejected_until: None }
    }
}

impl Outcomes {
    /// Records an answer.
    pub fn answer(&mut self) {
        self.failed = 0;
        self.answered = self.answered.saturating_add(1);
        if self.answered >= RECOVERY_ANSWERS {
            self.ejection_time = INITIAL_EJECTION;
        }
    }

    /// Records a request that a target with `slots` leaves without any answer.
    ///
    /// The target is faulty once as many requests as it has slots are overdue, as it takes no
    /// others then.
    pub fn overdue(&mut self, slots: u32, now: Timestamp) {
        self.record_failure(slots.clamp(1, FAILURE_THRESHOLD), now);
    }

    /// Records that the target reset a flow that was waiting for the answer to a request.
    pub fn request_reset(&mut self, now: Timestamp) {
        self.record_failure(FAILURE_THRESHOLD, now);
    }

    /// Records an outlier answer; `threshold` consecutive ones indicate a fault.
    pub fn outlier_answer(&mut self, threshold: u32, now: Timestamp) {
        self.record_failure(threshold, now);
    }

    fn record_failure(&mut self, threshold: u32, now: Timestamp) {
        if self.failing(now) {
            // The request was sent to the target before its ejection.
            return;
        }
        self.answered = 0;
        self.failed += 1;
        if self.failed >= threshold {
            self.ejected_until = Some(now + self.ejection_time);
            self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION);
            // The next request shows whether the target has recovered: one more failure ejects it
            // again.
            self.failed = threshold - 1;
        }
    }

    /// Returns whether the target is ejected, after several consecutive failures.
    #[must_use]
    pub fn failing(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
