//! Records at an agent of the owners of other agents' flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::generation_cache::GenerationCache;
use crate::{FlowLifetimes, FlowTuple, ProcessId, Timestamp};

/// Maximum number of flows in one generation. 7.7 million flows with two directories each, over
/// 5,600 agents, are 2,750 per agent.
const CAPACITY: usize = 50_000;
/// Maximum number of records of one flow tuple. A caller sends its opening packet three times, and as
/// many targets may answer; one more record names the agent to which the packet was passed. The
/// others may be of earlier flows of a caller that uses its ports again.
const MAX_CLAIMS: usize = 8;
/// Maximum distance of a caller's acknowledgement from the initial sequence number of the target that
/// owns the flow.
const ACK_WINDOW: u32 = 1 << 24;

/// States that a target has answered the opening packet of a flow, or that the packet was passed to
/// the target's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// The flow.
    pub flow: FlowTuple,
    /// Initial sequence number of the target, if its answer to the opening packet was seen.
    pub target_seq: Option<u32>,
    /// The caller has acknowledged this target, so no other can own the flow unless the caller has used
    /// the port again.
    pub open: bool,
    /// Agent of the target.
    pub owner: ProcessId,
    /// Data address of the agent.
    pub data: SocketAddrV4,
}

/// The records that a directory keeps for other agents. Owners register their flows again when the
/// directories change.
#[derive(Debug)]
pub struct FlowDirectory {
    records: GenerationCache<FlowTuple, Vec<FlowRecord>>,
}

impl Default for FlowDirectory {
    fn default() -> Self {
        Self::new(FlowLifetimes::default().record())
    }
}

impl FlowDirectory {
    /// Creates a directory that keeps a record for `lifetime`.
    #[must_use]
    pub fn new(lifetime: Duration) -> Self {
        Self { records: GenerationCache::new(lifetime, CAPACITY) }
    }

    /// Sets the time for which a record is kept: longer than the age of the oldest flow that must be
    /// found again.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.records.set_lifetime(lifetime);
    }

    /// Adds a record.
    pub fn register(&mut self, record: FlowRecord, now: Timestamp) {
        let mut claims = self.records.remove(&record.flow).unwrap_or_else(|| Vec::with_capacity(1));
        // An open flow is no longer where its opening packet was passed.
        let keeps = |other: &FlowRecord| !record.open || other.target_seq.is_some();
        claims.retain(|other| other.data != record.data && keeps(other));
        claims.insert(0, record);
        if claims.len() > MAX_CLAIMS {
            // The least certain record is removed first: one of where the packet was passed, then
            // one of the target that answered longest ago.
            let certainty = |r: &FlowRecord| (r.open, r.target_seq.is_some());
            let behind = claims.iter().enumerate().skip(1);
            let least = behind.min_by_key(|(i, r)| (certainty(r), std::cmp::Reverse(*i)));
            if let Some((i, _)) = least {
                claims.remove(i);
            }
        }
        self.records.insert(record.flow, claims, now);
    }

    /// Returns the most likely owner of a flow whose caller expects byte `ack` of the target next.
    pub fn owner(&mut self, flow: &FlowTuple, ack: u32, now: Timestamp) -> Option<FlowRecord> {
        let claims = self.records.get_mut(flow, now)?;
        let distance = |r: &FlowRecord| r.target_seq.map_or(u32::MAX, |seq| ack.wrapping_sub(seq));
        // An earlier flow of the same tuple may still be on record as open, at another target.
        let rank = |r: &&FlowRecord| {
            let distance = distance(r);
            let near = distance <= ACK_WINDOW;
            (!near, !near && !r.open, distance)
        };
        claims.iter().min_by_key(rank).copied()
    }

    /// Returns the number of flows on record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no flow is on record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
