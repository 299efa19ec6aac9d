//! A balancer's memory of which agent holds a flow. It is a cache: losing it loses no flow.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::generations::Generations;
use crate::{FlowTuple, ProcessId, Timestamp};

/// Flows remembered at most: with some 40 bytes each, 20 MB of the 128 MB for control.
pub const OWNER_CACHE_CAPACITY: usize = 250_000;
/// How long an unused entry is kept at least: longer than any sensible idle time-out of a flow.
const OWNER_LIFETIME: Duration = Duration::from_secs(20);
/// A second proof that nobody holds a flow counts only this much later than the first, so that one
/// search that met a stale view breaks nothing: news of agents takes some 10 ms, a record of a new flow
/// up to 50 ms.
pub const MISSING_CONFIRM_DELAY: Duration = Duration::from_millis(50);
/// The same in the first seconds of a balancer, when all may have started: agents that do not know each other yet leave
/// their records where others do not look.
pub const MISSING_CONFIRM_DELAY_AT_START: Duration = Duration::from_millis(250);

/// What a balancer remembers of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// The agent.
    pub process: ProcessId,
    /// Where packets reach it.
    pub data: SocketAddrV4,
}

#[derive(Debug, Clone, Copy)]
enum Known {
    Owner(Owner),
    /// A search found no owner.
    Missing {
        since: Timestamp,
    },
}

/// The flows that a balancer has seen lately, with their owners.
#[derive(Debug)]
pub struct OwnerCache {
    known: Generations<FlowTuple, Known>,
}

impl Default for OwnerCache {
    fn default() -> Self {
        Self { known: Generations::new(OWNER_LIFETIME, OWNER_CACHE_CAPACITY) }
    }
}

impl OwnerCache {
    /// Returns the owner of a flow, which counts as a use.
    pub fn get(&mut self, flow: &FlowTuple, now: Timestamp) -> Option<Owner> {
        match self.known.get_mut(flow, now) {
            Some(Known::Owner(owner)) => Some(*owner),
            Some(Known::Missing { .. }) | None => None,
        }
    }

    /// Remembers the owner of a flow.
    pub fn set(&mut self, flow: FlowTuple, owner: Owner, now: Timestamp) {
        self.known.insert(flow, Known::Owner(owner), now);
    }

    /// Forgets a flow.
    pub fn forget(&mut self, flow: &FlowTuple) {
        self.known.remove(flow);
    }

    /// Notes that a search found no owner; returns whether that has now been found twice, `apart` from each other.
    pub fn missing(&mut self, flow: FlowTuple, apart: Duration, now: Timestamp) -> bool {
        match self.known.peek(&flow) {
            Some(Known::Missing { since }) => now.since(*since) >= apart,
            Some(Known::Owner(_)) | None => {
                self.known.insert(flow, Known::Missing { since: now }, now);
                false
            }
        }
    }

    /// Returns the number of flows held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no flow is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
