//! Where a packet goes.

use std::net::SocketAddrV4;

use dillmill_core::{FlowIdError, FlowKeys, HomeTable, ServiceNumber};
use dillmill_wire::{Destination, packet_destination};

/// What a service's packets are routed by.
#[derive(Debug, Clone)]
pub struct ServiceRouter {
    /// The service.
    pub service: ServiceNumber,
    /// Keys of connection ids.
    pub keys: FlowKeys,
    /// Agents that take new flows.
    pub homes: HomeTable,
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// It is no QUIC.
    #[error("no QUIC packet")]
    NotQuic,
    /// Its connection id was issued for another service.
    #[error("connection id of another service")]
    OtherService,
    /// Its connection id is not one that an agent issued.
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

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// To the agent that its connection id names.
    Known(SocketAddrV4),
    /// To the agent that new flows with its connection id belong to.
    First(SocketAddrV4),
    /// Nowhere.
    Drop(DropReason),
}

impl ServiceRouter {
    /// Decides where a datagram of a caller goes.
    ///
    /// The agent inside a valid connection id is believed whatever the members' standing: a flow
    /// outlives every change of the tables, and an agent that is gone answers nothing anyway.
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
