//! Detects that this process itself was paused.

use std::time::Duration;

use crate::Timestamp;

/// Detects pauses by the time between two checks.
///
/// A process that was paused has received no answers in the meantime, and must not treat its peers as
/// unresponsive for that. It checks at every tick; a check that comes far too late means that it was
/// paused.
#[derive(Debug)]
pub struct PauseDetector {
    limit: Duration,
    last: Option<Timestamp>,
}

impl PauseDetector {
    /// Creates a detector that treats a gap of more than `limit` as a pause.
    #[must_use]
    pub const fn new(limit: Duration) -> Self {
        Self { limit, last: None }
    }

    /// Returns whether the process was paused since the last call.
    pub fn was_paused(&mut self, now: Timestamp) -> bool {
        self.paused_since(now).is_some()
    }

    /// Returns the time of the last call if the process was paused since then.
    pub fn paused_since(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.last.replace(now).filter(|last| now.since(*last) > self.limit)
    }
}
