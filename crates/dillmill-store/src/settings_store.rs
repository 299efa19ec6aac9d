//! The log of settings changes in the platform.
//!
//! Change n is the entry `settings/log/n`, which is created once and never written again. Whoever
//! creates the entry for the next number has its edit accepted; of two operators one wins. The
//! entry holds the write's own id, so a writer whose answer was lost reads the entry back and knows.
//! `settings/snapshot` holds a whole tree now and then, for newcomers.

use std::time::Duration;

use dillmill_core::{Revision, Timestamp};
use dillmill_settings::{Change, NodePath, Problem, Tree, WriteId, tree::unified_diff};
use error_stack::{Report, ResultExt};

use dillmill_platform::{PlatformError, Store, Version};

use crate::{CasOutcome, Entries};

const SNAPSHOT_KEY: &str = "settings/snapshot";
/// Changes between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 64;
const WRITE_ATTEMPTS: usize = 20;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

fn log_key(revision: Revision) -> String {
    format!("settings/log/{:012}", revision.0)
}

/// Reads and writes the tree in the platform.
#[derive(Debug, Clone)]
pub struct SettingsStore {
    entries: Entries,
}

/// Why an edit was not accepted; nothing was written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    /// The tree would be wrong.
    #[error("the edit is refused; nothing was written:\n{}", list(.0))]
    Invalid(Vec<Problem>),
    /// Someone else changed the node since the operator read it.
    #[error(
        "{path} was changed by {author} at revision {revision} after you read it; \
         nothing was written:\n{diff}"
    )]
    Conflict {
        /// The node.
        path: NodePath,
        /// Who changed it.
        author: String,
        /// When in the order of changes.
        revision: Revision,
        /// What they changed.
        diff: String,
    },
    /// The platform failed.
    #[error("the platform failed; whether the edit was accepted is not known")]
    Platform,
    /// Others were faster again and again.
    #[error("others kept writing; nothing was written, try again")]
    Busy,
}

fn list(problems: &[Problem]) -> String {
    problems.iter().map(|p| format!("  {p}")).collect::<Vec<_>>().join("\n")
}

/// An operator's edit.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Who makes it.
    pub author: String,
    /// The node.
    pub path: NodePath,
    /// The node's new text, or `None` to delete it.
    pub text: Option<String>,
    /// Revision of the node that the operator saw; 0 for a node that was not there.
    pub seen: Revision,
    /// Names the write.
    pub write_id: WriteId,
}

impl SettingsStore {
    /// Creates a view of the settings in `store`.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self { entries: Entries::new(store) }
    }

    /// Reads change `revision`, if it exists.
    ///
    /// # Errors
    ///
    /// Fails when the platform does, or the entry is no change.
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

    /// Brings `tree` up to the newest revision.
    ///
    /// # Errors
    ///
    /// As [`SettingsStore::change`]; `tree` holds what was read until then.
    pub async fn catch_up(&self, tree: &mut Tree) -> Result<(), Report<PlatformError>> {
        if tree.revision == Revision(0)
            && let Some(entry) = self.entries.get(SNAPSHOT_KEY).await?
        {
            *tree = self.decode(&entry.value)?;
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

    /// Checks an edit against the newest tree and has it accepted.
    ///
    /// # Errors
    ///
    /// Refuses an edit that makes the tree wrong, or whose node someone else has changed since the
    /// operator read it. On [`WriteError::Platform`] the outcome is not known; the same edit with
    /// the same write id may be given again and is accepted once.
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
        if let Some(revision) = self.catch_up_noting(edit, tree).await? {
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

    /// Reads newer changes; finds an earlier try of this very write, or another's change.
    async fn catch_up_noting(
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
        // The node changed since the operator read it: by an earlier try of this write, or by
        // someone else.
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

    /// Writes a snapshot now and then; a failure only makes newcomers read more changes.
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
