//! How long a process that has started waits for its peers before it asks the platform's store.
//!
//! In a small fleet each tenth of a second counts, and a few calls do not. In a large one nearly all processes know
//! nobody for a moment when everything starts, and their peers tell them soon.

use std::time::Duration;

use crate::membership::FleetSize;

/// Fleets up to this size ask without waiting for each other.
const SMALL: u32 = 64;

/// A wait of `base` and more, of which each process draws its own share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartDelay {
    /// The least.
    pub base: Duration,
    /// How much longer the last of a small fleet waits.
    pub spread: Duration,
    /// How much longer still for each process beyond a small fleet.
    pub per_process: Duration,
}

impl StartDelay {
    /// Returns how long the process waits that has drawn `share`, from 0 to 1; `size` is 0 where it is not known.
    #[must_use]
    pub fn of(&self, share: f64, size: FleetSize) -> Duration {
        let beyond = size.0.saturating_sub(SMALL);
        let spread = self.spread + self.per_process * beyond;
        self.base + spread.mul_f64(share.clamp(0.0, 1.0))
    }
}
