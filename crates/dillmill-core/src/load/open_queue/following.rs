//! Further packets of requests that wait, which follow the first packet of their request to the
//! target.

use std::collections::VecDeque;

use super::WaitingOpen;
use crate::FlowTuple;

/// Maximum number of further packets, up to 1.5 kB each. A packet beyond it is dropped, and its
/// caller sends it again.
const MAX_FOLLOWING: usize = 1000;

/// The further packets of waiting requests on open flows, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct FollowingPackets {
    packets: VecDeque<WaitingOpen>,
    /// The flow whose request has been taken, so that its further packets are next.
    released: Option<FlowTuple>,
}

impl FollowingPackets {
    /// Adds a packet unless a copy of it is held; returns it if there is no room.
    pub(super) fn push(&mut self, packet: WaitingOpen) -> Option<WaitingOpen> {
        let copy = |p: &WaitingOpen| p.flow == packet.flow && p.terms.seq == packet.terms.seq;
        if self.packets.iter().any(copy) {
            return None;
        }
        if self.packets.len() >= MAX_FOLLOWING {
            return Some(packet);
        }
        self.packets.push_back(packet);
        None
    }

    /// Notes that the first packet of the request on `flow` has been taken.
    pub(super) fn release(&mut self, flow: &FlowTuple) {
        self.released = self.holds(flow).then_some(*flow);
    }

    /// Returns whether packets of `flow` are held.
    pub(super) fn holds(&self, flow: &FlowTuple) -> bool {
        self.packets.iter().any(|packet| packet.flow == *flow)
    }

    /// Removes and returns the next packet of the request that has been taken.
    pub(super) fn take(&mut self) -> Option<WaitingOpen> {
        let flow = self.released?;
        let next = self.packets.iter().position(|packet| packet.flow == flow);
        let packet = next.and_then(|i| self.packets.remove(i));
        if !self.holds(&flow) {
            self.released = None;
        }
        packet
    }

    /// Removes the packets of `flow`.
    pub(super) fn remove(&mut self, flow: &FlowTuple) {
        self.packets.retain(|packet| packet.flow != *flow);
    }
}
