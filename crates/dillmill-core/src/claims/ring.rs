//! The ring of agents that decide claims for a service, and their order of precedence for a key.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{Home, HomeTable, ProcessId, Weight};

/// Hash of an idempotency key together with its service and group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub [u8; 16]);

/// Version number of a ring; a later ring has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// An agent in a ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RingMember {
    /// The agent's process.
    pub process: ProcessId,
    /// Its control address.
    pub control: SocketAddrV4,
}

/// A ring that is no longer in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRing {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its agents.
    pub members: Vec<RingMember>,
}

impl PastRing {
    /// Returns whether `process` was the only agent in this ring.
    #[must_use]
    pub fn is_sole_member(&self, process: ProcessId) -> bool {
        self.members.len() == 1 && self.members[0].process == process
    }
}

/// The ring of a service, as stored in the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ring {
    /// Current epoch.
    pub epoch: Epoch,
    /// Current agents.
    pub members: Vec<RingMember>,
    /// Past rings that may still have live records, newest first.
    pub past: Vec<PastRing>,
    /// Agents that handed over all their records before they left, and so need not be asked.
    pub handed_over: BTreeSet<ProcessId>,
}

impl Ring {
    /// Returns the next ring, with the agents in `add` and without those in `remove`.
    ///
    /// Past rings from epoch `live_since` on are kept, as they may still have live records. This is an
    /// epoch and not a number of rings, because another agent may have changed the ring since the caller
    /// read it.
    #[must_use]
    pub fn changed(&self, add: &[RingMember], remove: &[ProcessId], live_since: Epoch) -> Self {
        let mut next = self.clone();
        next.past.retain(|past| past.epoch >= live_since);
        next.past.insert(0, PastRing { epoch: self.epoch, members: self.members.clone() });
        next.epoch = Epoch(self.epoch.0 + 1);
        next.members.retain(|m| !remove.contains(&m.process));
        for member in add {
            if !next.members.iter().any(|m| m.process == member.process) {
                next.members.push(*member);
            }
        }
        let known: BTreeSet<ProcessId> =
            next.past.iter().flat_map(|r| r.members.iter().map(|m| m.process)).collect();
        next.handed_over.retain(|p| known.contains(p));
        next
    }

    /// Returns the next ring without the past rings in which `process` was the only agent.
    ///
    /// Only `process` may do this, and only after it has handed over all its records to the authorities
    /// of this ring. Until then no other agent has copies, and its loss would leave every key unknown.
    #[must_use]
    pub fn without_sole_rings(&self, process: ProcessId) -> Self {
        let mut next = self.changed(&[], &[], Epoch::default());
        next.past.retain(|past| !past.is_sole_member(process));
        next
    }

    /// Returns the next ring without `process`, marked as having handed over its records.
    #[must_use]
    pub fn with_handed_over(&self, process: ProcessId) -> Self {
        let mut next = self.changed(&[], &[process], Epoch::default());
        next.handed_over.insert(process);
        next
    }

    /// Returns whether `process` is a current agent of this ring.
    #[must_use]
    pub fn contains(&self, process: ProcessId) -> bool {
        self.members.iter().any(|m| m.process == process)
    }
}

/// Returns `members` in their order of precedence for `key`, by rendezvous hashing; the first is the
/// authority.
pub(super) fn ranked(members: &[RingMember], key: ClaimKey) -> Vec<RingMember> {
    let homes = members.iter().map(|m| Home {
        process: m.process,
        data: m.control,
        control: m.control,
        weight: Weight(1),
    });
    let table = HomeTable::new(homes);
    table
        .ranked(&key.0)
        .into_iter()
        .map(|home| RingMember { process: home.process, control: home.control })
        .collect()
}
