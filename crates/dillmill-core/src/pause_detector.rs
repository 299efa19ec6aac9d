//! Notices that this process itself was paused.

use std::time::Duration;

use crate::Timestamp;

/// Watches the time between two looks.
///
/// A process that stood still finds that nobody has answered it for a while, and must blame nobody for
/// that. It looks at every tick; a look that comes much too late means that it was paused.
#[derive(Debug)]
pub struct PauseDetector {
    limit: Duration,
    last: Option<Timestamp>,
}

impl PauseDetector {
    /// Creates a watch that takes a gap of more than `limit` for a pause.
    #[must_use]
    pub const fn new(limit: Duration) -> Self {
        Self { limit, last: None }
    }

    /// Looks, and returns whether the process was paused since the last look.
    pub fn was_paused(&mut self, now: Timestamp) -> bool {
        let last = self.last.replace(now);
        last.is_some_and(|last| now.since(last) > self.limit)
    }
}
