//! Defines the load of a target as its agent observes it.

/// Load of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Unanswered requests, including those expected on new flows.
    pub requests: u32,
    /// Open flows.
    pub flows: u32,
}
