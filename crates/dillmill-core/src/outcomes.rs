//! Whether a target breaks off what it is given, judged by what passes.
//!
//! A target that goes down and up may go on accepting flows and reset each one once its request is there. It
//! answers nothing, so it seems to have the least to do of all, and draws new flows.

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
    broken_off: u32,
    answered: u32,
    rest: Duration,
    aside_until: Option<Timestamp>,
}

impl Default for Outcomes {
    fn default() -> Self {
        Self { broken_off: 0, answered: 0, rest: FIRST_REST, aside_until: None }
    }
}

impl Outcomes {
    /// Notes an answer.
    pub fn answer(&mut self) {
        self.broken_off = 0;
        self.answered = self.answered.saturating_add(1);
        if self.answered >= SOUND {
            self.rest = FIRST_REST;
        }
    }

    /// Notes that the target has reset a flow on which a request waited for its answer.
    pub fn break_off(&mut self, now: Timestamp) {
        if self.failing(now) {
            // Given to it before it was set aside.
            return;
        }
        self.answered = 0;
        self.broken_off += 1;
        if self.broken_off >= FAILURES {
            self.aside_until = Some(now + self.rest);
            self.rest = (self.rest * 2).min(LONGEST_REST);
            // The next request tells whether it has recovered.
            self.broken_off = FAILURES - 1;
        }
    }

    /// Returns whether the target is set aside, since it has broken off several requests in a row.
    #[must_use]
    pub fn failing(&self, now: Timestamp) -> bool {
        self.aside_until.is_some_and(|until| now < until)
    }
}
