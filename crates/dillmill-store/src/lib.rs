//! Persistence of dillmill's state for HTTP/3 services in the platform's store.
//!
//! [`SettingsStore`] stores the log of settings changes, [`RingStore`] the rings of the services. Both
//! use single entries that are read, watched and updated by compare-and-swap ([`entries`]).

pub mod entries;
pub mod ring_store;
pub mod settings_store;

pub use entries::{CasOutcome, Entries};
pub use ring_store::RingStore;
pub use settings_store::{SettingsStore, WriteError};
