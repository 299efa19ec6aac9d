//! Settings that govern decisions under overload.

use crate::Percent;

/// Percentage of turns kept for waiting requests of lower priority, so that a lasting overload by
/// urgent requests does not stop the others altogether.
const DEFAULT_LOW_PRIORITY_SHARE: Percent = Percent(20);

/// Decisions under overload that are in force for a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadPolicy {
    /// Whether waiting requests are served by the priority of their routes.
    pub priority_order: bool,
    /// Whether overloaded agents exchange loads with siblings, and pass new and waiting flows to
    /// those that serve them sooner.
    pub load_sharing: bool,
    /// Whether balancers refuse new flows, and agents refuse waiting ones, that can't be served
    /// before their callers give up.
    pub admission_control: bool,
    /// Percentage of turns kept for waiting requests of lower priority.
    pub low_priority_share: Percent,
}

impl Default for OverloadPolicy {
    fn default() -> Self {
        Self {
            priority_order: true,
            load_sharing: true,
            admission_control: true,
            low_priority_share: DEFAULT_LOW_PRIORITY_SHARE,
        }
    }
}
