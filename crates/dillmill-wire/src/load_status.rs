//! The load of an agent's target, as a part of the status of the agent's process.

use dillmill_core::{PRIORITY_CLASSES, Slots};
use serde::{Deserialize, Serialize};

/// Load of an agent's target and of the packets that wait for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Slots that the target has now; zero while it takes no new work.
    pub slots: Slots,
    /// Requests at the target.
    pub requests: u32,
    /// Packets or requests that wait at the agent.
    pub waiting: u32,
    /// The same by the class of their priority; `None` if the agent does not order them by priority.
    pub waiting_by_class: Option<[u16; PRIORITY_CLASSES]>,
    /// Time that the target takes for a request that does not queue, in milliseconds; `None` if it is
    /// not known.
    pub service_time_ms: Option<u64>,
    /// Load that the open flows are expected to bring, in thousandths of a slot; `None` if the agent does
    /// not learn it.
    pub flow_demand: Option<u32>,
}
