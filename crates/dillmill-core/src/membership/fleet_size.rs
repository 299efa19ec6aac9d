//! The steady-state number of processes in the fleet, as kept in the platform's store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A number of processes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FleetSize(pub u32);

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for FleetSize {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
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
