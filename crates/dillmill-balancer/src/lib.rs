//! Balancer that routes packets of callers to agents, and answers back to callers, without flow state.
//!
//! [`route`] decides from only the packet, the settings and the members; [`Balancer`] owns the sockets.

pub mod balancer;
pub mod route;
pub mod service_socket;

pub use balancer::Balancer;
pub use route::{DropReason, Route, ServiceRouter};
