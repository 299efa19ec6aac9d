//! Tests which packets a balancer keeps until it knows routes and agents.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::{
    EarlyPacket, EarlyPackets, FlowTuple, PacketId, Segment, SegmentKind, Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn seg(port: u16, kind: SegmentKind, seq: u32) -> Segment {
    let caller = SocketAddrV4::new([100, 64, 0, 7].into(), port);
    let flow = FlowTuple::new(caller, "198.18.0.1:443".parse().unwrap());
    Segment { flow, kind, seq, ack: 0, len: 100, returned: false, mark: 0 }
}

fn keep(early: &mut EarlyPackets, seg: &Segment, content: &[u8], ms: u64) {
    let packet = EarlyPacket { at: at(ms), buf: content.to_vec() };
    early.keep(seg.flow, PacketId::from(seg), packet, at(ms));
}

fn contents(packets: Vec<EarlyPacket>) -> Vec<Vec<u8>> {
    packets.into_iter().map(|packet| packet.buf).collect()
}

/// After a power failure, callers send their last packets before the restarted balancer knows any agent.
/// Each packet has to be routed once, in order of arrival, as its newest retransmission.
#[test]
fn packets_kept_in_order() {
    let mut early = EarlyPackets::default();
    let opening = |copies| SegmentKind::Open { copies };
    keep(&mut early, &seg(1, opening(0), 1), b"opening", 0);
    keep(&mut early, &seg(2, SegmentKind::Data, 1), b"data", 30);
    keep(&mut early, &seg(2, SegmentKind::Data, 101), b"more data", 60);
    keep(&mut early, &seg(1, opening(1), 1), b"its copy", 100);
    let taken = contents(early.take_due(at(120)));
    assert_eq!(taken, [b"data".to_vec(), b"more data".to_vec(), b"its copy".to_vec()]);
    assert!(early.take_due(at(200)).is_empty(), "each packet once");
}

#[test]
fn old_packet_dropped() {
    let mut early = EarlyPackets::default();
    keep(&mut early, &seg(1, SegmentKind::Data, 1), b"old", 0);
    keep(&mut early, &seg(2, SegmentKind::Data, 1), b"young", 500);
    assert_eq!(contents(early.take_due(at(1200))), [b"young"]);
}

#[test]
fn routing_attempts_spaced() {
    let mut early = EarlyPackets::default();
    keep(&mut early, &seg(1, SegmentKind::Data, 1), b"first", 0);
    assert_eq!(early.take_due(at(1)).len(), 1);
    keep(&mut early, &seg(1, SegmentKind::Data, 1), b"again", 2);
    assert!(early.take_due(at(5)).is_empty());
    assert_eq!(early.take_due(at(21)).len(), 1);
}

#[test]
fn kept_packets_bounded() {
    let mut early = EarlyPackets::default();
    for port in 0..5000 {
        keep(&mut early, &seg(port, SegmentKind::Data, 1), b"x", 0);
    }
    assert!(early.take_due(at(30)).len() <= 2000);
}
