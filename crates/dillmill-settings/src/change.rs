//! One accepted edit of the tree.

use std::fmt;
use std::str::FromStr;

use dillmill_core::{Revision, Timestamp};
use serde::{Deserialize, Serialize};

use crate::NodePath;

/// Drawn at random by the writer, so that a write whose answer was lost can be told from another's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct WriteId(pub u64);

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for WriteId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for WriteId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<WriteId> for String {
    fn from(id: WriteId) -> Self {
        id.to_string()
    }
}

/// A change of one node, with its place in the order of all changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Place in the order; the tree's revision once this is in force.
    pub revision: Revision,
    /// Names this write.
    pub write_id: WriteId,
    /// Who made it.
    pub author: String,
    /// When, by the author's clock.
    pub at: Timestamp,
    /// The node.
    pub path: NodePath,
    /// The node's new YAML text, or `None` to delete it.
    pub text: Option<String>,
}
