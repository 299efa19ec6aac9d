//! Balancer and agent processes for packet flows, as they run on the users' platform.
//!
//! The platform's routers send a caller's packets to a [`FlowBalancer`]. It forwards each in an
//! envelope to the [`FlowAgent`] next to a target, which delivers the packet to the target. The target's
//! packets go to its agent and from there directly to the caller. The bytes that caller and target exchange
//! are not changed.
//!
//! | Module | Responsibility |
//! |---|---|
//! | [`balancer`], [`balancer_task`] | receives packets of callers, opens flows, finds their owners |
//! | [`agent`], [`agent_task`] | decides what its target takes, searches for flows that it does not hold |
//! | [`session`] | keeps the process's entry in the store and reads those of its peers |
//! | [`operator_watch`] | reads the operators' configuration and evacuation orders |
//! | `operator_check` | checks that the watch has missed no change of these |
//! | `operator_entries` | puts them in force |
//! | [`reload`] | reloads the settings file when it changes |
//! | [`uplink`] | queues packets for the VM's link |
//! | [`endpoints`] | serves HTTP calls for readiness and heartbeats |
//! | [`decision_log`] | logs one line per decision, at a limited rate |

pub mod agent;
pub mod agent_task;
pub mod balancer;
pub mod balancer_task;
pub mod config;
pub mod decision_log;
pub mod endpoints;
pub mod flow_metrics;
mod operator_check;
mod operator_entries;
pub mod operator_watch;
pub mod presence;
pub mod reload;
pub mod session;
pub mod sockets;
mod unreadable;
pub mod uplink;

pub use agent::FlowAgent;
pub use balancer::FlowBalancer;
