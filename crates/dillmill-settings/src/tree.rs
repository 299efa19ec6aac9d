//! The settings tree of HTTP/3 services as YAML texts, with the revision of each node.

use std::collections::BTreeMap;

use dillmill_core::Revision;
use serde::{Deserialize, Serialize};

use crate::{Change, NodePath};

/// Text of a node, with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Revision of the last change, against which an operator's edit is compared to detect conflicts.
    pub revision: Revision,
    /// YAML text as the operator wrote it.
    pub text: String,
}

/// The tree at one revision; snapshots are stored in this form.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// Revision of the last change applied.
    pub revision: Revision,
    /// All nodes, by path.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// Reason why a change was not applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The revision of the change does not directly follow that of the tree.
    #[error("change {change} does not directly follow revision {tree}")]
    NotNext {
        /// Revision of the tree.
        tree: Revision,
        /// Revision of the change.
        change: Revision,
    },
}

impl Tree {
    /// Applies the next change.
    ///
    /// # Errors
    ///
    /// Rejects a change that is not the next one, so a tree never reverts to an older state or
    /// skips a change.
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

    /// Returns the tree as it would be with the node at `path` set to `text`, or deleted for
    /// `None`, and with the next revision.
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

    /// Returns the revision that last changed the node, or revision 0 if the node does not exist.
    #[must_use]
    pub fn node_revision(&self, path: &NodePath) -> Revision {
        self.nodes.get(path).map_or(Revision(0), |node| node.revision)
    }

    /// Returns the differences from this tree to `other` as unified diffs, one for each node.
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

/// Returns the unified diff between two texts of a node.
#[must_use]
pub fn unified_diff(path: &NodePath, before: &str, after: &str) -> String {
    similar::TextDiff::from_lines(before, after)
        .unified_diff()
        .header(&format!("{path} (before)"), &format!("{path} (after)"))
        .to_string()
}
