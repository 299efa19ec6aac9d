//! The clock from which a process reads the time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use dillmill_core::Timestamp;

/// A clock that never goes back; the only place where a process reads the time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    epoch: Timestamp,
}

impl Clock {
    /// Starts a clock at the current system time.
    #[must_use]
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), epoch: Timestamp::default() + since }
    }

    /// Returns the current time, which never goes back, even if the system time does.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.epoch + self.started.elapsed()
    }
}
