//! Defines a change of one node, the unit in which accepted edits of the tree are logged.

use std::fmt;
use std::str::FromStr;

use dillmill_core::{Revision, Timestamp};
use serde::{Deserialize, Serialize};

use crate::NodePath;

/// Identifier that the writer of a change draws at random, so that a writer whose response was lost can
/// distinguish its own write from another writer's.
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

/// A change of one node, with its position in the sequence of all changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Position in the sequence, which is the tree's revision once the change is applied.
    pub revision: Revision,
    /// Identifier of the write.
    pub write_id: WriteId,
    /// Author of the change.
    pub author: String,
    /// Time of the change by the author's clock.
    pub at: Timestamp,
    /// Path of the changed node.
    pub path: NodePath,
    /// New YAML text of the node, or `None` to delete the node.
    pub text: Option<String>,
}
