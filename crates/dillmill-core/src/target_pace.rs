//! How fast a target works, as its agent sees it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a target that has only just started may get, and has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLoad {
    /// Requests a second that it carries.
    pub limit: u32,
    /// Requests that it has got within the last second, and those that wait for it.
    pub received: u32,
}

/// How fast a target works.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPace {
    /// Time that it takes for a request that does not wait; zero where that is not known.
    pub work: Duration,
    /// It has only just started and carries little.
    pub cold: Option<ColdLoad>,
}
