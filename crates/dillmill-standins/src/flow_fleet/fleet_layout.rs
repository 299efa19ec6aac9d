//! Layout of a fleet: link rate, data centres and limits of flows.

use dillmill_core::{Interval, LinkRate, ZoneName};

use crate::StandinError;
use crate::target_capacity::TargetCapacity;

/// Links and data centres of the VMs of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetLayout {
    /// Link rate in the balancers' settings; `None` for no limit.
    pub link: Option<LinkRate>,
    /// Number of data centres, named `zone-1` and so on, to which the VMs of a kind are assigned in turn.
    pub zones: u8,
    /// Whether callers use two routes of different priority, to targets of few slots that take time for a
    /// request.
    pub overload: bool,
    /// Time for which flows may rest, in the configuration.
    pub idle_timeout: Interval,
}

impl Default for FleetLayout {
    fn default() -> Self {
        Self { link: None, zones: 1, overload: false, idle_timeout: Interval::from_millis(15_000) }
    }
}

impl FleetLayout {
    /// Returns the capacity of the targets.
    pub(super) fn capacity(self) -> TargetCapacity {
        if self.overload { TargetCapacity::SMALL } else { TargetCapacity::default() }
    }

    /// Returns the data centre of the `n`th VM of a kind; `n` starts at 1.
    pub(super) fn zone(self, n: u8) -> Result<ZoneName, StandinError> {
        let name = format!("zone-{}", (n - 1) % self.zones + 1);
        name.parse().map_err(StandinError::at("name a data centre"))
    }
}
