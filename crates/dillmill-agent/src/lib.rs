//! The agent: ends callers' flows beside a target and decides what the target runs.
//!
//! A request passes a chain of filters ([`chain`]): authenticate, limit, claim, admit, dispatch.
//! Two controllers own the state behind them: the [`admission`] (slots, queue, siblings, retry budget)
//! and the [`ledger`] (claims of requests that may not be repeated). Decisions about packets are
//! in [`inbound`] and [`return_path`], apart from the sockets.

pub mod admission;
pub mod agent;
pub mod answer;
pub mod chain;
pub mod claiming;
pub mod connection;
pub mod context;
pub mod data_task;
pub mod endpoint;
pub mod hand_over;
pub mod inbound;
pub mod ledger;
pub mod metrics;
pub mod quic_socket;
pub mod request;
pub mod return_path;
pub mod ring_task;
pub mod target;

pub use agent::Agent;
pub use inbound::{Inbound, InboundTable};
pub use return_path::ReturnPaths;
