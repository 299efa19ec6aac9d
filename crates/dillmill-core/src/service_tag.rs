//! Short form of a service's name on packets between processes.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ServiceName;

/// Hash of a service's name: 4 bytes on every packet in place of up to 63.
///
/// Two of 640 services share a tag with a probability of 5 in 100,000; the tree of routes refuses
/// such a pair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u32);

impl From<&ServiceName> for ServiceTag {
    fn from(name: &ServiceName) -> Self {
        let [a, b, c, d, ..] = xxh3_64(name.as_str().as_bytes()).to_be_bytes();
        Self(u32::from_be_bytes([a, b, c, d]))
    }
}

impl fmt::Display for ServiceTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
