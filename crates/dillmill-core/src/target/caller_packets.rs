//! Keeps a caller's packet of each flow, with which a target can be asked whether it holds the
//! flow.
//!
//! A target returns packets of flows that it does not hold, and takes a packet that it has had
//! before as one of the duplicates that networks make. So sending a packet again shows which flows
//! another run of the target has taken.

use std::time::Duration;

use crate::generation_cache::GenerationCache;
use crate::segment::{Segment, SegmentKind};
use crate::{FlowLifetimes, FlowTuple, Timestamp};

/// Maximum number of packets in one generation. Most are bare acknowledgements of 34 bytes.
const CAPACITY: usize = 4_000;

/// The shortest packet from the caller of each flow.
#[derive(Debug)]
pub struct CallerPackets {
    packets: GenerationCache<FlowTuple, Box<[u8]>>,
}

impl Default for CallerPackets {
    fn default() -> Self {
        Self { packets: GenerationCache::new(FlowLifetimes::default().held(), CAPACITY) }
    }
}

impl CallerPackets {
    /// Sets the time for which a packet is kept after the flow's last packet, as the flows of the target
    /// are.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.packets.set_lifetime(lifetime);
    }

    /// Keeps a packet that is given to the target, if it is the shortest of its flow so far.
    pub fn keep(&mut self, seg: &Segment, packet: &[u8], now: Timestamp) {
        match seg.kind {
            SegmentKind::Data => {}
            SegmentKind::Finish | SegmentKind::Reset => {
                self.packets.remove(&seg.flow);
                return;
            }
            SegmentKind::Open { .. } | SegmentKind::Accept => return,
        }
        match self.packets.get_mut(&seg.flow, now) {
            Some(kept) if kept.len() <= packet.len() => {}
            Some(kept) => *kept = packet.into(),
            None => self.packets.insert(seg.flow, packet.into(), now),
        }
    }

    /// Returns the packet kept for `flow`.
    #[must_use]
    pub fn get(&self, flow: &FlowTuple) -> Option<&[u8]> {
        self.packets.peek(flow).map(AsRef::as_ref)
    }
}
