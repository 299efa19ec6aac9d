//! Test doubles of the systems around dillmill, and tools that run and measure dillmill.
//!
//! This crate is not published. [`platform`], [`fabric`], [`target`] and [`caller`] replace the
//! platform's store, the network fabric, the targets and the callers. [`cluster`] runs them and
//! dillmill's own programs as processes on loopback; [`demo`] and [`load`] use such a cluster.
//! [`flow_fleet`], [`flow_target`], [`flow_caller`] and [`flow_router`] do the same for packet
//! flows, and [`flow_soak`] injects faults into them.

pub mod caller;
pub mod cluster;
pub mod command;
pub mod demo;
pub mod error;
pub mod fabric;
pub mod flow_caller;
pub mod flow_fleet;
pub mod flow_proxy;
pub mod flow_router;
pub mod flow_soak;
pub mod flow_target;
pub mod forwarder;
pub mod idle;
pub mod load;
pub mod packets;
pub mod platform;
pub mod process;
pub mod report;
pub mod scenario;
pub mod serve;
pub mod slopes;
mod subnet;
pub mod target;
mod target_capacity;
pub mod traffic;
pub mod usage;
pub mod waiting;

pub use caller::{Answer, Caller};
pub use cluster::{Cluster, ClusterSpec, ServiceSpec};
pub use error::StandinError;
pub use flow_caller::{FlowCaller, FlowError, OpenFlow};
pub use flow_fleet::FlowFleet;
