//! What an agent does with a packet that a balancer or another agent sent it.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::{FlowId, FlowKeys, HomeTable, ServiceNumber, Timestamp};
use dillmill_wire::{Destination, packet_destination};

/// How often a first packet is passed on before an agent that takes new flows keeps it.
pub const MAX_HOPS: u8 = 1;
/// How often it is passed on before an agent that is leaving keeps it: several may leave at once,
/// each not yet knowing of the others.
pub const MAX_HOPS_LEAVING: u8 = 3;
const FIRST_PACKET_LIFETIME: Duration = Duration::from_secs(10);

/// What a packet is judged by.
#[derive(Debug, Clone)]
pub struct InboundTable {
    /// This agent's flows: the service and its data address.
    pub own: FlowId,
    /// Keys of connection ids.
    pub keys: FlowKeys,
    /// Agents that take new flows, in this agent's view.
    pub homes: HomeTable,
}

/// What is done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Inbound {
    /// It is for this agent.
    Deliver,
    /// It may start a flow that belongs to another agent.
    Pass(SocketAddrV4),
    /// It is for another service.
    OtherService,
    /// It is no packet of a flow of ours.
    Foreign,
}

/// Connection ids of first packets that this agent has taken.
#[derive(Debug, Default)]
pub struct FirstPackets {
    taken: HashMap<Vec<u8>, Timestamp>,
}

impl FirstPackets {
    fn contains(&self, id: &[u8], now: Timestamp) -> bool {
        self.taken.get(id).is_some_and(|at| now.since(*at) < FIRST_PACKET_LIFETIME)
    }

    fn insert(&mut self, id: &[u8], now: Timestamp) {
        self.taken.insert(id.to_vec(), now);
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Timestamp) {
        self.taken.retain(|_, at| now.since(*at) < FIRST_PACKET_LIFETIME);
    }
}

impl InboundTable {
    /// Decides what is done with `packet`, which agents have passed on `hops` times.
    ///
    /// A first packet belongs to the home of its connection id in this agent's view; it is passed
    /// there once, so that the packets of one handshake meet at one agent although balancers'
    /// views differ.
    pub fn classify(
        &self,
        service: ServiceNumber,
        hops: u8,
        packet: &[u8],
        first: &mut FirstPackets,
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
            Err(_) if may_start => self.judge_first(hops, &id, first, now),
            Ok(_) | Err(_) => Inbound::Foreign,
        }
    }

    fn judge_first(
        &self,
        hops: u8,
        id: &[u8],
        first: &mut FirstPackets,
        now: Timestamp,
    ) -> Inbound {
        let serving = self.homes.homes().iter().any(|home| home.data == self.own.agent);
        if hops < if serving { MAX_HOPS } else { MAX_HOPS_LEAVING }
            && !first.contains(id, now)
            && let Some(home) = self.homes.home(id)
            && home.data != self.own.agent
        {
            return Inbound::Pass(home.data);
        }
        first.insert(id, now);
        Inbound::Deliver
    }
}
