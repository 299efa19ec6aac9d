//! A packet to decide on, with its envelope and the agent's present knowledge.

use super::GateContext;
use crate::envelope::Envelope;
use crate::route_table::RouteEntry;
use crate::segment::Segment;
use crate::{ServiceTag, Timestamp};

/// A packet, its envelope, and the state of the process when it arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival<'a> {
    pub(super) seg: &'a Segment,
    pub(super) env: &'a Envelope,
    pub(super) context: GateContext<'a>,
    pub(super) now: Timestamp,
}

impl Arrival<'_> {
    /// Returns the services that may hold the flow.
    pub(super) fn services(&self) -> Vec<ServiceTag> {
        let route = self.context.routes.get(self.seg.flow.route());
        let mut services = route.map_or_else(Vec::new, RouteEntry::services);
        if !services.contains(&self.env.service) {
            services.push(self.env.service);
        }
        services
    }
}
