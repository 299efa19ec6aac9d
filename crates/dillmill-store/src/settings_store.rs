//! Stores the log of settings changes in the platform's store.
//!
//! Change n is the entry `settings/log/n`, which is created once and never overwritten. An edit is
//! accepted by creating the entry with the next number, so only one of two concurrent edits succeeds.
//! The entry holds the id of the write, so a writer whose response was lost can read the entry back to
//! learn whether its edit was accepted. `settings/snapshot` holds a periodic snapshot of the whole tree,
//! so that new processes read fewer changes.

use std::time::Duration;

use dillmill_core::{Revision, Timestamp};
use dillmill_settings::{Change, NodePath, Problem, Tree, WriteId, tree::unified_diff};
use error_stack::{Report, ResultExt};

use dillmill_platform::{PlatformError, Store, Version};

use crate::{CasOutcome, Entries};

const SNAPSHOT_KEY: &str = "settings/snapshot";
/// Number of changes between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 64;
const WRITE_ATTEMPTS: usize = 20;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

fn log_key(revision: Revision) -> String {
    format!("settings/log/{:012}", revision.0)
}

/// Reads and writes the settings tree in the platform's store.
#[derive(Debug, Clone)]
pub struct SettingsStore {
    entries: Entries,
}

/// Reason why an edit was not accepted. Nothing was written, except that after
/// [`WriteError::Platform`] the outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    /// The edit would make the tree invalid.
    #[error("the edit is refused; nothing was written:\n{}", format_problems(.0))]
    Invalid(Vec<Problem>),
    /// Another author changed the node after the operator read it.
    #[error(
        "{path} was changed by {author} at revision {revision} after you read it; \
         nothing was written:\n{diff}"
    )]
    Conflict {
        /// Path of the node.
        path: NodePath,
        /// Author of the other change.
        author: String,
        /// Revision of the other change.
        revision: Revision,
        /// Unified diff from the text of this edit to the current text of the node.
        diff: String,
    },
    /// A call to the platform failed.
    #[error("the platform failed; it is unknown whether the edit was accepted")]
    Platform,
    /// Other writers were faster in every attempt.
    #[error("other writers were faster in every attempt; nothing was written, try again")]
    Busy,
}

fn format_problems(problems: &[Problem]) -> String {
    problems.iter().map(|p| format!("  {p}")).collect::<Vec<_>>().join("\n")
}

/// An operator's edit.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Author of the edit.
    pub author: String,
    /// Path of the node.
    pub path: NodePath,
    /// New text of the node, or `None` to delete the node.
    pub text: Option<String>,
    /// Revision of the node on which the operator based the edit; 0 if the node did not exist.
    pub seen: Revision,
    /// Identifier of the write.
    pub write_id: WriteId,
}

