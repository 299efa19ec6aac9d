//! Refuses new flows of overloaded services before they are sent to an agent.

use dillmill_core::placement::LoadReport;
use dillmill_core::{Percent, RouteEntry, Segment, ServiceTag, Timestamp};

use super::BalancerTask;
use crate::decision_log::format_millis;

impl BalancerTask {
    /// Stores an agent's load report.
    pub(super) fn note_report(&mut self, report: LoadReport, now: Timestamp) {
        self.placement.report(report);
        if let Some(agent) = self.agents.get(report.process) {
            self.levels.entry(agent.service).or_default().report(report, now);
        }
    }

    /// Changes the refused shares of all services by the steps that are due.
    pub(super) fn step_levels(&mut self, now: Timestamp) {
        self.levels.values_mut().for_each(|level| level.step(now));
        for (class, gauge) in self.counters.admission_level.iter().enumerate() {
            let levels = self.levels.values().map(|level| level.level(class));
            gauge.set(i64::from(levels.max().unwrap_or(Percent(0)).0));
        }
    }

    /// Refuses a new flow that is not expected to be served in time for its caller; returns whether
    /// it was refused. A retransmission is not refused, as another balancer may have sent an
    /// earlier copy to a target.
    pub(super) async fn refused_for_overload(
        &mut self,
        seg: &Segment,
        copies: u32,
        service: ServiceTag,
        route: &RouteEntry,
        now: Timestamp,
    ) -> bool {
        if copies > 0 || self.owners.get(&seg.flow, now).is_some() {
            return false;
        }
        let Some(level) = self.levels.get_mut(&service) else { return false };
        let Some(refusal) = level.refusal(&seg.flow, route, now) else { return false };
        self.counters.refused.inc();
        self.counters.refused_for_overload[refusal.class].inc();
        self.log.flow(now, &seg.flow, "refused", || {
            let timeout = route.timeout.map_or_else(|| "none".to_owned(), format_millis);
            format!(
                "overload of service {service}: class {} waits {}, timeout {timeout}, level {} %",
                refusal.class,
                format_millis(refusal.wait),
                refusal.level.0
            )
        });
        self.reset(&seg.flow, 0).await;
        true
    }
}
