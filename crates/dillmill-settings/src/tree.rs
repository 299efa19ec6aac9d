//! The tree as text, with the revision of each node.

use std::collections::BTreeMap;

use dillmill_core::Revision;
use serde::{Deserialize, Serialize};

use crate::{Change, NodePath};

/// Text of a node and the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Revision of the last change; what an operator's edit is compared with.
    pub revision: Revision,
    /// YAML as the operator wrote it.
    pub text: String,
}

/// A state of the tree; also the form of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// Number of the last change taken in.
    pub revision: Revision,
    /// All nodes.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// Why a change was not taken in.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The change is not the next one.
    #[error("change {change} does not follow revision {tree}")]
    NotNext {
        /// Revision of the tree.
        tree: Revision,
        /// Revision of the change.
        change: Revision,
    },
}

impl Tree {
    /// Takes in the next change.
    ///
    /// # Errors
    ///
    /// Refuses a change that is not the next one, so a tree never goes back or skips.
    pub fn apply(&mut self, change: &Change) -> Result<(), ApplyError> {
        if change.revision != self.revision.next() {
            return Err(ApplyError::NotNext { tree: self.revision, change: change.revision });
        }
        self.revision = change.revision;
        match &change.text {
            Some(text) => {
                let node = Node { revision: change.revision, text: text.clone() };
                self.nodes.insert(change.path.clone(), node);
            }
            None => {
                self.nodes.remove(&change.path);
            }
        }
        Ok(())
    }

    /// Returns the tree as it would be after `change`, numbered as the next one.
    #[must_use]
    pub fn with(&self, path: NodePath, text: Option<String>) -> Self {
        let mut next = self.clone();
        next.revision = self.revision.next();
        match text {
            Some(text) => {
                next.nodes.insert(path, Node { revision: next.revision, text });
            }
            None => {
                next.nodes.remove(&path);
            }
        }
        next
    }

    /// Returns the revision that last changed the node, or revision 0 if there is none.
    #[must_use]
    pub fn node_revision(&self, path: &NodePath) -> Revision {
        self.nodes.get(path).map_or(Revision(0), |node| node.revision)
    }

    /// Returns the differences to `other`, node by node, as a unified diff.
    #[must_use]
    pub fn diff(&self, other: &Self) -> String {
        let mut out = String::new();
        let paths: std::collections::BTreeSet<_> =
            self.nodes.keys().chain(other.nodes.keys()).collect();
        for path in paths {
            let text = |tree: &Self| tree.nodes.get(path).map_or("", |n| &n.text).to_owned();
            let (before, after) = (text(self), text(other));
            if before != after {
                out.push_str(&unified_diff(path, &before, &after));
            }
        }
        out
    }
}

/// Returns a unified diff of two texts of a node.
#[must_use]
pub fn unified_diff(path: &NodePath, before: &str, after: &str) -> String {
    similar::TextDiff::from_lines(before, after)
        .unified_diff()
        .header(&format!("{path} (before)"), &format!("{path} (after)"))
        .to_string()
}
