//! Tests which waiting packets an agent refuses because they can't be served within their callers'
//! attempts. Guards against refusals that cost callers an answer which they could still have got.

use std::time::Duration;

use dillmill_core::flow_gate::TargetStanding;
use dillmill_core::open_queue::{WaitTerms, WaitingOpen};
use dillmill_core::unservable::{DrainRate, QueuedTurn, min_wait, unservable};
use dillmill_core::{
    Envelope, FlowGate, FlowTuple, PacketPurpose, Percent, Priority, ProcessId, Revision,
    RouteTable, ServiceTag, Timestamp,
};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
/// The target begins a request every 10 ms, so 301 packets are more than three times the timeout.
const DRAIN: DrainRate = DrainRate { first_after: 1, interval: Duration::from_millis(10) };
const TIMEOUT: Duration = Duration::from_secs(1);

fn packet(priority: u8, left_ms: u64) -> QueuedTurn {
    QueuedTurn {
        late: true,
        refusable: true,
        attempt_ends: NOW + Duration::from_millis(left_ms),
        timeout: TIMEOUT,
        priority: Priority(priority),
        low_priority_share: Percent(20),
    }
}

fn refused(packets: &[QueuedTurn]) -> Vec<usize> {
    unservable(packets, DRAIN, NOW).into_iter().map(|lost| lost.index).collect()
}

#[test]
fn only_in_long_queue() {
    assert!(refused(&[packet(1, 500); 300]).is_empty());
    // The packet at index 49 is served after 500 ms, too late for its caller.
    assert_eq!(refused(&[packet(1, 500); 310]), (49..310).collect::<Vec<_>>());
}

/// A packet that may still be answered in time, a request on an open flow, and the last attempt of a
/// caller keep their places.
#[test]
fn kept_to_the_end() {
    let mut packets = vec![packet(1, 500); 310];
    packets[100].late = false;
    packets[200].refusable = false;
    let refused = refused(&packets);
    assert!(!refused.contains(&100) && !refused.contains(&200) && refused.contains(&299));
}

/// Callers with more time left are not refused because of packets ahead that will be gone.
#[test]
fn gone_ahead_not_counted() {
    let mut packets = vec![packet(1, 100); 310];
    packets[299] = packet(1, 200);
    assert!(!refused(&packets).contains(&299));
}

/// The turns kept for low priority count, and no packet of high priority is refused while one of low
/// priority keeps its place.
#[test]
fn low_priority_first() {
    let mixed: Vec<_> = (0..400).map(|n| packet(if n < 200 { 1 } else { 2 }, 500)).collect();
    let refused = refused(&mixed);
    assert!(refused.iter().all(|i| *i >= 200), "high priority was refused");
    // A fifth of the 49 turns within 500 ms.
    assert!(!refused.contains(&208) && refused.contains(&210));
}

/// Callers that are refused in each attempt have waited for their whole timeout by then.
#[test]
fn attempts_cover_timeout() {
    assert!(min_wait(TIMEOUT) * 3 + Duration::from_millis(1) > TIMEOUT);
}

/// While the target has a free slot, the agent refuses nothing, however long its queue is.
#[test]
fn free_slot_refuses_nothing() {
    let service = ServiceTag(1);
    let data = "10.0.0.1:7001".parse().unwrap();
    let mut gate = FlowGate::new(ProcessId(1), data, service, NOW);
    gate.set_standing(TargetStanding::Ready, 2);
    let purpose = PacketPurpose::Place { passed: Vec::new() };
    let envelope = Envelope { service, revision: Revision(1), origin: data, purpose };
    for port in 0..900 {
        let caller = std::net::SocketAddrV4::new([100, 64, 0, 7].into(), port);
        let flow = FlowTuple::new(caller, "198.18.0.1:443".parse().unwrap());
        let terms = WaitTerms::new(2, Duration::ZERO, NOW);
        gate.wait(WaitingOpen { flow, packet: vec![0], envelope: envelope.clone(), terms });
    }
    let later = NOW + Duration::from_millis(700);
    assert!(gate.take_unservable(&RouteTable::default(), later).is_empty());
    assert_eq!(gate.waiting(), 900);
}
