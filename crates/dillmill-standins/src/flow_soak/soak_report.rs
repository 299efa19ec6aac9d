//! Result of a soak run.

use std::path::PathBuf;

/// Result of a soak.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Violated guarantees, with the time of each.
    pub violations: Vec<String>,
    /// Injected faults and changes, in order.
    pub actions: Vec<String>,
    /// Number of answered requests.
    pub answered: u64,
    /// Number of flows and attempts that ended without an answer, as faults explain.
    pub ended_unanswered: u64,
    /// Folder with the logs of all processes, kept if a guarantee was violated.
    pub logs: Option<PathBuf>,
}
