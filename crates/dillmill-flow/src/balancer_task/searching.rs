//! Forwards packets of open flows, and finds the agents that own those flows.

use std::time::Duration;

use dillmill_core::{
    FlowTuple, Owner, PacketPurpose, Search, SearchScope, Segment, ServiceTag, Timestamp,
};
use dillmill_platform::packet::{self, Sender};

use super::BalancerTask;

impl BalancerTask {
    /// Sends a packet of an open flow to its owner, or starts a search for the owner.
    pub(super) async fn forward(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        services: &[ServiceTag],
        buf: &[u8],
        now: Timestamp,
    ) {
        self.placement.count_bytes(service, u64::from(seg.len));
        self.placement.note_packet(seg, now);
        let known = self.owners.get(&seg.flow, now);
        if let Some(owner) = known.filter(|owner| self.agents.at(owner.data).is_some()) {
            return self.send(seg, service, PacketPurpose::Deliver, buf, owner.data, now).await;
        }
        self.search_owner(seg, service, services, buf, now).await;
    }

    /// Starts a search for the owner of a flow. A packet whose caller expects an answer is kept until the
    /// search ends.
    async fn search_owner(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        services: &[ServiceTag],
        buf: &[u8],
        now: Timestamp,
    ) {
        if seg.wants_answer() && !self.searches.begin(seg.flow, buf, now) {
            return;
        }
        let scope = SearchScope::All;
        self.send_search(seg, service, services, buf, scope, now).await;
    }

    async fn send_search(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        services: &[ServiceTag],
        buf: &[u8],
        scope: SearchScope,
        now: Timestamp,
    ) {
        self.counters.searched.inc();
        let Some((place, first)) =
            self.agents.next_in_search(&seg.flow, services, None, None).map(|(p, a)| (p, a.data))
        else {
            return self.counters.dropped.inc();
        };
        self.log.flow(now, &seg.flow, format_args!("searched from {first}"), || {
            format!("owner not known or gone, {} agents", self.agents.len())
        });
        let place = Some(place);
        let purpose = PacketPurpose::Search(Search { place, steps: 1, scope, ..Search::default() });
        self.send(seg, service, purpose, buf, first, now).await;
    }

    /// Schedules a repeat of a search that found no owner, as the caller's next retransmission may come
    /// too late.
    pub(super) fn schedule_search_retry(&self, flow: FlowTuple, after: Duration) {
        let retry_tx = self.retry_tx.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(after).await;
            // Fails only if the balancer task has ended.
            let _ = retry_tx.send(flow);
        })
        .detach();
    }

    pub(super) async fn retry_search(
        &mut self,
        flow: FlowTuple,
        scope: SearchScope,
        now: Timestamp,
    ) {
        let owner = self.owners.get(&flow, now);
        if owner.is_some_and(|owner| self.agents.at(owner.data).is_some()) {
            self.searches.end(&flow);
            return;
        }
        let routes = self.routes.clone();
        let Some(route) = routes.get(flow.route()) else {
            self.searches.end(&flow);
            return;
        };
        let Some(buf) = self.searches.repeat(&flow, now) else { return };
        let Ok(seg) = packet::decode(&buf, Sender::Caller) else { return };
        let service = route.shares.first().map_or(ServiceTag(0), |(s, _)| *s);
        self.send_search(&seg, service, &route.services(), &buf, scope, now).await;
    }

    /// Stores the owner of a flow, and sends it the packets that were kept during the search.
    pub(super) async fn record_owner(&mut self, flow: FlowTuple, owner: Owner, now: Timestamp) {
        self.owners.set(flow, owner, now);
        let agent = self.agents.at(owner.data).map(|agent| agent.service);
        for buf in self.searches.end(&flow) {
            if let Some(service) = agent {
                let Ok(seg) = packet::decode(&buf, Sender::Caller) else { continue };
                self.send(&seg, service, PacketPurpose::Deliver, &buf, owner.data, now).await;
            }
        }
    }
}
