//! Single entries of the store: read, compare and swap, wait for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dillmill_platform::{
    CommitOutcome, Entry, Freshness, PlatformError, Precondition, Store, Transaction, Version,
    WatchOutcome, Write,
};
use error_stack::Report;

type Result<T> = std::result::Result<T, Report<PlatformError>>;

/// Outcome of a compare-and-swap whose answer came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CasOutcome {
    /// Written, with the new version.
    Written(Version),
    /// Not written; what is there instead, if anything.
    Conflict(Option<Entry>),
}

/// Reads, writes and waits for single entries.
#[derive(Debug, Clone)]
pub struct Entries {
    store: Store,
    /// Version up to which the changes of waited-for entries are known.
    seen: Arc<AtomicU64>,
}

impl Entries {
    /// Creates a view of `store`.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self { store, seen: Arc::default() }
    }

    /// Returns the store.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the entry of `key`.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    pub async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let found = self.store.get(key, Freshness::Newest).await?;
        if let Some(entry) = &found {
            self.seen.fetch_max(entry.version.0, Ordering::Relaxed);
        }
        Ok(found)
    }

    /// Writes `value` if the entry has version `expect`.
    ///
    /// # Errors
    ///
    /// As [`Store::commit`].
    pub async fn put(&self, key: &str, value: &str, expect: Version) -> Result<CasOutcome> {
        let write =
            Write { key: key.to_owned(), value: value.as_bytes().to_vec(), ..Write::default() };
        let transaction = Transaction {
            conditions: vec![Precondition { key: key.to_owned(), version: expect }],
            writes: vec![write],
            removals: Vec::new(),
        };
        match self.store.commit(&transaction).await? {
            CommitOutcome::Done(version) => Ok(CasOutcome::Written(version)),
            CommitOutcome::Conflict(entries) => {
                Ok(CasOutcome::Conflict(entries.into_iter().find(|e| e.key == key && !e.removed)))
            }
            CommitOutcome::LeaseNotFound => {
                Err(Report::new(self.store.error("write", "a lease that was not named is gone")))
            }
        }
    }

    /// Waits up to `wait` until there is an entry of `key`.
    ///
    /// # Errors
    ///
    /// As [`Store::watch`].
    pub async fn wait_for(&self, key: &str, wait: Duration) -> Result<Option<Entry>> {
        let seen = self.seen.load(Ordering::Relaxed);
        if seen == 0 {
            return self.look_up(key).await;
        }
        match self.store.watch(key, Version(seen), wait).await? {
            WatchOutcome::HistoryCompacted => self.look_up(key).await,
            WatchOutcome::Changes(changes) => {
                let found = changes.entries.into_iter().rev().find(|e| e.key == key && !e.removed);
                self.note(found.as_ref(), changes.current);
                Ok(found)
            }
        }
    }

    /// Notes up to which version changes are known: the entry that is waited for next may have been written between
    /// the one `found` and the store's `current` version.
    fn note(&self, found: Option<&Entry>, current: Version) {
        let known = found.map_or(current, |entry| entry.version);
        self.seen.fetch_max(known.0, Ordering::Relaxed);
    }

    /// Reads the entry and the version from which a watch can go on.
    async fn look_up(&self, key: &str) -> Result<Option<Entry>> {
        let page = self.store.list(key, "", Freshness::Newest).await?;
        let found = page.entries.into_iter().find(|e| e.key == key);
        self.note(found.as_ref(), page.current);
        Ok(found)
    }
}
