//! Admits new flows at a balancer and places them at agents.

use dillmill_core::open_queue::WaitingOpen;
use dillmill_core::{
    LinkAdmission, Owner, PacketPurpose, RouteEntry, Segment, ServiceTag, Timestamp,
    attempt_timeout,
};
use dillmill_platform::packet::{self, Sender};

use super::BalancerTask;

impl BalancerTask {
    /// Returns whether a new flow may begin now; if not, its opening packet is queued until the link can
    /// carry it.
    pub(super) async fn admit(
        &mut self,
        seg: &Segment,
        copies: u32,
        service: ServiceTag,
        route: &RouteEntry,
        buf: &[u8],
        now: Timestamp,
    ) -> bool {
        if self.admission.note_copy(&seg.flow, copies) {
            return false;
        }
        if copies > 0 && self.owners.get(&seg.flow, now).is_some() {
            return true;
        }
        if self.refused_for_overload(seg, copies, service, route, now).await {
            return false;
        }
        let attempt_timeout = attempt_timeout::assumed(route.timeout, route.repeatable);
        let terms = LinkAdmission::terms(copies, route.latency_aim, now)
            .attempt_timeout(attempt_timeout)
            .timeout(route.timeout.unwrap_or(attempt_timeout));
        if self.admission.admits(seg.flow.route(), &terms, self.uplink.queued(), now) {
            return true;
        }
        let (under_way, waiting) = (self.admission.under_way(), self.admission.waiting());
        self.log.flow(now, &seg.flow, "waits", || {
            format!("uploads in progress bring {under_way} bytes over the link, {waiting} opening packets wait")
        });
        let purpose = PacketPurpose::Place { passed: Vec::new() };
        let envelope = self.envelope(service, purpose);
        let open = WaitingOpen { flow: seg.flow, packet: buf.to_vec(), envelope, terms };
        // A packet that does not fit in the queue is dropped; the caller's copy tries again.
        if self.admission.wait(open).is_some() {
            self.counters.dropped.inc();
        }
        false
    }

    /// Refuses the queued flows whose callers have given up or are about to, and opens those whose turn has
    /// come.
    pub(super) async fn open_queued(&mut self, now: Timestamp) {
        for open in self.admission.take_abandoned(now) {
            self.counters.refused.inc();
            self.log.flow(now, &open.flow, "refused", || "waited for the link in vain".to_owned());
            self.reset(&open.flow, 0).await;
        }
        while let Some(open) = self.admission.next(self.uplink.queued(), now) {
            let Ok(seg) = packet::decode(&open.packet, Sender::Caller) else { continue };
            let routes = self.routes.clone();
            let service = routes.get(seg.flow.route()).and_then(|route| route.service(&seg.flow));
            let Some(service) = service else {
                self.no_route(&seg, now).await;
                continue;
            };
            self.open(&seg, open.terms.copies, service, &open.packet, now).await;
        }
    }

    /// Places a new flow at an agent. A copy of the opening packet goes to the same agent, unless that is
    /// silent or takes no new flows.
    pub(super) async fn open(
        &mut self,
        seg: &Segment,
        copies: u32,
        service: ServiceTag,
        buf: &[u8],
        now: Timestamp,
    ) {
        let previous = self.owners.get(&seg.flow, now).filter(|_| copies > 0);
        let same_owner = previous.filter(|owner| {
            !self.placement.silent(owner.process, now)
                && self.agents.taking_new(service).any(|a| a.data == owner.data)
        });
        let (owner, near) = if let Some(owner) = same_owner {
            (owner, true)
        } else {
            let excluded: Vec<_> = previous.iter().map(|owner| owner.process).collect();
            let Some(agent) =
                self.placement.place(&seg.flow, service, &self.agents, &excluded, now)
            else {
                return self.refuse(seg, service, now).await;
            };
            (Owner { process: agent.process, data: agent.data }, agent.near)
        };
        self.note_placed(seg, copies, service, (owner, near), now);
        if previous.is_none() {
            self.admission.begin(seg.flow, now);
        }
        self.send(seg, service, PacketPurpose::Place { passed: Vec::new() }, buf, owner.data, now)
            .await;
    }

    /// Records, counts and logs the agent to which a new flow goes, and whether it is in the same data centre.
    pub(super) fn note_placed(
        &mut self,
        seg: &Segment,
        copies: u32,
        service: ServiceTag,
        (owner, near): (Owner, bool),
        now: Timestamp,
    ) {
        self.owners.set(seg.flow, owner, now);
        self.counters.placed.inc();
        if !near {
            self.counters.placed_far.inc();
        }
        let revision = self.routes.revision;
        self.log.flow(now, &seg.flow, format_args!("placed at {}", owner.process), || {
            format!("service {service}, revision {revision}, copies {copies}, near {near}")
        });
    }
}
