//! Compact service identifier in packets between processes.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ServiceName;

/// Hash of a service's name, which takes 4 bytes in each packet instead of up to 63.
///
/// The probability that any two of 640 services have the same tag is 5 in 100,000. The route tree rejects
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
