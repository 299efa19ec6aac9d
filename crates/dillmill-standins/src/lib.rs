//! Stand-ins of the systems that dillmill serves, and tools that run and measure it.
//!
//! Not published. [`platform`], [`fabric`], [`target`] and [`caller`] take the place of the
//! platform, the fabric, the targets and the callers; [`cluster`] runs them and dillmill's own
//! programs as processes on loopback; [`flow_fleet`], [`flow_target`], [`flow_caller`] and
//! [`flow_router`] do the same for packet flows, with faults in [`flow_soak`]; [`demo`] and [`load`] use such a cluster.

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
pub mod traffic;
pub mod usage;
pub mod waiting;

pub use caller::{Answer, Caller};
pub use cluster::{Cluster, ClusterSpec, ServiceSpec};
pub use error::StandinError;
pub use flow_caller::{FlowCaller, FlowError, OpenFlow};
pub use flow_fleet::FlowFleet;
