//! Reads single entries of the store, updates them by compare-and-swap, and waits for them to appear.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dillmill_platform::{
    CommitOutcome, Entry, Freshness, PlatformError, Precondition, Store, Transaction, Version,
    WatchOutcome, Write,
};
use error_stack::Report;

type Result<T> = std::result::Result<T, Report<PlatformError>>;

/// Outcome of a compare-and-swap to which the store responded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CasOutcome {
    /// The entry was written and has this new version.
    Written(Version),
    /// The entry was not written; holds the current entry, if there is one.
    Conflict(Option<Entry>),
}

/// Access to single entries of the store.
#[derive(Debug, Clone)]
pub struct Entries {
    store: Store,
    /// Version up to which the changes to awaited entries are known; the next watch continues from it.
    seen: Arc<AtomicU64>,
}

impl Entries {
    /// Creates the access to the entries of `store`.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self { store, seen: Arc::default() }
    }

    /// Returns the client of the store.
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

    /// Writes `value` if the entry has version `expect`; version 0 means that there is no entry.
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
            CommitOutcome::LeaseNotFound => Err(Report::new(
                self.store.error("write", "missing lease reported for a write without a lease"),
            )),
        }
    }

    /// Waits up to `wait` for an entry of `key` to exist.
    ///
    /// # Errors
    ///
    /// As [`Store::watch`].
    pub async fn wait_for(&self, key: &str, wait: Duration) -> Result<Option<Entry>> {
        let seen = self.seen.load(Ordering::Relaxed);
        if seen == 0 {
            return self.read_current(key).await;
        }
        match self.store.watch(key, Version(seen), wait).await? {
            WatchOutcome::HistoryCompacted => self.read_current(key).await,
            WatchOutcome::Changes(changes) => {
                let found = changes.entries.into_iter().rev().find(|e| e.key == key && !e.removed);
                self.advance_seen(found.as_ref(), changes.current);
                Ok(found)
            }
        }
    }

    /// Advances the version up to which changes are known. If an entry was `found`, this is the
    /// entry's version and not the store's `current` one, as the entry awaited next may have been
    /// written between the two.
    fn advance_seen(&self, found: Option<&Entry>, current: Version) {
        let known = found.map_or(current, |entry| entry.version);
        self.seen.fetch_max(known.0, Ordering::Relaxed);
    }

    /// Reads the entry and sets the version from which the next watch continues.
    async fn read_current(&self, key: &str) -> Result<Option<Entry>> {
        let page = self.store.list(key, "", Freshness::Newest).await?;
        let found = page.entries.into_iter().find(|e| e.key == key);
        self.advance_seen(found.as_ref(), page.current);
        Ok(found)
    }
}
