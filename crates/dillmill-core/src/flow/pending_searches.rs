//! Keeps packets at a balancer while the owners of their flows are searched for, and repeats these
//! searches.
//!
//! A search may end without a reply: an agent on the way was lost, or one of those asked could not
//! tell yet. The caller's own next attempt may be seconds away or come after its deadline, so the
//! balancer repeats the search with the packet that it has kept.

use std::time::Duration;

use crate::generation_cache::GenerationCache;
use crate::{FlowTuple, Timestamp};

/// Maximum number of searches in one generation: 2.4 MB with one packet of full size each.
const CAPACITY: usize = 2000;
/// Minimum time for which a packet is kept. The repeats below take less, and most callers have
/// given up by then.
const LIFETIME: Duration = Duration::from_secs(4);
/// Time until the first repeat. A search that asks only the directories takes some milliseconds.
/// The time doubles with each repeat, as a search that asks many agents takes longer.
const FIRST_REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of repeats of one search, over some three seconds.
const MAX_REPEATS: u32 = 5;
/// Maximum number of packets of one flow kept during a search: as many as one end of a flow has in
/// flight.
const MAX_WAITING_PACKETS: usize = 16;
/// Time after the start of a search in which further packets wait for its result. A later packet
/// starts a search of its own. Where a directory knows the owner, a search takes some milliseconds.
const WAIT_FOR_SEARCH: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Pending {
    /// The packet that has started the search, then those that came after it.
    packets: Vec<Vec<u8>>,
    begun: Timestamp,
    due: Timestamp,
    repeats: u32,
}

/// The searches of a balancer that have found no owner yet.
#[derive(Debug)]
pub struct PendingSearches {
    pending: GenerationCache<FlowTuple, Pending>,
}

impl Default for PendingSearches {
    fn default() -> Self {
        Self { pending: GenerationCache::new(LIFETIME, CAPACITY) }
    }
}

impl PendingSearches {
    /// Keeps a packet whose flow has no known owner; returns whether to start a search now. If a
    /// search for the flow has just begun, the packet waits for its result.
    pub fn begin(&mut self, flow: FlowTuple, packet: &[u8], now: Timestamp) -> bool {
        let mut repeats = 0;
        if let Some(pending) = self.pending.get_mut(&flow, now) {
            if now.since(pending.begun) < WAIT_FOR_SEARCH {
                if pending.packets.len() < MAX_WAITING_PACKETS {
                    pending.packets.push(packet.to_vec());
                }
                return false;
            }
            repeats = pending.repeats;
        }
        let due = now + FIRST_REPEAT_DELAY * 2_u32.pow(repeats);
        let packets = vec![packet.to_vec()];
        self.pending.insert(flow, Pending { packets, begun: now, due, repeats }, now);
        true
    }

    /// Ends the search for a flow: its owner is found, or its caller knows that the flow is over.
    /// Returns the packets that have waited.
    pub fn end(&mut self, flow: &FlowTuple) -> Vec<Vec<u8>> {
        let Some(pending) = self.pending.remove(flow) else { return Vec::new() };
        pending.packets.into_iter().skip(1).collect()
    }

    /// Returns the packet with which to repeat the search for a flow's owner, and notes that the
    /// search begins now.
    pub fn repeat(&mut self, flow: &FlowTuple, now: Timestamp) -> Option<Vec<u8>> {
        let pending = self.pending.get_mut(flow, now)?;
        pending.begun = now;
        pending.packets.first().cloned()
    }

    /// Returns the flows whose searches are due for a repeat, and counts the repeat.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<FlowTuple> {
        let mut due = Vec::new();
        for (flow, pending) in self.pending.iter_mut() {
            if pending.due <= now && pending.repeats < MAX_REPEATS {
                pending.repeats += 1;
                pending.due = now + FIRST_REPEAT_DELAY * 2_u32.pow(pending.repeats);
                due.push(*flow);
            }
        }
        due
    }

    /// Schedules an early repeat of all searches. Searches until `now` could not be sure because
    /// this process did not know all others, and processes that started a little later still don't.
    ///
    /// After a restart of all processes no search is sure at first. Callers that have sent their
    /// last packet before they give up depend on a repeat; the next regular one of an early search
    /// may come after their deadline.
    pub fn restart_repeats(&mut self, now: Timestamp) {
        for (_, pending) in self.pending.iter_mut() {
            pending.repeats = 0;
            pending.due = now + FIRST_REPEAT_DELAY;
        }
    }

    /// Returns the number of searches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether there are no searches.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
