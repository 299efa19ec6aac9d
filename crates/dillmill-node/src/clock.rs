//! The clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use dillmill_core::Timestamp;

/// The only place where a process reads the time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    epoch: Timestamp,
}

impl Clock {
    /// Starts a clock at the system's time.
    #[must_use]
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), epoch: Timestamp::default() + since }
    }

    /// Returns the present time, which never goes back.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.epoch + self.started.elapsed()
    }
}
