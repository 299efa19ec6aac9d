//! What a soak runs with, by its seed. Seeds keep their meaning, as failed ones are kept as tests.

use crate::flow_fleet::FleetLayout;

/// Seeds from this one on run with thin links at the balancers, so that packets wait there. Lower seeds
/// run without, as they did when they failed.
const FIRST_THIN_LINK_SEED: u64 = 300;
/// About 100 kB/s, which the callers' packets and the messages between processes fill from time to time.
const THIN_LINK: &str = "0.8 Mbit/s";
/// Seeds from this one on run in two data centres, one of which is evacuated from time to time.
const FIRST_ZONES_SEED: u64 = 400;
/// Seeds from this one on run with routes of two priorities, to targets of few slots that take time for a
/// request.
const FIRST_OVERLOAD_SEED: u64 = 500;
/// Seeds from this one on run with short bursts on the ports of earlier ones, between which routes change
/// and balancers are killed or paused.
const FIRST_REUSED_PORTS_SEED: u64 = 10_000;
/// Seeds from this one on run with faults that hit many machines or connections at once.
const FIRST_OUTAGES_SEED: u64 = 15_000;
/// Seeds from this one on run with planned operations only, which come in series and overlap.
const FIRST_PLANNED_SEED: u64 = 20_000;
/// Seeds from this one on do so with many processes.
const FIRST_CROWDED_SEED: u64 = 30_000;

/// Number of data centres of fleets that have several.
pub(super) const ZONES: u8 = 2;

/// The fleet of a soak, its callers, and the kind of its faults.
#[derive(Debug, Clone, Copy)]
pub(super) struct SoakPlan {
    pub(super) layout: FleetLayout,
    pub(super) balancers: u8,
    /// Targets of each service.
    pub(super) targets: u8,
    pub(super) callers: u8,
    /// Bursts use the ports of earlier ones again.
    pub(super) reused_ports: bool,
    /// Faults hit many machines or connections at once.
    pub(super) outages: bool,
    /// Only planned operations, none of which callers may notice.
    pub(super) planned: bool,
}

impl SoakPlan {
    pub(super) fn of(seed: u64) -> Self {
        let planned = seed >= FIRST_PLANNED_SEED;
        // Neither the links nor the targets are short of anything.
        let ample = seed >= FIRST_OUTAGES_SEED;
        let layout = FleetLayout {
            link: THIN_LINK.parse().ok().filter(|_| seed >= FIRST_THIN_LINK_SEED && !ample),
            zones: if seed >= FIRST_ZONES_SEED { ZONES } else { 1 },
            overload: seed >= FIRST_OVERLOAD_SEED && !ample,
            ..FleetLayout::default()
        };
        let (balancers, targets, callers) = match seed {
            FIRST_CROWDED_SEED.. => (12, 32, 24),
            FIRST_PLANNED_SEED.. => (4, 5, 10),
            FIRST_OUTAGES_SEED.. => (4, 6, 6),
            _ => (3, 3, 6),
        };
        let reused_ports = (FIRST_REUSED_PORTS_SEED..FIRST_OUTAGES_SEED).contains(&seed);
        let outages = (FIRST_OUTAGES_SEED..FIRST_PLANNED_SEED).contains(&seed);
        Self { layout, balancers, targets, callers, reused_ports, outages, planned }
    }
}
