//! Processes held for down by silence alone, for so short a time that they may still object.

use std::collections::HashMap;
use std::time::Duration;

use crate::{ProcessId, Timestamp};

/// Longer than the objection of a living process takes to come back.
const OBJECTION_TIME: Duration = Duration::from_millis(500);

/// Guards the flows of a living process against a wrong word of its end: while that is in doubt, a search that does
/// not reach the process proves nothing.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedDowns {
    since: HashMap<ProcessId, Timestamp>,
}

impl UnconfirmedDowns {
    pub(super) fn note(&mut self, process: ProcessId, now: Timestamp) {
        self.since.insert(process, now);
    }

    pub(super) fn clear(&mut self, process: ProcessId) {
        self.since.remove(&process);
    }

    pub(super) fn contains(&self, process: ProcessId) -> bool {
        self.since.contains_key(&process)
    }

    /// Ends what is no longer in doubt; returns whether there was any.
    pub(super) fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.since.len();
        self.since.retain(|_, since| now.since(*since) < OBJECTION_TIME);
        self.since.len() < before
    }
}
