//! The parts that all dillmill processes share.
//!
//! Each process has a [`Node`], which consists of the control task, an administration page, a log and an
//! event timeline. The control task owns the process's view of members and settings, distributes both to
//! peers, and responds to requests about the process. Other tasks send it messages through a
//! [`NodeHandle`] and get a new [`View`] after each change.

pub mod admin;
pub mod client;
pub mod clock;
pub mod config;
pub mod confirmed_at;
pub mod control;
pub mod error;
pub mod framed;
pub mod handle;
pub mod log_writer;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod signals;
pub mod store_task;
mod sync_limit;
pub mod traffic;
pub mod view;
pub mod views;

pub use clock::Clock;
pub use config::{LogLevel, ProcessConfig};
pub use confirmed_at::ConfirmedAt;
pub use error::NodeError;
pub use framed::Framed;
pub use handle::{
    IncomingForward, IncomingPeerRequest, Journal, NodeHandle, RoleChannels, with_random_index,
};
pub use metrics::Metrics;
pub use node::{Node, NodeSpec, SettingsSource};
pub use traffic::{Traffic, TrafficKind};
pub use view::View;
pub use views::ViewReceiver;
