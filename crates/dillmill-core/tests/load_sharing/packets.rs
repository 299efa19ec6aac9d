//! Packets, envelopes and the route of the simulated service.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::{
    Envelope, FlowTuple, OverloadPolicy, PacketPurpose, ProcessId, Revision, RouteEntry, Segment,
    SegmentKind, ServiceTag, Weight,
};

/// Latency objective of the route.
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(250);
/// Initial sequence number of each target.
const TARGET_SEQ: u32 = 5000;

pub(crate) fn addr(n: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, u8::try_from(n).unwrap()].into(), port)
}

pub(crate) fn entry(load_sharing: bool) -> RouteEntry {
    RouteEntry {
        shares: vec![(service(), Weight(1))],
        latency_aim: Some(OBJECTIVE),
        timeout: Some(Duration::from_millis(4200)),
        overload: OverloadPolicy { load_sharing, ..OverloadPolicy::default() },
        ..RouteEntry::default()
    }
}

pub(crate) fn route() -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), 443)
}

pub(crate) fn service() -> ServiceTag {
    ServiceTag::from(&"orders".parse().unwrap())
}

pub(crate) fn process(n: usize) -> ProcessId {
    ProcessId(u64::try_from(n).unwrap())
}

fn flow(n: u32) -> FlowTuple {
    FlowTuple::new(SocketAddrV4::new((0x6440_0000 + n).into(), 5000), route())
}

pub(crate) fn number(flow: &FlowTuple) -> u32 {
    u32::from(*flow.caller().ip()) - 0x6440_0000
}

pub(crate) fn segment(n: u32, kind: SegmentKind, len: u16) -> Segment {
    let (seq, ack) = match kind {
        SegmentKind::Open { .. } => (1, 0),
        SegmentKind::Accept => (TARGET_SEQ, 2),
        _ => (TARGET_SEQ + 1, TARGET_SEQ + 1),
    };
    Segment { flow: flow(n), kind, seq, ack, len, returned: false, mark: 0 }
}

pub(crate) fn envelope(purpose: PacketPurpose) -> Envelope {
    Envelope { service: service(), revision: Revision(1), origin: addr(200, 7000), purpose }
}
