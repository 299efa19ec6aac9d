//! Queues opening packets, and requests on open flows, until the target can take them.

use dillmill_core::flow_gate::GateContext;
use dillmill_core::open_queue::{TakeReason, WaitTerms, WaitingOpen};
use dillmill_core::{Envelope, Segment, SegmentKind, Timestamp};
use dillmill_platform::packet::{self, Sender};

use super::AgentTask;
use crate::decision_log::format_millis;

impl AgentTask {
    /// Queues an opening packet, or a packet of a request on an open flow, for the target.
    pub(super) fn enqueue_open(
        &mut self,
        seg: &Segment,
        packet: Vec<u8>,
        envelope: Envelope,
        terms: WaitTerms,
        now: Timestamp,
    ) {
        let gate = &self.gate;
        self.log.flow(now, &seg.flow, "waits", || {
            let (requests, waiting) = (gate.load(now).requests, gate.waiting());
            let waited = format_millis(now.since(terms.since));
            let attempt_timeout = format_millis(gate.attempt_timeout(&seg.flow, &terms, now));
            format!(
                "{requests} requests at the target, {waiting} wait, has waited {waited}, \
                 callers wait {attempt_timeout}"
            )
        });
        let open = WaitingOpen { flow: seg.flow, packet, envelope, terms };
        if let Some(open) = self.gate.wait(open) {
            if open.terms.open_flow {
                return self.counters.dropped.inc();
            }
            let (open, verdict) = self.gate.refused(open);
            self.refuse(&open.flow, &open.packet, &verdict, now);
        }
    }

    /// Logs that the turn of a packet has come, if it is ordered by priority.
    fn log_turn(&mut self, open: &WaitingOpen, now: Timestamp) {
        let terms = &open.terms;
        if !terms.policy.priority_order {
            return;
        }
        let gate = &self.gate;
        self.log.flow(now, &open.flow, "taken from the queue", || {
            let reason = gate.last_taken().map_or("target takes no new flows", TakeReason::label);
            let (waited, waiting) = (format_millis(now.since(terms.since)), gate.waiting());
            format!("{reason}, priority {}, has waited {waited}, {waiting} wait", terms.priority)
        });
    }

    pub(super) fn remove_from_queue(&mut self, seg: &Segment) {
        if matches!(seg.kind, SegmentKind::Open { .. }) {
            self.gate.no_longer_waits(&seg.flow);
        }
    }

    /// Handles the queued packets whose turn has come, or passes all of them on when the target takes no
    /// new flows.
    pub(super) async fn serve_queue(&mut self, now: Timestamp) {
        for (open, verdict) in self.gate.take_abandoned(now) {
            self.refuse(&open.flow, &open.packet, &verdict, now);
        }
        self.refuse_unservable(now);
        while let Some(open) = self.gate.next_waiting(now) {
            let Ok(seg) = packet::decode(&open.packet, Sender::Caller) else { continue };
            self.log_turn(&open, now);
            let context = GateContext {
                agents: &self.agents,
                routes: &self.routes,
                settled: self.settled,
                told: self.catch_up.is_complete(),
                siblings: &self.siblings,
            };
            let verdict = self.gate.decide_waiting(&seg, &open.envelope, context, now);
            Box::pin(self.apply_verdict(verdict, &seg, open.packet, now)).await;
        }
    }

    /// Refuses the queued opening packets that can't be served within their callers' attempts.
    fn refuse_unservable(&mut self, now: Timestamp) {
        for lost in self.gate.take_unservable(&self.routes, now) {
            let flow = lost.open.flow;
            let priority =
                self.routes.get(flow.route()).map_or_else(Default::default, |r| r.priority);
            self.counters.refused_unservable[priority.class()].inc();
            let detail = format!(
                ", turn in {}, has waited {}, callers wait {}",
                format_millis(lost.turn),
                format_millis(now.since(lost.open.terms.since)),
                format_millis(lost.attempt_timeout)
            );
            self.refuse_with(&flow, &lost.open.packet, &lost.verdict, &detail, now);
        }
    }
}
