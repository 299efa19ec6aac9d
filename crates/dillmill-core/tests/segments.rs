//! Tests what is derived from the header of a packet.

use dillmill_core::{FlowTuple, Segment, SegmentKind};
use rstest::rstest;

#[rstest]
#[case::data(SegmentKind::Data, 10, true)]
#[case::acknowledgement(SegmentKind::Data, 0, false)]
#[case::finish(SegmentKind::Finish, 0, true)]
#[case::reset(SegmentKind::Reset, 0, false)]
fn sender_waits_for_an_answer(#[case] kind: SegmentKind, #[case] len: u16, #[case] waits: bool) {
    let flow = FlowTuple::new("100.64.0.7:1".parse().unwrap(), "198.18.0.1:443".parse().unwrap());
    let seg = Segment { flow, kind, seq: 1, ack: 1, len, returned: false, mark: 0 };
    assert_eq!(seg.wants_answer(), waits);
}
