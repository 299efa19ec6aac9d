//! Computes the cost of a new flow at a target from the target's load report; a balancer gives the flow
//! to the agent with the lowest cost.

use std::time::Duration;

use crate::flow_kinds::FlowKind;
use crate::placement::LoadReport;

/// Load of an open flow in thousandths of a slot, if the agent does not report the demand of its flows:
/// one request of some 50 ms a second.
const IDLE_FLOW_LOAD: u32 = 50;
/// Times per request, in thousandths of the typical time of the service, at which a target counts as of
/// typical speed: from a 1.25th to 1.25 times. Estimates of equal targets mostly differ by less.
const TYPICAL_TIMES: std::ops::Range<u64> = 800..1250;
/// Time per request, in thousandths of the typical time, from which a target counts as slow while each
/// target has a free slot.
const SLOW_TIME: u64 = 2000;
/// Share of a request's own longer time in its cost, in thousandths. Not all of it counts, because the
/// longer time delays only the caller of the request, while a queue delays all callers behind it.
const OWN_WORK_SHARE: i64 = 250;

/// Converts `span` to thousandths of `unit`.
fn thousandths(span: Duration, unit: Duration) -> u64 {
    let n = span.as_micros() * 1000 / unit.as_micros().max(1);
    u64::try_from(n).unwrap_or(u64::MAX).min(u64::from(u32::MAX))
}

/// How a balancer compares the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Comparison {
    /// By slots in use, as each target has a free one. Only a target that takes twice the typical time
    /// counts as slower.
    BySlots,
    /// By expected time: some target has no free slot, or a long-lived flow meets targets of different
    /// speeds.
    ByTime(FlowKind),
}

/// Returns whether a target to which `sent` flows have gone since its report has no free slot.
pub(super) fn is_full(report: &LoadReport, sent: u32) -> bool {
    report.slots.0 > 0 && requests(report, sent) >= u32::from(report.slots.0)
}

/// Returns whether a target is notably slower or faster than is typical of its service.
pub(super) fn differs_in_speed(report: &LoadReport, typical_work: Duration) -> bool {
    let work = report.pace.work;
    !work.is_zero() && !TYPICAL_TIMES.contains(&thousandths(work, typical_work))
}

fn requests(report: &LoadReport, sent: u32) -> u32 {
    let present = u32::from(report.in_use) + u32::from(report.queued);
    present + report.detail.waiting_total() + sent
}

/// Returns the cost of a new flow at a target to which `sent` flows have gone since its report, in
/// thousandths of `typical_work`, the typical time of a request.
///
/// The cost of a cold target is the time until its request limit leaves room: by its slots alone, it
/// would get as many flows as a warm one.
pub(super) fn target_cost(
    report: &LoadReport,
    sent: u32,
    comparison: Comparison,
    typical_work: Duration,
) -> i64 {
    if let Some(cold) = report.pace.cold {
        let until_room = Duration::from_secs(1) * (cold.received + sent) / cold.limit.max(1);
        return thousandths(until_room, typical_work).cast_signed();
    }
    let ahead = load_ahead(report, sent, comparison).cast_signed();
    let work = thousandths(report.pace.work, typical_work);
    let (typical, own_share) = match comparison {
        Comparison::BySlots => (0..SLOW_TIME, 1000),
        Comparison::ByTime(_) => (TYPICAL_TIMES, OWN_WORK_SHARE),
    };
    if report.pace.work.is_zero() || typical.contains(&work) {
        return ahead;
    }
    let work = work.cast_signed();
    (work - 1000) * own_share / 1000 + work * ahead / 1000
}

/// Returns the load ahead of a new flow, in thousandths of the slots.
fn load_ahead(report: &LoadReport, sent: u32, comparison: Comparison) -> u64 {
    let present = u64::from(requests(report, 0)) * 1000;
    let idle_flows = u64::from(report.flows) * u64::from(IDLE_FLOW_LOAD);
    let (present, flows) = match (comparison, report.detail.flow_demand.map(u64::from)) {
        (Comparison::BySlots, _) | (_, None) => (present, idle_flows),
        (Comparison::ByTime(FlowKind::OneOff), Some(demand)) => (present, demand),
        // A long-lived flow meets the present requests only once, and the other flows for as long as
        // it is open.
        (Comparison::ByTime(FlowKind::LongLived), Some(demand)) => (present / 2, demand),
    };
    (present + u64::from(sent) * 1000 + flows) / u64::from(report.slots.0.max(1))
}
