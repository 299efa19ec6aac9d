//! Tests which packet of a caller is kept, with which a target can be asked whether it holds the flow.

use std::net::SocketAddrV4;

use dillmill_core::{CallerPackets, FlowTuple, Segment, SegmentKind, Timestamp};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn segment(kind: SegmentKind) -> Segment {
    let caller = SocketAddrV4::new([100, 64, 0, 7].into(), 4000);
    let flow = FlowTuple::new(caller, "198.18.0.1:443".parse().unwrap());
    Segment { flow, kind, seq: 1, ack: 2, len: 0, returned: false, mark: 0 }
}

#[test]
fn shortest_is_kept() {
    let mut kept = CallerPackets::default();
    let seg = segment(SegmentKind::Data);
    for packet in [&[1; 90][..], &[2; 34], &[3; 34], &[4; 60]] {
        kept.keep(&seg, packet, NOW);
    }
    assert_eq!(kept.get(&seg.flow), Some(&[2; 34][..]));
}

#[test]
fn opening_is_not_kept() {
    let mut kept = CallerPackets::default();
    let seg = segment(SegmentKind::Open { copies: 0 });
    kept.keep(&seg, &[1; 34], NOW);
    assert_eq!(kept.get(&seg.flow), None);
}

#[test]
fn closed_flow_is_forgotten() {
    let mut kept = CallerPackets::default();
    let seg = segment(SegmentKind::Data);
    kept.keep(&seg, &[1; 34], NOW);
    kept.keep(&segment(SegmentKind::Finish), &[1; 34], NOW);
    assert_eq!(kept.get(&seg.flow), None);
}
