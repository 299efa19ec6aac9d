//! The platform's HTTP protocol.
//!
//! | Call | Meaning |
//! |---|---|
//! | `GET /v1/kv/KEY` | the entry, or 404 |
//! | `PUT /v1/kv/KEY?expect=V` | compare-and-swap: 200, or 409 with the entry that is there |
//! | `DELETE /v1/kv/KEY?expect=V` | the same |
//! | `GET /v1/watch/KEY?after=V&wait_ms=N` | the entry once its version is above V, or 304 |
//! | `GET /v1/vms` | the list of VMs, which lags |
//!
//! Version 0 stands for "no entry".

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of an entry; 0 where there is none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Version.
    pub version: Version,
    /// Value.
    pub value: String,
}

/// Outcome of a compare-and-swap whose answer came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CasOutcome {
    /// Written, with the new version.
    Written(Version),
    /// Not written; what is there instead, if anything.
    Conflict(Option<Entry>),
}
