//! Tests which owner a directory names if several targets have answered one opening packet.

use std::net::SocketAddrV4;

use dillmill_core::{FlowDirectory, FlowRecord, FlowTuple, ProcessId, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn flow() -> FlowTuple {
    FlowTuple::new("100.64.0.7:4001".parse().unwrap(), "198.18.0.1:443".parse().unwrap())
}

/// Returns the initial sequence number of the target of agent `n`.
fn seq(n: u8) -> u32 {
    u32::from(n) * 500_000_000
}

fn record(n: u8, target_seq: Option<u32>, open: bool) -> FlowRecord {
    let data = SocketAddrV4::new([10, 0, 0, n].into(), 7001);
    FlowRecord { flow: flow(), target_seq, open, owner: ProcessId(u64::from(n)), data }
}

fn accepted(n: u8) -> FlowRecord {
    record(n, Some(seq(n)), false)
}

/// Returns the record of an agent that has passed an opening packet on: it names the receiver, and no
/// sequence number of a target.
fn forwarded(n: u8) -> FlowRecord {
    record(n, None, false)
}

fn owner(records: &[FlowRecord], acknowledged: u8) -> Option<ProcessId> {
    let mut directory = FlowDirectory::default();
    for record in records {
        directory.register(*record, NOW);
    }
    directory.owner(&flow(), seq(acknowledged) + 1200, NOW).map(|record| record.owner)
}

/// While two agents were paused, the caller's retransmissions went to a third one. When the two resume,
/// their targets accept the opening packets that they still hold. The owner is the target that the
/// caller has acknowledged.
#[rstest]
#[case::first_of_three(&[accepted(1), accepted(2), accepted(3)], 1)]
#[case::second_of_three(&[accepted(1), accepted(2), accepted(3)], 2)]
#[case::forwarded_since(&[accepted(1), forwarded(4), forwarded(5), forwarded(6), accepted(2)], 1)]
#[case::forwarded_by_many(
    &[forwarded(4), forwarded(5), accepted(1), forwarded(6), forwarded(7), forwarded(8)],
    1
)]
#[case::open_without_number(&[record(1, None, true), accepted(2)], 1)]
#[case::open_stays(&[record(1, Some(seq(1)), true), accepted(2), accepted(3), accepted(4), accepted(5)], 1)]
fn acknowledged_target_owns(#[case] records: &[FlowRecord], #[case] acknowledged: u8) {
    let expected = Some(ProcessId(u64::from(acknowledged)));
    assert_eq!(owner(records, acknowledged), expected);
}

/// Guards against packets that are sent to the target of an earlier flow, after its caller has used the port
/// again. Agents whose directories change register the earlier flow once more, as open.
#[rstest]
#[case::registered_before(&[record(1, Some(seq(1)), true), accepted(2)])]
#[case::registered_again(&[accepted(2), record(1, Some(seq(1)), true)])]
#[case::without_number(&[accepted(2), record(1, None, true)])]
#[case::many_earlier(
    &[accepted(1), accepted(3), accepted(2), record(4, Some(seq(4)), true), record(5, Some(seq(5)), true),
      record(1, Some(seq(1)), true), record(6, Some(seq(6)), true)]
)]
fn later_flow_of_a_port_found(#[case] records: &[FlowRecord]) {
    assert_eq!(owner(records, 2), Some(ProcessId(2)));
}

#[test]
fn last_forwarding_record_used() {
    assert_eq!(owner(&[forwarded(4), forwarded(5)], 1), Some(ProcessId(5)));
}
