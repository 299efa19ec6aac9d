//! Settings for decisions under overload, with their inheritance.

use dillmill_core::{OverloadPolicy, Percent, Priority, ServiceName};
use serde::{Deserialize, Serialize};

/// Maximum of `low-priority-share`: beyond half of the turns, low priority would go before high.
pub const MAX_LOW_PRIORITY_SHARE: Percent = Percent(50);

/// Settings for decisions under overload at one node of the tree. A value that a node does not set is
/// inherited from the next level: the route, its service, the root, then the built-in default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Overload {
    /// Whether waiting requests are served by the priority of their routes.
    pub priority_order: Option<bool>,
    /// Whether overloaded agents exchange loads with siblings, and pass new and waiting flows to those
    /// that serve them sooner.
    pub load_sharing: Option<bool>,
    /// Whether balancers refuse new flows, and agents refuse waiting ones, that can't be served before
    /// their callers give up.
    pub admission_control: Option<bool>,
    /// Percentage of turns kept for waiting requests of lower priority, 50 at most.
    pub low_priority_share: Option<Percent>,
}

impl Overload {
    /// Returns the settings in force, with what this node does not set taken from `inherited`.
    #[must_use]
    pub fn resolve(&self, inherited: OverloadPolicy) -> OverloadPolicy {
        OverloadPolicy {
            priority_order: self.priority_order.unwrap_or(inherited.priority_order),
            load_sharing: self.load_sharing.unwrap_or(inherited.load_sharing),
            admission_control: self.admission_control.unwrap_or(inherited.admission_control),
            low_priority_share: self.low_priority_share.unwrap_or(inherited.low_priority_share),
        }
    }

    /// Returns whether all values are valid.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.low_priority_share.is_none_or(|share| share <= MAX_LOW_PRIORITY_SHARE)
    }
}

/// The settings for overload of all nodes of a route tree that have any.
///
/// Processes send them beside the tree, as earlier versions read the tree without them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadSettings {
    /// Settings of the root.
    pub root: Overload,
    /// Settings of services.
    pub services: Vec<(ServiceName, Overload)>,
    /// Priorities and settings of routes, by name.
    pub routes: Vec<(String, Option<Priority>, Overload)>,
}
