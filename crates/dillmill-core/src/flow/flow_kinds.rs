//! Learns which routes have flows that carry several requests, from the packets of callers. Such flows
//! can't be moved later, so balancers place them by the speed of the targets.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow_volume::FlowVolume;
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, Timestamp};

/// Number of flows that are observed at a time. Any other packet costs one hash and one comparison.
const SAMPLES: usize = 256;
/// Seed of the hash that chooses the samples. Any number works that does not result from an address.
const SAMPLE_SEED: u64 = u64::MAX - 2;
/// Time without a request after which another flow is observed instead.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Maximum number of routes that are told apart.
const MAX_ROUTES: usize = 1024;

/// How many requests the flows of a route carry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FlowKind {
    /// A single request, or too few flows were observed.
    #[default]
    OneOff,
    /// Several requests.
    LongLived,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    flow: FlowTuple,
    /// Number of the byte that the caller expected next when it sent the last request.
    ack: u32,
    at: Timestamp,
}

/// Requests per flow by route, from a sample of the flows.
#[derive(Debug)]
pub struct FlowKinds {
    samples: Vec<Option<Sample>>,
    routes: HashMap<SocketAddrV4, FlowVolume>,
}

impl Default for FlowKinds {
    fn default() -> Self {
        Self { samples: vec![None; SAMPLES], routes: HashMap::new() }
    }
}

impl FlowKinds {
    /// Observes a caller's packet.
    ///
    /// Data after the caller has received an answer begins another request; the packets of one upload
    /// all acknowledge the same byte.
    pub fn note(&mut self, seg: &Segment, now: Timestamp) {
        let data = seg.kind == SegmentKind::Data && seg.len > 0;
        if !data && !matches!(seg.kind, SegmentKind::Finish | SegmentKind::Reset) {
            return;
        }
        let i = usize::try_from(seg.flow.score(SAMPLE_SEED)).unwrap_or(usize::MAX) % SAMPLES;
        let slot = &mut self.samples[i];
        match slot {
            Some(sample) if sample.flow == seg.flow => {
                if !data {
                    *slot = None;
                    return;
                }
                sample.at = now;
                if sample.ack != seg.ack {
                    sample.ack = seg.ack;
                    if let Some(requests) = self.routes.get_mut(&seg.flow.route()) {
                        requests.count_request();
                    }
                }
            }
            Some(sample) if now.since(sample.at) < IDLE_LIMIT => {}
            _ if data => {
                *slot = Some(Sample { flow: seg.flow, ack: seg.ack, at: now });
                let route = seg.flow.route();
                if self.routes.len() < MAX_ROUTES || self.routes.contains_key(&route) {
                    let requests = self.routes.entry(route).or_default();
                    requests.count_flow();
                    requests.count_request();
                }
            }
            _ => {}
        }
    }

    /// Returns how many requests the flows of `route` carry.
    #[must_use]
    pub fn of(&self, route: SocketAddrV4) -> FlowKind {
        match self.routes.get(&route) {
            Some(requests) if requests.carries_several() => FlowKind::LongLived,
            Some(_) | None => FlowKind::OneOff,
        }
    }
}
