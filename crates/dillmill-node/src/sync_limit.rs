//! Limits the number of synchronisations that a process answers at once.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of synchronisations at once, as those that send whole tables saturate a slow link for a
/// moment.
const MAX_CONCURRENT_SYNCS: usize = 16;

/// Issues permits for synchronisations.
///
/// When the whole fleet starts, many processes contact the same peer, the first one that they know. Those
/// that are refused contact another peer, which knows as much.
#[derive(Debug, Clone, Default)]
pub(crate) struct SyncLimit {
    in_use: Rc<Cell<usize>>,
}

/// A permit for one synchronisation, returned when it is dropped.
#[derive(Debug)]
pub(crate) struct SyncPermit {
    in_use: Rc<Cell<usize>>,
}

impl SyncLimit {
    /// Returns a permit, or `None` if all are in use.
    pub(crate) fn acquire(&self) -> Option<SyncPermit> {
        let in_use = self.in_use.get();
        if in_use >= MAX_CONCURRENT_SYNCS {
            return None;
        }
        self.in_use.set(in_use + 1);
        Some(SyncPermit { in_use: self.in_use.clone() })
    }
}

impl Drop for SyncPermit {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
