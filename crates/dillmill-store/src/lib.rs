//! What dillmill keeps in the platform's store for HTTP/3 services.
//!
//! [`SettingsStore`] keeps the log of settings changes, [`RingStore`] the rings of the services. Both
//! are built on single entries that are read, watched and compared with ([`entries`]).

pub mod entries;
pub mod ring_store;
pub mod settings_store;

pub use entries::{CasOutcome, Entries};
pub use ring_store::RingStore;
pub use settings_store::{SettingsStore, WriteError};
