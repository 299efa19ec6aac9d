//! dillmill: a layer-4 load balancer for organisations whose groups share one pool of targets.
//!
//! This crate re-exports the types needed to embed dillmill in another program, and parses the command
//! line of the `dillmill` program. `ARCHITECTURE.md` describes how the parts work together.

pub mod command;

pub use dillmill_agent::Agent;
pub use dillmill_balancer::Balancer;
pub use dillmill_core as core;
pub use dillmill_node::{NodeError, ProcessConfig};
pub use dillmill_settings as settings;
