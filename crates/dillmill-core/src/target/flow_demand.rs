//! Learns how many requests open flows bring, by route.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::Timestamp;

/// Interval at which the flows are counted. Each count visits all flows of the target.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant, in seconds, with which earlier requests lose weight. It covers a few requests of each
/// flow, at the usual rate of one per second or two.
const TIME_CONSTANT: f64 = 3.0;
/// Requests per second assumed of an open flow of which nothing is known.
const ASSUMED_RATE: f64 = 1.0;
/// Weight of the assumed rate, in seconds of one open flow.
const ASSUMED_WEIGHT: f64 = 2.0;
/// Maximum number of routes with a rate of their own.
const MAX_ROUTES: usize = 256;

#[derive(Debug, Default)]
struct RouteDemand {
    /// Decaying count of requests that were not the first of their flow.
    further: f64,
    /// Decaying sum of the time that flows were open, in seconds.
    flow_seconds: f64,
    /// Flows that are open now.
    open: u32,
}

impl RouteDemand {
    /// Returns the further requests per second of one open flow.
    fn rate(&self) -> f64 {
        (self.further + ASSUMED_RATE * ASSUMED_WEIGHT) / (self.flow_seconds + ASSUMED_WEIGHT)
    }
}

/// Expected load of the open flows of one target.
///
/// The first request of a flow does not count: it is expected from the opening packet on and is part of
/// the present requests. So flows that bring a single request have no demand.
#[derive(Debug, Default)]
pub struct FlowDemand {
    routes: HashMap<SocketAddrV4, RouteDemand>,
    /// When the flows were last counted.
    updated: Option<Timestamp>,
    /// Expected load as of the last count, in thousandths of a slot.
    thousandths: u32,
}

impl FlowDemand {
    /// Records a request that is not the first of its flow.
    pub fn note_further(&mut self, route: SocketAddrV4) {
        if let Some(demand) = self.routes.get_mut(&route) {
            demand.further += 1.0;
        }
    }

    /// Returns whether the flows are due to be counted again.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.updated.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL)
    }

    /// Counts the open flows, given by their routes; `seconds_of` returns the time that the target takes
    /// for a request of a route.
    pub fn update(
        &mut self,
        open: impl Iterator<Item = SocketAddrV4>,
        seconds_of: impl Fn(SocketAddrV4) -> f64,
        now: Timestamp,
    ) {
        let elapsed = self.updated.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.updated = Some(now);
        let remaining = (-elapsed / TIME_CONSTANT).exp();
        for demand in self.routes.values_mut() {
            demand.further *= remaining;
            // The flows of the last count were open since then, as far as is known.
            demand.flow_seconds =
                demand.flow_seconds * remaining + f64::from(demand.open) * elapsed;
            demand.open = 0;
        }
        for route in open {
            if self.routes.len() < MAX_ROUTES || self.routes.contains_key(&route) {
                self.routes.entry(route).or_default().open += 1;
            }
        }
        let slots: f64 = self
            .routes
            .iter()
            .map(|(route, demand)| f64::from(demand.open) * demand.rate() * seconds_of(*route))
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the sum is not negative, and the cast saturates"
        )]
        let thousandths = (slots * 1000.0).round() as u32;
        self.thousandths = thousandths;
    }

    /// Returns the expected load in thousandths of a slot, as of the last count.
    #[must_use]
    pub fn thousandths(&self) -> u32 {
        self.thousandths
    }
}
