//! Packets that a balancer keeps while their owners are searched.
//!
//! A search may end without a word: an agent on the way is lost, or one of those asked could not tell yet.
//! The caller's own next try may be seconds away, or behind its deadline, so the balancer repeats the
//! search with the packet that it has.

use std::time::Duration;

use crate::generations::Generations;
use crate::{FlowTuple, Timestamp};

/// Packets kept in one generation: 2.4 MB of full ones.
const CAPACITY: usize = 2000;
/// How long a packet is kept at least: the repeats below fit in, and most callers have given up by then.
const LIFETIME: Duration = Duration::from_secs(4);
/// Time until the first repeat: a search through all agents of a service takes some 100 ms. It doubles
/// with each repeat.
const REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Repeats of one search.
const REPEATS: u32 = 4;

#[derive(Debug)]
struct Pending {
    packet: Vec<u8>,
    due: Timestamp,
    repeats: u32,
}

/// The searches of a balancer that have brought nothing yet.
#[derive(Debug)]
pub struct PendingSearches {
    pending: Generations<FlowTuple, Pending>,
}

impl Default for PendingSearches {
    fn default() -> Self {
        Self { pending: Generations::new(LIFETIME, CAPACITY) }
    }
}

impl PendingSearches {
    /// Keeps the packet with which a search begins; one that the caller has sent again takes its place.
    pub fn begin(&mut self, flow: FlowTuple, packet: &[u8], now: Timestamp) {
        let repeats = self.pending.peek(&flow).map_or(0, |pending| pending.repeats);
        let due = now + REPEAT_AFTER * 2_u32.pow(repeats);
        self.pending.insert(flow, Pending { packet: packet.to_vec(), due, repeats }, now);
    }

    /// Forgets a flow: it is found, or its caller knows that it is over.
    pub fn end(&mut self, flow: &FlowTuple) {
        self.pending.remove(flow);
    }

    /// Returns the packet of a flow whose search is to be repeated at once.
    #[must_use]
    pub fn packet(&self, flow: &FlowTuple) -> Option<&[u8]> {
        self.pending.peek(flow).map(|pending| pending.packet.as_slice())
    }

    /// Returns the flows whose searches are due to be repeated, and counts the repeat.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<FlowTuple> {
        let mut due = Vec::new();
        for (flow, pending) in self.pending.iter_mut() {
            if pending.due <= now && pending.repeats < REPEATS {
                pending.repeats += 1;
                due.push(*flow);
            }
        }
        due
    }

    /// Returns the number of packets kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no packet is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
