//! Capacity of the stand-in for targets of packet flows.

use std::time::Duration;

/// Slots of a target, and the time for which a request takes one of them.
#[derive(Debug, Clone, Copy)]
pub struct TargetCapacity {
    /// Number of slots, as reported in heartbeats.
    pub slots: u16,
    /// Time from the start of a request to its answer; requests are answered on arrival if it is zero.
    pub service_time: Duration,
}

impl TargetCapacity {
    /// A target that few callers overload: it serves 66 requests per second.
    pub const SMALL: Self = Self { slots: 2, service_time: Duration::from_millis(30) };
}

impl Default for TargetCapacity {
    fn default() -> Self {
        Self { slots: 5, service_time: Duration::ZERO }
    }
}
