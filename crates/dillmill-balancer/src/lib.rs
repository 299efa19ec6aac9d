//! The balancer: routes packets of callers to agents and answers back, without flow state.
//!
//! [`route`] decides, from a packet, the settings and the members alone; [`Balancer`] owns the
//! sockets.

pub mod balancer;
pub mod route;
pub mod service_socket;

pub use balancer::Balancer;
pub use route::{DropReason, Route, ServiceRouter};