impl SettingsStore {
    /// Creates the access to the settings in `store`.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self { entries: Entries::new(store) }
    }

    /// Reads change `revision`, if it exists.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails or the entry does not hold a change.
    pub async fn change(
        &self,
        revision: Revision,
    ) -> Result<Option<Change>, Report<PlatformError>> {
        let entry = self.entries.get(&log_key(revision)).await?;
        entry.map(|entry| self.decode(&entry.value)).transpose()
    }

    /// Waits up to `wait` for change `revision`.
    ///
    /// # Errors
    ///
    /// As [`SettingsStore::change`].
    pub async fn wait_for(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<Option<Change>, Report<PlatformError>> {
        let entry = self.entries.wait_for(&log_key(revision), wait).await?;
        entry.map(|entry| self.decode(&entry.value)).transpose()
    }

    fn decode<T: serde::de::DeserializeOwned>(
        &self,
        value: &[u8],
    ) -> Result<T, Report<PlatformError>> {
        serde_json::from_slice(value).map_err(|e| {
            let peer = self.entries.store().base().to_owned();
            Report::new(PlatformError { step: "decode settings", peer, what: e.to_string() })
        })
    }

    /// Updates `tree` to the newest revision.
    ///
    /// # Errors
    ///
    /// As [`SettingsStore::change`]; `tree` then includes the changes that were read before the failure.
    pub async fn catch_up(&self, tree: &mut Tree) -> Result<(), Report<PlatformError>> {
        if tree.revision == Revision(0)
            && let Some(entry) = self.entries.get(SNAPSHOT_KEY).await?
        {
            // Without a readable snapshot, all changes are read.
            *tree = self.decode(&entry.value).unwrap_or_default();
        }
        while let Some(change) = self.change(tree.revision.next()).await? {
            if tree.apply(&change).is_err() {
                break;
            }
        }
        Ok(())
    }

    /// Reads the newest tree.
    ///
    /// # Errors
    ///
    /// As [`SettingsStore::change`].
    pub async fn tree(&self) -> Result<Tree, Report<PlatformError>> {
        let mut tree = Tree::default();
        self.catch_up(&mut tree).await?;
        Ok(tree)
    }

    /// Validates an edit against the newest tree and writes it to the log.
    ///
    /// # Errors
    ///
    /// Rejects an edit that makes the tree invalid, or whose node another author has changed since the
    /// operator read it. On [`WriteError::Platform`] the outcome is unknown; the same edit may be submitted
    /// again with the same write id and is accepted only once.
    pub async fn write(&self, edit: &Edit, now: Timestamp) -> Result<Revision, Report<WriteError>> {
        let mut tree = Tree::default();
        let mut last_error = None;
        for attempt in 0..WRITE_ATTEMPTS {
            if attempt > 0 {
                compio::time::sleep(RETRY_PAUSE).await;
            }
            match self.try_write(edit, &mut tree, now).await {
                Ok(Some(revision)) => return Ok(revision),
                Ok(None) => last_error = None,
                Err(report) => match report.current_context() {
                    WriteError::Platform => last_error = Some(report),
                    _ => return Err(report),
                },
            }
        }
        Err(last_error.unwrap_or_else(|| Report::new(WriteError::Busy)))
    }

    async fn try_write(
        &self,
        edit: &Edit,
        tree: &mut Tree,
        now: Timestamp,
    ) -> Result<Option<Revision>, Report<WriteError>> {
        if let Some(revision) = self.catch_up_for_edit(edit, tree).await? {
            return Ok(Some(revision));
        }
        let next = tree.with(edit.path.clone(), edit.text.clone());
        next.check().map_err(|problems| Report::new(WriteError::Invalid(problems)))?;
        let change = Change {
            revision: next.revision,
            write_id: edit.write_id,
            author: edit.author.clone(),
            at: now,
            path: edit.path.clone(),
            text: edit.text.clone(),
        };
        let value = serde_json::to_string(&change).change_context(WriteError::Platform)?;
        let outcome = self
            .entries
            .put(&log_key(change.revision), &value, Version(0))
            .await
            .change_context(WriteError::Platform)?;
        match outcome {
            CasOutcome::Written(_) => {
                self.snapshot_if_due(&next).await;
                Ok(Some(change.revision))
            }
            CasOutcome::Conflict(_) => Ok(None),
        }
    }

    /// Reads newer changes into `tree`. Returns the revision of this write if an earlier attempt
    /// was accepted, and fails with a conflict if another author has changed the node.
    async fn catch_up_for_edit(
        &self,
        edit: &Edit,
        tree: &mut Tree,
    ) -> Result<Option<Revision>, Report<WriteError>> {
        if tree.revision.0 == 0 {
            *tree = self.tree().await.change_context(WriteError::Platform)?;
        }
        while let Some(change) =
            self.change(tree.revision.next()).await.change_context(WriteError::Platform)?
        {
            if change.write_id == edit.write_id {
                return Ok(Some(change.revision));
            }
            if tree.apply(&change).is_err() {
                break;
            }
        }
        let current = tree.node_revision(&edit.path);
        if current == edit.seen {
            return Ok(None);
        }
        // The node has changed since the operator read it, either by an earlier attempt of this write or
        // by another author.
        let last = if current.0 > 0 {
            self.change(current).await.change_context(WriteError::Platform)?
        } else {
            None
        };
        if last.as_ref().is_some_and(|change| change.write_id == edit.write_id) {
            return Ok(Some(current));
        }
        let theirs = tree.nodes.get(&edit.path).map_or("", |node| &node.text);
        let ours = edit.text.as_deref().unwrap_or("");
        Err(Report::new(WriteError::Conflict {
            path: edit.path.clone(),
            author: last.map_or_else(|| "someone".to_owned(), |change| change.author),
            revision: if current.0 > 0 { current } else { tree.revision },
            diff: unified_diff(&edit.path, ours, theirs),
        }))
    }

    /// Writes a snapshot every [`SNAPSHOT_EVERY`] changes. A failure is ignored, as it only makes
    /// new processes read more changes.
    async fn snapshot_if_due(&self, tree: &Tree) {
        if !tree.revision.0.is_multiple_of(SNAPSHOT_EVERY) {
            return;
        }
        let Ok(there) = self.entries.get(SNAPSHOT_KEY).await else { return };
        let version = there.as_ref().map_or(Version(0), |entry| entry.version);
        let newer = there
            .and_then(|entry| serde_json::from_slice::<Tree>(&entry.value).ok())
            .is_some_and(|old| old.revision >= tree.revision);
        if let (false, Ok(value)) = (newer, serde_json::to_string(tree)) {
            let _ = self.entries.put(SNAPSHOT_KEY, &value, version).await;
        }
    }
}
