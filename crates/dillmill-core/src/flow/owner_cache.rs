//! Caches at a balancer which agent holds a flow. Losing an entry loses no flow.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::generation_cache::GenerationCache;
use crate::{FlowTuple, ProcessId, Timestamp};

/// Maximum number of flows: at some 40 bytes each, 20 MB of the 128 MB for control.
pub const OWNER_CACHE_CAPACITY: usize = 250_000;
/// Minimum time for which an unused entry is kept: longer than any sensible idle time-out of a
/// flow.
const OWNER_LIFETIME: Duration = Duration::from_secs(20);
/// Minimum time between two proofs that no agent holds a flow before the flow is taken as missing.
/// One search that used an outdated view thus resets no flow: news of agents takes some 10 ms, the
/// record of a new flow up to 50 ms.
pub const MISSING_CONFIRM_DELAY: Duration = Duration::from_millis(50);
/// The same in the first seconds of a balancer, when all processes may have just started: agents
/// that do not know each other yet send their records to directories where others do not look.
pub const MISSING_CONFIRM_DELAY_AT_START: Duration = Duration::from_millis(250);

/// Owner of a flow as a balancer knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// Process id of the agent.
    pub process: ProcessId,
    /// Data address of the agent.
    pub data: SocketAddrV4,
}

#[derive(Debug, Clone, Copy)]
enum CacheEntry {
    Owner(Owner),
    /// A search has found no owner.
    Missing {
        since: Timestamp,
    },
}

/// The flows that a balancer has seen recently, with their owners.
#[derive(Debug)]
pub struct OwnerCache {
    entries: GenerationCache<FlowTuple, CacheEntry>,
}

impl Default for OwnerCache {
    fn default() -> Self {
        Self { entries: GenerationCache::new(OWNER_LIFETIME, OWNER_CACHE_CAPACITY) }
    }
}

impl OwnerCache {
    /// Returns the owner of a flow and counts as a use of the entry.
    pub fn get(&mut self, flow: &FlowTuple, now: Timestamp) -> Option<Owner> {
        match self.entries.get_mut(flow, now) {
            Some(CacheEntry::Owner(owner)) => Some(*owner),
            Some(CacheEntry::Missing { .. }) | None => None,
        }
    }

    /// Stores the owner of a flow.
    pub fn set(&mut self, flow: FlowTuple, owner: Owner, now: Timestamp) {
        self.entries.insert(flow, CacheEntry::Owner(owner), now);
    }

    /// Removes a flow.
    pub fn forget(&mut self, flow: &FlowTuple) {
        self.entries.remove(flow);
    }

    /// Notes that a search has found no owner; returns whether an earlier search, at least `apart`
    /// before, has also found none.
    pub fn missing(&mut self, flow: FlowTuple, apart: Duration, now: Timestamp) -> bool {
        match self.entries.peek(&flow) {
            Some(CacheEntry::Missing { since }) => now.since(*since) >= apart,
            Some(CacheEntry::Owner(_)) | None => {
                self.entries.insert(flow, CacheEntry::Missing { since: now }, now);
                false
            }
        }
    }

    /// Returns the number of flows in the cache.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
