//! Stores the ring of each service in the platform's store.

use dillmill_core::ServiceName;
use dillmill_core::claims::Ring;
use error_stack::{Report, ResultExt};

use dillmill_platform::{PlatformError, Store, Version};

use crate::{CasOutcome, Entries};

/// Reads and changes the ring of one service.
#[derive(Debug, Clone)]
pub struct RingStore {
    entries: Entries,
    key: String,
}

impl RingStore {
    /// Creates a store for the ring of `service`.
    #[must_use]
    pub fn new(store: Store, service: &ServiceName) -> Self {
        Self { entries: Entries::new(store), key: format!("rings/{service}") }
    }

    /// Reads the ring; a ring that was never written is empty and has epoch 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails or the entry does not hold a ring.
    pub async fn get(&self) -> Result<(Ring, Version), Report<PlatformError>> {
        match self.entries.get(&self.key).await? {
            None => Ok((Ring::default(), Version(0))),
            Some(entry) => Ok((self.decode(&entry.value)?, entry.version)),
        }
    }

    /// Updates the ring with `change`, which returns `None` if there is nothing to change.
    ///
    /// Returns the ring that is then in the store, and whether this call changed it. If another writer
    /// changed the ring first, this call changes nothing and the caller has to retry.
    ///
    /// # Errors
    ///
    /// As [`RingStore::get`]; the write may or may not have taken effect.
    pub async fn change(
        &self,
        change: impl FnOnce(&Ring) -> Option<Ring>,
    ) -> Result<(Ring, bool), Report<PlatformError>> {
        let (ring, version) = self.get().await?;
        let Some(next) = change(&ring) else { return Ok((ring, false)) };
        let value = serde_json::to_string(&next)
            .change_context_lazy(|| self.error("encode ring", "not representable as JSON"))?;
        match self.entries.put(&self.key, &value, version).await? {
            CasOutcome::Written(_) => Ok((next, true)),
            CasOutcome::Conflict(Some(entry)) => Ok((self.decode(&entry.value)?, false)),
            CasOutcome::Conflict(None) => Ok((Ring::default(), false)),
        }
    }

    fn decode(&self, value: &[u8]) -> Result<Ring, Report<PlatformError>> {
        serde_json::from_slice(value)
            .change_context_lazy(|| self.error("decode ring", "entry does not hold a ring"))
    }

    fn error(&self, step: &'static str, what: &str) -> PlatformError {
        PlatformError { step, peer: self.entries.store().base().to_owned(), what: what.to_owned() }
    }
}
