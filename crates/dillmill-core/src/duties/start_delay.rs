//! Computes how long a starting process waits for its peers before it queries the platform's
//! store.
//!
//! In a small fleet each tenth of a second counts, while a few calls do not. In a large fleet
//! nearly all processes know no peer for a moment when everything starts, and soon learn from
//! their peers.

use std::time::Duration;

use crate::membership::FleetSize;

/// Largest fleet whose processes query the store without waiting for each other.
const SMALL: u32 = 64;

/// A delay of at least `base`, of which each process draws a random share of the rest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartDelay {
    /// Minimum delay.
    pub base: Duration,
    /// Additional delay of the last process of a small fleet.
    pub spread: Duration,
    /// Further delay for each process beyond a small fleet.
    pub per_process: Duration,
}

impl StartDelay {
    /// Returns the delay of a process that has drawn `share`, from 0 to 1; `size` is 0 if
    /// unknown.
    #[must_use]
    pub fn of(&self, share: f64, size: FleetSize) -> Duration {
        let beyond = size.0.saturating_sub(SMALL);
        let spread = self.spread + self.per_process * beyond;
        self.base + spread.mul_f64(share.clamp(0.0, 1.0))
    }
}
