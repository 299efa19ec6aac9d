//! Sends load reports on the target to balancers.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_placement::REPORT_INTERVAL;
use dillmill_core::placement::{LoadDetail, LoadReport};
use dillmill_core::{Slots, Timestamp};
use dillmill_wire::{LoadStatus, Message};

use super::{AgentTask, ReportSubscriber};

/// A balancer that has placed no new flow here for this long gets no more load reports.
const SUBSCRIPTION_PERIOD: Duration = Duration::from_secs(2);
/// Least time between two reports to a balancer that has placed no new flow since the last one.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

impl AgentTask {
    pub(super) fn current_load(&mut self, now: Timestamp) -> LoadReport {
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
            detail: LoadDetail {
                waiting: self.gate.waiting_by_class(now),
                flow_demand: Some(self.gate.flow_demand(now)),
            },
        }
    }

    pub(super) fn subscribe_to_reports(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        let idle = LoadReport::idle(self.handle.process, 0);
        let subscriber = self.report_subscribers.entry(balancer).or_insert(ReportSubscriber {
            last_new_flow: now,
            last_report: Timestamp::default(),
            last_reported: idle,
            flow_since_report: true,
        });
        subscriber.last_new_flow = now;
        subscriber.flow_since_report = true;
        if now.since(subscriber.last_report) >= REPORT_INTERVAL {
            self.report_to(balancer, now);
        }
    }

    fn report_to(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        let report = self.current_load(now);
        if let Some(subscriber) = self.report_subscribers.get_mut(&balancer) {
            subscriber.last_report = now;
            subscriber.last_reported = report;
            subscriber.flow_since_report = false;
        }
        self.handle.send(balancer, Message::Load(report));
    }

    /// Passes the load on for the status of the process, if it has changed.
    fn put_status(&mut self, report: &LoadReport) {
        let work = report.pace.work;
        let status = LoadStatus {
            slots: report.slots,
            requests: u32::from(report.in_use) + u32::from(report.queued),
            waiting: report.detail.waiting_total(),
            waiting_by_class: Some(report.detail.waiting),
            service_time_ms: (!work.is_zero()).then(|| whole_millis(work)),
            flow_demand: report.detail.flow_demand,
        };
        if self.load_status.as_ref() != Some(&status) {
            self.handle.put_load(status.clone());
            self.load_status = Some(status);
        }
    }

    /// Updates the load gauges and sends the load reports that are due.
    pub(super) fn send_reports(&mut self, now: Timestamp) {
        let report = self.current_load(now);
        self.counters.requests.set(i64::from(report.in_use) + i64::from(report.queued));
        self.counters.waiting.set(i64::try_from(self.gate.waiting()).unwrap_or(i64::MAX));
        for (gauge, waiting) in self.counters.waiting_by_class.iter().zip(report.detail.waiting) {
            gauge.set(i64::from(waiting));
        }
        for (counter, taken) in self.counters.taken.iter().zip(self.gate.taken()) {
            counter.inc_by(taken.saturating_sub(counter.get()));
        }
        self.handle.metrics.flows.set(i64::from(report.flows));
        let work = whole_millis(report.pace.work);
        self.counters.service_time.set(i64::try_from(work).unwrap_or(i64::MAX));
        self.counters.flow_demand.set(report.detail.flow_demand.map_or(0, i64::from));
        self.put_status(&report);
        self.report_subscribers
            .retain(|_, subscriber| now.since(subscriber.last_new_flow) < SUBSCRIPTION_PERIOD);
        let due: Vec<SocketAddrV4> = self
            .report_subscribers
            .iter()
            .filter(|(_, o)| {
                let age = now.since(o.last_report);
                o.flow_since_report
                    || (report.differs_notably_from(&o.last_reported)
                        && age >= IDLE_REPORT_INTERVAL)
            })
            .map(|(balancer, _)| *balancer)
            .collect();
        for balancer in due {
            self.report_to(balancer, now);
        }
    }
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
