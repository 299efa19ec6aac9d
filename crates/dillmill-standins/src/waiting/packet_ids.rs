//! Addresses that identify simulated requests in packets of the real types.

use std::net::SocketAddrV4;

use dillmill_core::{Envelope, FlowTuple, PacketPurpose, Revision, ServiceTag};

/// First address of callers, `100.64.0.0`.
const FIRST_CALLER: u32 = 0x6440_0000;

pub(super) fn route() -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), 443)
}

/// Returns the flow of an attempt: the caller's address holds the number of the request, its port that of
/// the attempt.
pub(super) fn flow(n: usize, attempt: u32) -> FlowTuple {
    let ip = FIRST_CALLER + u32::try_from(n).unwrap_or(0);
    let port = u16::try_from(attempt).unwrap_or(0);
    FlowTuple::new(SocketAddrV4::new(ip.into(), port), route())
}

pub(super) fn request_and_attempt(flow: &FlowTuple) -> (usize, u32) {
    let caller = flow.caller();
    let n = u32::from(*caller.ip()) - FIRST_CALLER;
    (usize::try_from(n).unwrap_or(0), u32::from(caller.port()))
}

pub(super) fn envelope() -> Envelope {
    let purpose = PacketPurpose::Place { passed: Vec::new() };
    Envelope { service: ServiceTag(1), revision: Revision(1), origin: route(), purpose }
}
