//! Keeps packets of callers that reach a balancer before it knows routes and agents.
//!
//! Callers repeat a packet after 0.2, 0.4, 0.8 and 1.6 s. After a power failure, some callers send
//! their last packet before they give up in the first 0.2 s or so of the restarted balancers, when
//! these know no agent yet. So such packets are kept until they can be routed.

use std::time::Duration;

use crate::generation_cache::GenerationCache;
use crate::link_queue::PacketId;
use crate::{FlowTuple, Timestamp};

/// Maximum number of packets in one generation: 1.2 MB with packets of full size.
const CAPACITY: usize = 1000;
/// Minimum time for which a packet is kept. By then its caller has sent it again or has given up.
const LIFETIME: Duration = Duration::from_secs(1);

/// Minimum time between two attempts to route the packets. While a process starts, its view changes
/// some hundred times a second.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A packet that could not be routed on arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlyPacket {
    /// Arrival time.
    pub at: Timestamp,
    /// Content of the packet.
    pub buf: Vec<u8>,
}

/// The packets that a balancer could not route yet.
#[derive(Debug)]
pub struct EarlyPackets {
    kept: GenerationCache<(FlowTuple, PacketId), EarlyPacket>,
    last_taken: Timestamp,
}

impl Default for EarlyPackets {
    fn default() -> Self {
        Self { kept: GenerationCache::new(LIFETIME, CAPACITY), last_taken: Timestamp::default() }
    }
}

impl EarlyPackets {
    /// Keeps a packet, which replaces an earlier copy of itself.
    pub fn keep(&mut self, flow: FlowTuple, id: PacketId, packet: EarlyPacket, now: Timestamp) {
        self.kept.insert((flow, id), packet, now);
    }

    /// Removes all packets and returns those that are not too old in order of arrival, if an
    /// attempt to route them is due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<EarlyPacket> {
        if self.kept.is_empty() || now.since(self.last_taken) < RETRY_INTERVAL {
            return Vec::new();
        }
        self.last_taken = now;
        let kept = self.kept.iter().map(|(_, packet)| packet);
        let mut due: Vec<_> = kept.filter(|p| now.since(p.at) <= LIFETIME).cloned().collect();
        self.kept.clear();
        due.sort_by_key(|packet| packet.at);
        due
    }
}
