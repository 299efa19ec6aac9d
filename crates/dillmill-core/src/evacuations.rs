//! Which data centres are to get no new flows.
//!
//! Operators order it, one data centre at a time, and take the order back. Processes pass the orders in force on as a
//! whole, with the revision at which they stood, so that a process that has missed some of them needs only the newest.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Revision, ZoneName};

/// An order of an operator, or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub zone: ZoneName,
    /// The order holds from now on; otherwise it is taken back.
    pub ordered: bool,
    /// The revision of the change.
    pub revision: Revision,
}

/// The data centres that are to get no new flows, as it stood at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: Revision,
    zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Creates the orders that stood at `revision`.
    #[must_use]
    pub fn new(revision: Revision, zones: impl IntoIterator<Item = ZoneName>) -> Self {
        Self { revision, zones: zones.into_iter().collect() }
    }

    /// Returns the revision at which the orders stood.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the data centres that are to get no new flows.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.iter()
    }

    /// Returns whether `zone` is to get no new flows.
    #[must_use]
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the orders after `changes`, oldest first; `None` if all of them are known already.
    ///
    /// Changes of one revision are told together, as they were made by one write.
    #[must_use]
    pub fn after(&self, changes: &[EvacuationChange]) -> Option<Self> {
        let news: Vec<_> = changes.iter().filter(|c| c.revision > self.revision).collect();
        let revision = news.iter().map(|c| c.revision).max()?;
        let mut zones = self.zones.clone();
        for change in news {
            if change.ordered {
                zones.insert(change.zone.clone());
            } else {
                zones.remove(&change.zone);
            }
        }
        Some(Self { revision, zones })
    }
}
