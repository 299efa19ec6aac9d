//! Defines the speed of a target as measured by its agent.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Request limit of a cold target, one that has only just started, and its use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLoad {
    /// Requests per second that the cold target can carry.
    pub limit: u32,
    /// Requests that it received within the last second, and those that wait for it.
    pub received: u32,
}

/// Speed of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPace {
    /// Service time: time that the target takes for a request that does not queue; zero if
    /// unknown.
    pub work: Duration,
    /// Limit and use while the target is cold and can carry only little.
    pub cold: Option<ColdLoad>,
}
