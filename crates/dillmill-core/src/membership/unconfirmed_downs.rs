//! Tracks processes that were declared down for silence alone, so recently that they may still refute it.

use std::collections::HashMap;
use std::time::Duration;

use crate::{ProcessId, Timestamp};

/// Longer than a running process takes to hear of the declaration and refute it.
const REFUTATION_WINDOW: Duration = Duration::from_millis(500);

/// Processes declared down for silence within the last [`REFUTATION_WINDOW`].
///
/// This protects the flows of a process that was wrongly declared down. Until the window has passed, a
/// search for the owner of a flow that does not reach the process proves nothing.
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

    /// Removes entries whose refutation window has passed; returns whether there were any.
    pub(super) fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.since.len();
        self.since.retain(|_, since| now.since(*since) < REFUTATION_WINDOW);
        self.since.len() < before
    }
}
