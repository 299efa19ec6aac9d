//! What an agent tells balancers of the load of its target.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_placement::REPORT_INTERVAL;
use dillmill_core::placement::LoadReport;
use dillmill_core::{Slots, Timestamp};
use dillmill_wire::Message;

use super::{AgentTask, Origin};

/// A balancer that has sent no new flow for this long gets no more reports.
const REPORT_WHILE: Duration = Duration::from_secs(2);
/// Reports without a new flow since the last one come this much further apart.
const REPORT_IDLE: Duration = Duration::from_millis(200);

impl AgentTask {
    pub(super) fn report(&mut self, now: Timestamp) -> LoadReport {
        let load = self.gate.load(now);
        let slots = if self.gate.takes_new(now) { self.gate.slots() } else { 0 };
        let in_use = load.requests.min(u32::from(self.gate.slots()));
        let count = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            process: self.handle.process,
            slots: Slots(slots),
            in_use: count(in_use),
            queued: count(load.requests - in_use),
            flows: load.flows,
            pace: self.gate.pace(now),
        }
    }

    pub(super) fn note_origin(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        let idle = LoadReport::idle(self.handle.process, 0);
        let origin = self.origins.entry(balancer).or_insert(Origin {
            last_flow: now,
            last_report: Timestamp::default(),
            reported: idle,
            due: true,
        });
        origin.last_flow = now;
        origin.due = true;
        if now.since(origin.last_report) >= REPORT_INTERVAL {
            self.report_to(balancer, now);
        }
    }

    fn report_to(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        let report = self.report(now);
        if let Some(origin) = self.origins.get_mut(&balancer) {
            origin.last_report = now;
            origin.reported = report;
            origin.due = false;
        }
        self.handle.send(balancer, Message::Load(report));
    }

    /// Sends the reports that are due.
    pub(super) fn send_reports(&mut self, now: Timestamp) {
        let report = self.report(now);
        self.counters.requests.set(i64::from(report.in_use) + i64::from(report.queued));
        self.counters.waiting.set(i64::try_from(self.gate.waiting()).unwrap_or(i64::MAX));
        self.handle.metrics.flows.set(i64::from(report.flows));
        self.origins.retain(|_, origin| now.since(origin.last_flow) < REPORT_WHILE);
        let due: Vec<SocketAddrV4> = self
            .origins
            .iter()
            .filter(|(_, o)| {
                let age = now.since(o.last_report);
                o.due || (report.tells_more_than(&o.reported) && age >= REPORT_IDLE)
            })
            .map(|(balancer, _)| *balancer)
            .collect();
        for balancer in due {
            self.report_to(balancer, now);
        }
    }
}
