//! The agent, which terminates callers' flows beside a target and decides which requests the target runs.
//!
//! A request passes a chain of filters ([`chain`]): authenticate, limit, claim, admit, dispatch. Two
//! controllers own the state behind the filters: [`admission`] has the slots, the queue, the siblings and
//! the retry budget, and [`ledger`] has the claims of requests that may not be repeated. The decisions
//! about packets are in [`inbound`] and [`return_path`], separate from the sockets.

pub mod admission;
pub mod agent;
pub mod answer;
pub mod chain;
pub mod claiming;
pub mod connection;
pub mod context;
pub mod data_task;
pub mod endpoint;
pub mod forwarding;
pub mod inbound;
pub mod ledger;
mod load_status;
pub mod metrics;
pub mod quic_socket;
pub mod request;
pub mod return_path;
pub mod ring_task;
pub mod target;

pub use agent::Agent;
pub use inbound::{Inbound, InboundTable};
pub use return_path::ReturnPaths;
