//! Packets of callers that reach a balancer before it knows routes and agents.
//!
//! Callers repeat a packet after 0.2, 0.4, 0.8 and 1.6 s. After a loss of power some of them send their last packet before
//! they give up while the balancers are just back and know nobody yet, for some 0.2 s. So these packets are kept
//! until they can be routed.

use std::time::Duration;

use crate::generations::Generations;
use crate::link_queue::PacketId;
use crate::{FlowTuple, Timestamp};

/// Packets kept at most in one generation: 1.2 MB of full ones.
const CAPACITY: usize = 1000;
/// How long a packet is kept at least. Its caller has sent it again by then, or has given up.
const LIFETIME: Duration = Duration::from_secs(1);

/// Time between two looks at them: while a process starts its view changes some hundred times a second.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A packet that could not be routed when it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlyPacket {
    /// When it came.
    pub at: Timestamp,
    /// Its content.
    pub buf: Vec<u8>,
}

/// The packets that a balancer could not route yet.
#[derive(Debug)]
pub struct EarlyPackets {
    kept: Generations<(FlowTuple, PacketId), EarlyPacket>,
    looked: Timestamp,
}

impl Default for EarlyPackets {
    fn default() -> Self {
        Self { kept: Generations::new(LIFETIME, CAPACITY), looked: Timestamp::default() }
    }
}

impl EarlyPackets {
    /// Keeps a packet; a copy takes the place of the one before.
    pub fn keep(&mut self, flow: FlowTuple, id: PacketId, packet: EarlyPacket, now: Timestamp) {
        self.kept.insert((flow, id), packet, now);
    }

    /// Returns the packets that are not too old, in the order in which they came, if a look at them is due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<EarlyPacket> {
        if self.kept.is_empty() || now.since(self.looked) < LOOK_EVERY {
            return Vec::new();
        }
        self.looked = now;
        let kept = self.kept.iter().map(|(_, packet)| packet);
        let mut due: Vec<_> = kept.filter(|p| now.since(p.at) <= LIFETIME).cloned().collect();
        self.kept.clear();
        due.sort_by_key(|packet| packet.at);
        due
    }
}
