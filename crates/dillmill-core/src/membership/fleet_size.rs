//! The steady-state number of processes in the fleet, as kept in the platform's store.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A number of processes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FleetSize(pub u32);

/// Error for text that is not a [`FleetSize`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a number of processes up to {max}", max = FleetSize::MAX)]
pub struct FleetSizeError(String);

impl FleetSize {
    /// Largest number that can be the size of a fleet. Processes that start wait in proportion to it.
    pub const MAX: Self = Self(20_000);
}

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for FleetSize {
    type Err = FleetSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let size = text.trim().parse().ok().map(Self);
        size.filter(|size| *size <= Self::MAX).ok_or_else(|| FleetSizeError(text.to_owned()))
    }
}

/// The fleet size kept in the platform's store.
///
/// Processes that start after a power failure use it to tell when they know all other processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSize {
    /// Number of processes, or 0 if unknown.
    pub size: FleetSize,
    /// Version of the entry in the store; a higher one is newer.
    pub version: u64,
}
