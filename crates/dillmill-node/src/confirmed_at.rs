//! Time as of which the settings of a process are confirmed, shared between its tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dillmill_core::Timestamp;

/// Time as of which the settings in force were the newest. Views do not contain it, as it changes all the
/// time.
#[derive(Debug, Clone)]
pub struct ConfirmedAt(Arc<AtomicU64>);

impl ConfirmedAt {
    pub(crate) fn new(at: Timestamp) -> Self {
        Self(Arc::new(AtomicU64::new(at.0)))
    }

    /// Returns the time.
    #[must_use]
    pub fn get(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::Relaxed))
    }

    pub(crate) fn raise(&self, at: Timestamp) {
        self.0.fetch_max(at.0, Ordering::Relaxed);
    }
}
