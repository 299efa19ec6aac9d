//! The agents of a service that settle claims, and their order for a key.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{Home, HomeTable, ProcessId, Weight};

/// An idempotency key with its service and group, hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub [u8; 16]);

/// Number of a ring; a later ring has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// One agent of a ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RingMember {
    /// The agent's process.
    pub process: ProcessId,
    /// Its control address.
    pub control: SocketAddrV4,
}

/// A ring that was in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRing {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its agents.
    pub members: Vec<RingMember>,
}

impl PastRing {
    /// Returns whether `process` was the only agent.
    #[must_use]
    pub fn is_sole_member(&self, process: ProcessId) -> bool {
        self.members.len() == 1 && self.members[0].process == process
    }
}

/// The ring of a service as the platform holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ring {
    /// Epoch in force.
    pub epoch: Epoch,
    /// Agents in force.
    pub members: Vec<RingMember>,
    /// Rings that may still have live records, newest first.
    pub past: Vec<PastRing>,
    /// Agents that left and first passed all their records on; nobody needs to ask them.
    pub handed_over: BTreeSet<ProcessId>,
}

impl Ring {
    /// Returns the next ring, with `add` and without `remove`.
    ///
    /// Past rings from `live_since` on may still have live records. An epoch, not a number of rings: another agent
    /// may have changed the ring since the caller looked.
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

    /// Returns this ring without its past rings in which `process` was alone.
    ///
    /// Only `process` may do this, after it has passed all its records to the authorities of this
    /// ring: until then nobody else has copies, and its loss would leave every key unknown.
    #[must_use]
    pub fn without_sole_rings(&self, process: ProcessId) -> Self {
        let mut next = self.changed(&[], &[], Epoch::default());
        next.past.retain(|past| !past.is_sole_member(process));
        next
    }

    /// Returns this ring with `process` marked as having passed on its records.
    #[must_use]
    pub fn with_handed_over(&self, process: ProcessId) -> Self {
        let mut next = self.changed(&[], &[process], Epoch::default());
        next.handed_over.insert(process);
        next
    }

    /// Returns whether `process` is in force.
    #[must_use]
    pub fn contains(&self, process: ProcessId) -> bool {
        self.members.iter().any(|m| m.process == process)
    }
}

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
