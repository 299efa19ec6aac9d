//! The platform: a small key-value service with compare-and-swap, leases and watches.
//!
//! [`Platform`] speaks its HTTP protocol; [`SettingsStore`] keeps the log of settings changes in
//! it, and [`RingStore`] the rings of the services. Nothing else is stored.

pub mod error;
pub mod platform;
pub mod protocol;
pub mod ring_store;
pub mod settings_store;

pub use error::PlatformError;
pub use platform::Platform;
pub use protocol::{CasOutcome, Entry, Version};
pub use ring_store::RingStore;
pub use settings_store::{SettingsStore, WriteError};
