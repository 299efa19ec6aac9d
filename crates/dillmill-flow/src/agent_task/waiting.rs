//! Opening packets that wait for the target.

use std::time::Duration;

use dillmill_core::flow_gate::Known;
use dillmill_core::open_queue::{self, WaitingOpen};
use dillmill_core::{Envelope, Segment, SegmentKind, Timestamp};
use dillmill_platform::packet::{self, Sender};

use super::AgentTask;

impl AgentTask {
    /// Lets an opening packet wait for the target.
    pub(super) fn wait(
        &mut self,
        seg: &Segment,
        packet: Vec<u8>,
        envelope: Envelope,
        limit: Duration,
        now: Timestamp,
    ) {
        let SegmentKind::Open { copies } = seg.kind else { return };
        let (waiting, gate) = (self.opens.len(), &self.gate);
        self.log.flow(now, &seg.flow, "waits", || {
            let requests = gate.load(now).requests;
            format!("{requests} requests at the target, {waiting} wait, copies {copies}")
        });
        let since = open_queue::waiting_since(copies, now);
        let open = WaitingOpen { flow: seg.flow, packet, envelope, limit, since };
        if let Some(refused) = self.opens.push(open) {
            self.give_up(&refused, now);
        }
    }

    pub(super) fn no_longer_waits(&mut self, seg: &Segment) {
        if matches!(seg.kind, SegmentKind::Open { .. }) && !self.opens.is_empty() {
            self.opens.remove(&seg.flow);
        }
    }

    /// Refuses an opening packet that has waited: it has not reached the target.
    fn give_up(&mut self, open: &WaitingOpen, now: Timestamp) {
        let verdict = self.gate.refuse_waiting(&open.envelope);
        self.refuse(&open.flow, &verdict, now);
    }

    /// Takes on what waits and has its turn, or passes all of it on when the target takes nothing new.
    pub(super) async fn serve_waiting(&mut self, now: Timestamp) {
        if self.opens.is_empty() {
            return;
        }
        for open in self.opens.take_expired(now) {
            self.give_up(&open, now);
        }
        if !self.gate.takes_new(now) {
            for open in self.opens.take_all() {
                self.place_again(open, now).await;
            }
            return;
        }
        loop {
            let (ahead, idle) = (self.gate.work_ahead(now), self.gate.has_idle_slot(now));
            let Some(open) = self.opens.take(ahead, idle, now) else { return };
            let waiting = self.opens.len();
            self.place_again(open, now).await;
            if self.opens.len() > waiting {
                return;
            }
        }
    }

    /// Decides anew on an opening packet that has waited, by what is known now.
    async fn place_again(&mut self, open: WaitingOpen, now: Timestamp) {
        let Ok(seg) = packet::decode(&open.packet, Sender::Caller) else { return };
        let known = Known { agents: &self.agents, routes: &self.routes, settled: self.settled };
        let verdict = self.gate.arrived(&seg, &open.envelope, known, now);
        Box::pin(self.carry_out(verdict, &seg, open.packet, now)).await;
    }
}
