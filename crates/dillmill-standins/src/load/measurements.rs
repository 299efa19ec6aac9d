use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{GroupResult, LoadResult};
use crate::traffic::{OutcomeCounts, RequestOutcome};

const SIGNIFICANT_DIGITS: u8 = 3;

/// Waits and outcomes of the requests of one group.
pub(super) struct GroupMeasurements {
    waits: Histogram<u64>,
    outcome_counts: OutcomeCounts,
}

impl GroupMeasurements {
    fn new() -> Self {
        let waits = Histogram::new(SIGNIFICANT_DIGITS);
        Self {
            waits: waits
                .unwrap_or_else(|_| unreachable!("a histogram accepts 3 significant digits")),
            outcome_counts: OutcomeCounts::default(),
        }
    }
}

/// Waits and outcomes of all requests, by group.
#[derive(Clone, Default)]
pub(super) struct MeasurementsByGroup(Rc<RefCell<BTreeMap<String, GroupMeasurements>>>);

impl MeasurementsByGroup {
    /// Records the outcome of a request and its wait beyond its time at the target. Only waits of
    /// complete responses count.
    pub(super) fn record(&self, group: String, request_outcome: RequestOutcome, wait: Duration) {
        let mut groups = self.0.borrow_mut();
        let group = groups.entry(group).or_insert_with(GroupMeasurements::new);
        group.outcome_counts.add(request_outcome);
        if request_outcome == RequestOutcome::Whole {
            let _ = group.waits.record(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX));
        }
    }

    /// Adds all measurements to the result and returns the number of requests.
    #[expect(clippy::cast_precision_loss, reason = "microseconds far below 2^52")]
    pub(super) fn write_to(&self, result: &mut LoadResult) -> u64 {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        let mut all = 0;
        for (group, m) in self.0.borrow().iter() {
            let v = &m.outcome_counts;
            let refused: usize = v.refused.values().sum();
            let asked =
                count(v.whole + v.not_run + v.unknown + v.broken + v.wrong_service + refused);
            all += asked;
            result.wrong_service += count(v.wrong_service);
            result.groups.insert(
                group.clone(),
                GroupResult {
                    asked,
                    whole: count(v.whole),
                    not_run: count(v.not_run),
                    unknown: count(v.unknown),
                    broken: count(v.broken),
                    wait_p50_ms: m.waits.value_at_quantile(0.5) as f64 / 1000.0,
                    wait_p99_ms: m.waits.value_at_quantile(0.99) as f64 / 1000.0,
                },
            );
        }
        all
    }
}
