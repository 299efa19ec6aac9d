use super::GateContext;
use crate::envelope::Envelope;
use crate::route_table::RouteEntry;
use crate::segment::Segment;
use crate::{ServiceTag, Timestamp};

/// A packet, what came with it, and what is known at that moment.
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
