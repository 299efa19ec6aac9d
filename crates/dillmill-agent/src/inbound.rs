//! Decides what an agent does with a packet from a balancer or another agent.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::{FlowId, FlowKeys, HomeTable, ServiceNumber, Timestamp};
use dillmill_wire::{Destination, packet_destination};

/// Number of times that a first packet is passed on before an agent that takes new flows accepts it.
pub const MAX_HOPS: u8 = 1;
/// Number of times that a first packet is passed on before an agent that is leaving accepts it.
///
/// Several agents may leave at once and not know of each other yet.
pub const MAX_HOPS_LEAVING: u8 = 3;
const FIRST_PACKET_LIFETIME: Duration = Duration::from_secs(10);

/// What an agent needs to know to classify packets.
#[derive(Debug, Clone)]
pub struct InboundTable {
    /// Flow id of this agent's flows: the service and the agent's data address.
    pub own: FlowId,
    /// Keys of connection ids.
    pub keys: FlowKeys,
    /// Agents that take new flows, in this agent's view.
    pub homes: HomeTable,
}

/// What is to be done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Inbound {
    /// Deliver the packet to this agent's endpoint.
    Deliver,
    /// Pass the packet on to this address, as it may start a flow that belongs to another agent.
    Pass(SocketAddrV4),
    /// Drop the packet, as it is for another service.
    OtherService,
    /// Drop the packet, as it belongs to no flow of this agent.
    Foreign,
}

/// Connection ids of the first packets that this agent has accepted.
#[derive(Debug, Default)]
pub struct FirstPackets {
    accepted: HashMap<Vec<u8>, Timestamp>,
}

impl FirstPackets {
    fn contains(&self, id: &[u8], now: Timestamp) -> bool {
        self.accepted.get(id).is_some_and(|at| now.since(*at) < FIRST_PACKET_LIFETIME)
    }

    fn insert(&mut self, id: &[u8], now: Timestamp) {
        self.accepted.insert(id.to_vec(), now);
    }

    /// Removes the ids that are older than their lifetime.
    pub fn expire(&mut self, now: Timestamp) {
        self.accepted.retain(|_, at| now.since(*at) < FIRST_PACKET_LIFETIME);
    }
}

impl InboundTable {
    /// Decides what to do with `packet`, which agents have passed on `hops` times.
    ///
    /// A first packet belongs to the home of its connection id in this agent's view. It is passed on to that
    /// agent once, so that all packets of one handshake reach the same agent although the balancers' views
    /// differ.
    pub fn classify(
        &self,
        service: ServiceNumber,
        hops: u8,
        packet: &[u8],
        first_packets: &mut FirstPackets,
        now: Timestamp,
    ) -> Inbound {
        if service != self.own.service {
            return Inbound::OtherService;
        }
        let (id, may_start) = match packet_destination(packet) {
            None => return Inbound::Foreign,
            Some(Destination::Established(id)) => (id, false),
            Some(Destination::MayStart(id)) => (id, true),
        };
        match self.keys.open(&id) {
            Ok(flow) if flow == self.own => Inbound::Deliver,
            Ok(flow) if flow.service != self.own.service => Inbound::OtherService,
            Err(_) if may_start => self.classify_first_packet(hops, &id, first_packets, now),
            Ok(_) | Err(_) => Inbound::Foreign,
        }
    }

    fn classify_first_packet(
        &self,
        hops: u8,
        id: &[u8],
        first_packets: &mut FirstPackets,
        now: Timestamp,
    ) -> Inbound {
        let serving = self.homes.homes().iter().any(|home| home.data == self.own.agent);
        if hops < if serving { MAX_HOPS } else { MAX_HOPS_LEAVING }
            && !first_packets.contains(id, now)
            && let Some(home) = self.homes.home(id)
            && home.data != self.own.agent
        {
            return Inbound::Pass(home.data);
        }
        first_packets.insert(id, now);
        Inbound::Deliver
    }
}
