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
/// Time until the first repeat: a search that asks the directories alone takes some milliseconds. It doubles with each
/// repeat, as one that asks many agents takes longer.
const REPEAT_AFTER: Duration = Duration::from_millis(100);
/// Repeats of one search: over some three seconds.
const REPEATS: u32 = 5;
/// Packets of one flow that wait for the end of its search: as many as an end has under way.
const WAITING: usize = 16;
/// A packet that comes later than this after the search has begun is searched for itself: the answer to the search
/// takes some milliseconds where a directory knows the owner.
const WAIT: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Pending {
    /// The one with which the search has begun, and those that came after it.
    packets: Vec<Vec<u8>>,
    begun: Timestamp,
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
    /// Keeps a packet whose owner is not known; returns whether it is to be searched now. If a search for the
    /// flow's owner has only just begun, the packet waits for its end.
    pub fn begin(&mut self, flow: FlowTuple, packet: &[u8], now: Timestamp) -> bool {
        let mut repeats = 0;
        if let Some(pending) = self.pending.get_mut(&flow, now) {
            if now.since(pending.begun) < WAIT {
                if pending.packets.len() < WAITING {
                    pending.packets.push(packet.to_vec());
                }
                return false;
            }
            repeats = pending.repeats;
        }
        let due = now + REPEAT_AFTER * 2_u32.pow(repeats);
        let packets = vec![packet.to_vec()];
        self.pending.insert(flow, Pending { packets, begun: now, due, repeats }, now);
        true
    }

    /// Forgets a flow: it is found, or its caller knows that it is over. Returns the packets that have waited.
    pub fn end(&mut self, flow: &FlowTuple) -> Vec<Vec<u8>> {
        let Some(pending) = self.pending.remove(flow) else { return Vec::new() };
        pending.packets.into_iter().skip(1).collect()
    }

    /// Returns the packet with which the search for a flow's owner is to be repeated, which begins now.
    pub fn repeat(&mut self, flow: &FlowTuple, now: Timestamp) -> Option<Vec<u8>> {
        let pending = self.pending.get_mut(flow, now)?;
        pending.begun = now;
        pending.packets.first().cloned()
    }

    /// Returns the flows whose searches are due to be repeated, and counts the repeat.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<FlowTuple> {
        let mut due = Vec::new();
        for (flow, pending) in self.pending.iter_mut() {
            if pending.due <= now && pending.repeats < REPEATS {
                pending.repeats += 1;
                pending.due = now + REPEAT_AFTER * 2_u32.pow(pending.repeats);
                due.push(*flow);
            }
        }
        due
    }

    /// Has all searches repeated soon: those until `now` could not be sure, as this process did not know all others, and
    /// those that started a little later still don't.
    ///
    /// After a restart of everything no search is sure at first. Callers who have sent their last packet before they give
    /// up wait until one is; the next repeat of an early search may come behind their deadline.
    pub fn restart_repeats(&mut self, now: Timestamp) {
        for (_, pending) in self.pending.iter_mut() {
            pending.repeats = 0;
            pending.due = now + REPEAT_AFTER;
        }
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
