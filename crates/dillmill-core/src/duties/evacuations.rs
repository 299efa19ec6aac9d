//! Evacuation orders: which data centres get no new flows.
//!
//! Operators order an evacuation for one data centre at a time and revoke it later. Processes pass on
//! the complete set of orders together with its revision, so that a process that has missed some changes
//! needs only the newest set.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Revision, ZoneName};

/// An evacuation order that an operator gives or revokes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub zone: ZoneName,
    /// Whether the order is given; otherwise it is revoked.
    pub ordered: bool,
    /// Revision of the change.
    pub revision: Revision,
}

/// The data centres under evacuation, which get no new flows, as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: Revision,
    zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Creates the set of orders in force at `revision`.
    #[must_use]
    pub fn new(revision: Revision, zones: impl IntoIterator<Item = ZoneName>) -> Self {
        Self { revision, zones: zones.into_iter().collect() }
    }

    /// Returns the revision of this set of orders.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the data centres under evacuation.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.iter()
    }

    /// Returns whether `zone` is under evacuation.
    #[must_use]
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Returns whether no data centre is under evacuation.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Applies `changes`, given oldest first, and returns the new set, or `None` if all of them are
    /// already included.
    ///
    /// All changes of one revision must be in the same call, as they were made by one write.
    #[must_use]
    pub fn after(&self, changes: &[EvacuationChange]) -> Option<Self> {
        let newer: Vec<_> = changes.iter().filter(|c| c.revision > self.revision).collect();
        let revision = newer.iter().map(|c| c.revision).max()?;
        let mut zones = self.zones.clone();
        for change in newer {
            if change.ordered {
                zones.insert(change.zone.clone());
            } else {
                zones.remove(&change.zone);
            }
        }
        Some(Self { revision, zones })
    }
}
