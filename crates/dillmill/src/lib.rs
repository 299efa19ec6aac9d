//! dillmill: a layer-4 load balancer for organisations whose groups share one pool of targets.
//!
//! This crate re-exports the parts that a program of one's own would use, and holds the command
//! line of the `dillmill` program. `ARCHITECTURE.md` shows how the parts work together.

pub mod command;

pub use dillmill_agent::Agent;
pub use dillmill_balancer::Balancer;
pub use dillmill_core as core;
pub use dillmill_node::{NodeError, ProcessConfig};
pub use dillmill_settings as settings;
