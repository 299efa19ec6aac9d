//! Keeps packets that may be routable in a moment: the balancer has just started, or the configuration has
//! just named a service for the first time.

use std::time::Duration;

use dillmill_core::{
    EarlyPacket, RouteEntry, RouteTable, Segment, SegmentKind, ServiceTag, Timestamp,
};
use dillmill_platform::packet::{self, Sender};

use super::BalancerTask;

/// Time after the configuration first named a service until the balancer should know the service's agents.
/// They announce their targets as soon as they have that configuration.
const FIRST_AGENTS_PERIOD: Duration = Duration::from_millis(500);

impl BalancerTask {
    /// Routes the packets that came before the routes and agents for them were known.
    pub(super) async fn route_early_packets(&mut self, now: Timestamp) {
        for EarlyPacket { at, buf } in self.early_packets.take_due(now) {
            if let Ok(seg) = packet::decode(&buf, Sender::Caller) {
                self.route_packet(&seg, &buf, at, now).await;
            }
        }
    }

    /// Notes the services that `routes` names and the routes in force do not. At the start no routes are in
    /// force, and [`STARTUP_PERIOD`](super::STARTUP_PERIOD) holds instead.
    pub(super) fn note_first_named(&mut self, routes: &RouteTable, now: Timestamp) {
        self.first_named.retain(|_, since| now.since(*since) < FIRST_AGENTS_PERIOD);
        if !self.routes.is_empty() {
            let new = routes.first_named(&self.routes).into_iter();
            self.first_named.extend(new.map(|service| (service, now)));
        }
    }

    /// Returns whether a packet should wait, as the balancer will soon know the routes, or an agent with slots
    /// that takes new flows of the packet's route.
    pub(super) fn is_early(&self, seg: &Segment, now: Timestamp) -> bool {
        let starting = self.is_starting(now);
        let Some(route) = self.routes.get(seg.flow.route()) else {
            return starting && self.routes.is_empty();
        };
        if starting {
            return !route.services().into_iter().any(|service| self.has_open_agent(service));
        }
        self.awaits_first_agents(seg, route, now)
    }

    /// Returns whether a packet opens a flow of a service that has only just been named and has no agent yet.
    fn awaits_first_agents(&self, seg: &Segment, route: &RouteEntry, now: Timestamp) -> bool {
        let is_new = |service: &ServiceTag| {
            let since = self.first_named.get(service);
            since.is_some_and(|since| now.since(*since) < FIRST_AGENTS_PERIOD)
        };
        matches!(seg.kind, SegmentKind::Open { .. })
            && route
                .service(&seg.flow)
                .filter(is_new)
                .is_some_and(|service| !self.has_open_agent(service))
    }

    fn has_open_agent(&self, service: ServiceTag) -> bool {
        self.agents.taking_new(service).any(|agent| agent.slots > 0)
    }
}
