//! Logs one line for each decision on a packet flow, at a limited rate.

use std::fmt::Display;
use std::time::Duration;

use dillmill_core::{EventKind, FlowTuple, Timestamp};
use dillmill_node::Journal;

/// Lines per second that the budget gains, well above the decisions per second of a busy balancer.
const LINES_PER_SECOND: u32 = 200;
/// Most lines that can be logged in a burst after a quiet time.
const MAX_BUDGET: u32 = 400;

/// Logs decisions while the budget of lines lasts, and counts those that are left out.
#[derive(Debug)]
pub struct DecisionLog {
    journal: Journal,
    budget: u32,
    refilled_at: Timestamp,
    suppressed: u64,
}

impl DecisionLog {
    /// Creates a log with a full budget of lines.
    #[must_use]
    pub fn new(journal: Journal, now: Timestamp) -> Self {
        Self { journal, budget: MAX_BUDGET, refilled_at: now, suppressed: 0 }
    }

    fn take_budget(&mut self, now: Timestamp) -> bool {
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

    /// Logs a decision on a flow, and the inputs that led to it.
    pub fn flow(
        &mut self,
        now: Timestamp,
        flow: &FlowTuple,
        decided: impl Display,
        inputs: impl FnOnce() -> String,
    ) {
        self.line(now, EventKind::Flow, || (format!("{flow} {decided}"), inputs()));
    }

    /// Logs that a call made in a target's name was refused, and the reason.
    pub fn heartbeat_refused(&mut self, now: Timestamp, reason: &str) {
        self.line(now, EventKind::Member, || ("heartbeat refused".to_owned(), reason.to_owned()));
    }

    fn line(&mut self, now: Timestamp, kind: EventKind, text: impl FnOnce() -> (String, String)) {
        if !self.take_budget(now) {
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

/// Formats a time span in milliseconds for a log line.
#[must_use]
pub fn format_millis(span: Duration) -> String {
    format!("{} ms", span.as_millis())
}
