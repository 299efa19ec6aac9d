//! Converts load reports for the status of the process.

use dillmill_core::placement::LoadReport;
use dillmill_wire::LoadStatus;

/// Returns the load that a report tells. The queue is ordered by the weights of groups, so it has no
/// classes of priority, and service times and demands of flows are not learned.
pub(crate) fn load_status(report: &LoadReport) -> LoadStatus {
    LoadStatus {
        slots: report.slots,
        requests: u32::from(report.in_use),
        waiting: u32::from(report.queued),
        waiting_by_class: None,
        service_time_ms: None,
        flow_demand: None,
    }
}
