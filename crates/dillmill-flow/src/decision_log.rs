//! One line for each decision on a packet flow, bounded in number.

use std::fmt::Display;
use std::time::Duration;

use dillmill_core::{EventKind, FlowTuple, Timestamp};
use dillmill_node::Journal;

/// Lines a second, well above what a busy balancer decides on.
const LINES_PER_SECOND: u32 = 200;
/// Lines at once after a quiet time.
const MAX_BUDGET: u32 = 400;

/// Writes decisions into the log while a budget of lines lasts, and counts the rest.
#[derive(Debug)]
pub struct DecisionLog {
    journal: Journal,
    budget: u32,
    refilled_at: Timestamp,
    suppressed: u64,
}

impl DecisionLog {
    /// Creates a log.
    #[must_use]
    pub fn new(journal: Journal, now: Timestamp) -> Self {
        Self { journal, budget: MAX_BUDGET, refilled_at: now, suppressed: 0 }
    }

    fn take(&mut self, now: Timestamp) -> bool {
        let gained = now.since(self.refilled_at).as_millis() * u128::from(LINES_PER_SECOND) / 1000;
        if gained > 0 {
            let gained = u32::try_from(gained).unwrap_or(MAX_BUDGET);
            self.budget = self.budget.saturating_add(gained).min(MAX_BUDGET);
            self.refilled_at = now;
        }
        if self.budget == 0 {
            self.suppressed += 1;
            return false;
        }
        self.budget -= 1;
        true
    }

    /// Logs what was decided on a flow, and what decided it.
    pub fn flow(
        &mut self,
        now: Timestamp,
        flow: &FlowTuple,
        decided: impl Display,
        inputs: impl FnOnce() -> String,
    ) {
        self.line(now, EventKind::Flow, || (format!("{flow} {decided}"), inputs()));
    }

    /// Logs a call in a target's name that was not taken for its own, and why.
    pub fn heartbeat_refused(&mut self, now: Timestamp, why: &str) {
        self.line(now, EventKind::Member, || ("heartbeat refused".to_owned(), why.to_owned()));
    }

    fn line(&mut self, now: Timestamp, kind: EventKind, text: impl FnOnce() -> (String, String)) {
        if !self.take(now) {
            return;
        }
        if self.suppressed > 0 {
            let suppressed = std::mem::take(&mut self.suppressed);
            let what = format!("{suppressed} decisions not logged");
            self.journal.log_only(EventKind::Flow, &what, "more than the log takes");
        }
        let (what, cause) = text();
        self.journal.log_only(kind, &what, &cause);
    }
}

/// Time that has passed, for a log line.
#[must_use]
pub fn format_millis(span: Duration) -> String {
    format!("{} ms", span.as_millis())
}
