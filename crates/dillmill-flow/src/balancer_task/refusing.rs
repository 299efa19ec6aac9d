//! Refuses new flows, and places those again that an agent has refused for want of a target.

use dillmill_core::{
    AgentEntry, FlowTuple, Owner, PacketPurpose, ProcessId, Segment, SegmentKind, ServiceTag,
    Timestamp,
};
use dillmill_platform::packet::{self, Sender};
use dillmill_wire::RefusalDetail;

use super::BalancerTask;

/// Number of agents that may refuse a new flow before its caller is told.
const MAX_TRIED: usize = 8;

impl BalancerTask {
    /// Refuses a new flow that no agent can take, so that the caller retries soon.
    pub(super) async fn refuse(&mut self, seg: &Segment, service: ServiceTag, now: Timestamp) {
        if self.drop_early(seg, service, now) {
            return;
        }
        self.counters.refused.inc();
        let evacuated = self.agents.all_evacuated(service);
        self.log.flow(now, &seg.flow, "refused", || {
            let detail = if evacuated { ": all their data centres are evacuated" } else { "" };
            format!("no agent of service {service}{detail}")
        });
        self.reset(&seg.flow, 0).await;
    }

    /// Drops the opening packet of a flow that no known agent can take, if this balancer has only just started
    /// and may not know all agents yet; returns whether it was dropped.
    fn drop_early(&mut self, seg: &Segment, service: ServiceTag, now: Timestamp) -> bool {
        if !self.is_starting(now) {
            return false;
        }
        self.counters.dropped.inc();
        self.log.flow(now, &seg.flow, "dropped", || {
            format!("no agent of service {service} known yet, its caller sends a copy")
        });
        true
    }

    /// Handles the refusal of a new flow, unless the flow has been given to another agent meanwhile.
    pub(super) async fn handle_refusal(
        &mut self,
        flow: FlowTuple,
        placed: ProcessId,
        detail: &RefusalDetail,
        now: Timestamp,
    ) {
        let owner = self.owners.get(&flow, now).map(|owner| owner.process);
        if owner.is_none_or(|owner| owner != placed && !detail.tried.contains(&owner)) {
            return;
        }
        self.owners.forget(&flow);
        if let Some(packet) = &detail.packet
            && self.place_again(&flow, packet, &detail.tried, now).await
        {
            return;
        }
        self.counters.refused.inc();
        self.log.flow(now, &flow, "reset", || format!("refused behind {placed}"));
        self.reset(&flow, 0).await;
    }

    /// Places a new flow at an agent that has not had it; returns whether its caller need not be told of the
    /// refusal. An agent that has just started may know fewer agents than this balancer.
    async fn place_again(
        &mut self,
        flow: &FlowTuple,
        buf: &[u8],
        tried: &[ProcessId],
        now: Timestamp,
    ) -> bool {
        let Ok(seg) = packet::decode(buf, Sender::Caller) else { return false };
        let SegmentKind::Open { copies } = seg.kind else { return false };
        let route = self.routes.get(flow.route());
        let Some(service) = route.and_then(|route| route.service(flow)) else { return false };
        if seg.flow != *flow || tried.len() > MAX_TRIED {
            return false;
        }
        let untried = |a: &AgentEntry| a.slots > 0 && !tried.contains(&a.process);
        if !self.agents.taking_new(service).any(untried) {
            return self.drop_early(&seg, service, now);
        }
        let Some(agent) = self.placement.place(flow, service, &self.agents, tried, now) else {
            return false;
        };
        let (owner, near) = (Owner { process: agent.process, data: agent.data }, agent.near);
        self.note_placed(&seg, copies, service, (owner, near), now);
        let purpose = PacketPurpose::Place { passed: tried.to_vec() };
        self.send(&seg, service, purpose, buf, owner.data, now).await;
        true
    }
}
