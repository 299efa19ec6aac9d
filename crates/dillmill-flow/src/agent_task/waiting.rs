//! Opening packets that wait for the target.

use dillmill_core::flow_gate::Known;
use dillmill_core::open_queue::{WaitTerms, WaitingOpen};
use dillmill_core::{Envelope, HeldRequest, Segment, SegmentKind, Timestamp};
use dillmill_platform::packet::{self, Sender};

use super::AgentTask;
use crate::decision_log::age;

impl AgentTask {
    /// Lets an opening packet wait for the target.
    pub(super) fn wait(
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
            let waited = age(now.since(terms.since));
            let patience = age(gate.patience(&seg.flow, &terms, now));
            format!(
                "{requests} requests at the target, {waiting} wait, has waited {waited}, \
                 callers wait {patience}"
            )
        });
        let open = WaitingOpen { flow: seg.flow, packet, envelope, terms };
        if let Some(open) = self.gate.wait(open) {
            let (open, verdict) = self.gate.refused(open);
            self.refuse(&open.flow, &verdict, now);
        }
    }

    /// Lets the request of an open flow wait while the target is cold.
    pub(super) fn hold(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        envelope: Envelope,
        now: Timestamp,
    ) {
        self.log.flow(now, &seg.flow, "request waits", || "the target is cold".to_owned());
        let (flow, packet) = (seg.flow, packet.to_vec());
        self.gate.hold(HeldRequest { flow, packet, envelope, since: now });
    }

    pub(super) fn no_longer_waits(&mut self, seg: &Segment) {
        if matches!(seg.kind, SegmentKind::Open { .. }) {
            self.gate.no_longer_waits(&seg.flow);
        }
    }

    /// Takes on what waits and has its turn, or passes all of it on when the target takes nothing new.
    pub(super) async fn serve_waiting(&mut self, now: Timestamp) {
        while let Some(held) = self.gate.next_held(now) {
            let Ok(seg) = packet::decode(&held.packet, Sender::Caller) else { continue };
            Box::pin(self.take_packet(&seg, &held.packet, held.envelope, now)).await;
        }
        for (open, verdict) in self.gate.take_lost(now) {
            self.refuse(&open.flow, &verdict, now);
        }
        while let Some(open) = self.gate.next_waiting(now) {
            let Ok(seg) = packet::decode(&open.packet, Sender::Caller) else { continue };
            let known = Known { agents: &self.agents, routes: &self.routes, settled: self.settled };
            let verdict = self.gate.has_turn(&seg, &open.envelope, known, now);
            Box::pin(self.carry_out(verdict, &seg, open.packet, now)).await;
        }
    }
}
