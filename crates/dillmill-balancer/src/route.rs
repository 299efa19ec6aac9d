//! Decides to which agent a caller's packet is forwarded.

use std::net::SocketAddrV4;

use dillmill_core::{FlowIdError, FlowKeys, HomeTable, ServiceNumber};
use dillmill_wire::{Destination, packet_destination};

/// Data by which the packets of one service are routed.
#[derive(Debug, Clone)]
pub struct ServiceRouter {
    /// Number of the service that is routed.
    pub service: ServiceNumber,
    /// Keys with which connection ids are sealed.
    pub keys: FlowKeys,
    /// Agents that take new flows.
    pub homes: HomeTable,
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// The packet is not a QUIC packet.
    #[error("no QUIC packet")]
    NotQuic,
    /// The packet's connection id was issued for another service.
    #[error("connection id of another service")]
    OtherService,
    /// The packet's connection id was not issued by an agent.
    #[error("foreign connection id")]
    Foreign,
    /// No agent of the service takes new flows.
    #[error("no agent takes new flows")]
    NoAgent,
}

impl DropReason {
    /// All reasons, for counters.
    pub const ALL: [Self; 4] = [Self::NotQuic, Self::OtherService, Self::Foreign, Self::NoAgent];

    /// Returns the reason's name in metrics.
    #[must_use]
    pub const fn metric(self) -> &'static str {
        match self {
            Self::NotQuic => "dillmill_dropped_not_quic",
            Self::OtherService => "dillmill_dropped_other_service",
            Self::Foreign => "dillmill_dropped_foreign",
            Self::NoAgent => "dillmill_dropped_no_agent",
        }
    }
}

/// Routing decision for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Forward to the agent that the packet's connection id names.
    Known(SocketAddrV4),
    /// Forward to the home agent of new flows with the packet's connection id.
    First(SocketAddrV4),
    /// Drop the packet.
    Drop(DropReason),
}

impl ServiceRouter {
    /// Returns the routing decision for a caller's datagram.
    ///
    /// The agent in a valid connection id is used whatever the status of the members: a flow outlives
    /// every change of the tables, and an agent that is gone answers nothing anyway.
    #[must_use]
    pub fn route(&self, datagram: &[u8]) -> Route {
        match packet_destination(datagram) {
            None => Route::Drop(DropReason::NotQuic),
            Some(Destination::Established(id)) => match self.keys.open(&id) {
                Ok(flow) if flow.service == self.service => Route::Known(flow.agent),
                Ok(_) => Route::Drop(DropReason::OtherService),
                Err(_) => Route::Drop(DropReason::Foreign),
            },
            Some(Destination::MayStart(id)) => match self.keys.open(&id) {
                Ok(flow) if flow.service == self.service => Route::Known(flow.agent),
                Ok(_) => Route::Drop(DropReason::OtherService),
                Err(FlowIdError::Length(_) | FlowIdError::UnknownKey(_) | FlowIdError::Forged) => {
                    self.first(&id)
                }
            },
        }
    }

    fn first(&self, id: &[u8]) -> Route {
        match self.homes.home(id) {
            Some(home) => Route::First(home.data),
            None => Route::Drop(DropReason::NoAgent),
        }
    }
}
