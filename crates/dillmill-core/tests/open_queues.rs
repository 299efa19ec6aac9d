//! Tests which queued opening packet an overloaded target gets next.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::open_queue::{OpenQueue, WaitTerms, WaitingOpen, waiting_since};
use dillmill_core::{
    Envelope, FlowTuple, OverloadPolicy, PacketPurpose, Revision, ServiceTag, Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const LIMIT: Duration = Duration::from_millis(200);
const AHEAD: Duration = Duration::from_millis(50);

fn flow(port: u16) -> FlowTuple {
    let caller = SocketAddrV4::new([100, 64, 0, 7].into(), port);
    FlowTuple::new(caller, "198.18.0.1:443".parse().unwrap())
}

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn open(port: u16, ms: u64) -> WaitingOpen {
    let envelope = Envelope {
        service: ServiceTag(1),
        revision: Revision(1),
        origin: "10.0.0.9:7000".parse().unwrap(),
        purpose: PacketPurpose::Place { passed: Vec::new() },
    };
    // All retransmissions have arrived, so that only the wait matters.
    let terms = WaitTerms { copies: 2, ..WaitTerms::new(0, LIMIT, at(ms)) };
    WaitingOpen { flow: flow(port), packet: vec![0], envelope, terms }
}

fn queue(opens: &[(u16, u64)]) -> OpenQueue {
    let mut queue = OpenQueue::new(START);
    for (port, ms) in opens {
        assert_eq!(queue.push(open(*port, *ms)), None);
    }
    queue
}

#[test]
fn newest_in_time_first() {
    let mut queue = queue(&[(1, 0), (2, 100), (3, 150)]);
    let order: Vec<FlowTuple> =
        std::iter::from_fn(|| queue.take(AHEAD, false, at(200))).map(|open| open.flow).collect();
    // The first has waited for 200 ms and has 50 ms of work ahead, so it is late, and no slot is idle.
    assert_eq!(order, [flow(3), flow(2)]);
    assert_eq!(queue.len(), 1);
}

/// Packets were moved to siblings in another order than they are served in without priorities.
#[rstest]
#[case::by_time(false, [3, 2, 1])]
#[case::by_priority(true, [2, 3, 1])]
fn moved_as_served(#[case] priority_order: bool, #[case] expected: [u16; 3]) {
    let policy = OverloadPolicy { priority_order, ..OverloadPolicy::default() };
    let queue = || {
        let mut queue = OpenQueue::new(START);
        for (port, ms) in [(1, 0), (2, 100), (3, 150)] {
            let open = open(port, ms);
            queue.push(WaitingOpen { terms: open.terms.policy(policy), ..open });
        }
        queue
    };
    let port = |open: WaitingOpen| open.flow.caller().port();
    let (mut served, mut moved) = (queue(), queue());
    let served: Vec<u16> =
        std::iter::from_fn(|| served.take(AHEAD, true, at(200)).map(port)).collect();
    let moved: Vec<u16> =
        std::iter::from_fn(|| moved.take_movable(AHEAD, at(200), |_| true).map(port)).collect();
    assert_eq!((served, moved), (expected.to_vec(), expected.to_vec()));
}

#[test]
fn late_only_when_idle() {
    let mut queue = queue(&[(1, 0), (2, 10)]);
    assert_eq!(queue.take(AHEAD, false, at(500)), None);
    assert_eq!(queue.take(AHEAD, true, at(500)).map(|open| open.flow), Some(flow(1)));
    assert_eq!(queue.take(AHEAD, true, at(500)).map(|open| open.flow), Some(flow(2)));
    assert_eq!(queue.take(AHEAD, true, at(500)), None);
}

/// A packet for which the queue has no room is refused at once.
#[test]
fn full_queue_refuses() {
    let mut queue = OpenQueue::new(START);
    let refused: Vec<FlowTuple> =
        (0..1010).filter_map(|n| queue.push(open(n, 0))).map(|open| open.flow).collect();
    assert_eq!(refused, (1000..1010).map(flow).collect::<Vec<_>>());
    assert_eq!(queue.len(), 1000);
}

fn next(queue: &mut OpenQueue, room: bool, ms: u64) -> Option<FlowTuple> {
    queue.take(AHEAD, room, at(ms)).map(|open| open.flow)
}

/// A packet whose caller may soon give up goes before those that can still be answered in time.
#[test]
fn urgent_before_in_time() {
    let mut queue = queue(&[(1, 0), (2, 10), (3, 1190)]);
    assert!(!queue.any_urgent(at(1200)) && queue.any_urgent(at(1230)));
    assert_eq!(
        next(&mut queue, false, 1230),
        None,
        "there is no room, and no packet overtakes the urgent ones"
    );
    assert_eq!(next(&mut queue, true, 1230), Some(flow(1)));
    assert_eq!(next(&mut queue, true, 1230), Some(flow(2)));
    assert!(!queue.any_urgent(at(1230)));
    assert_eq!(next(&mut queue, false, 1230), Some(flow(3)));
}

/// Returns a queue with a learned attempt timeout: opening packets that were taken after 800 ms or more
/// opened no flow, so callers of this route wait less long.
fn short_timeout_queue() -> OpenQueue {
    let mut queue = OpenQueue::new(START);
    for waited in [830, 850, 870] {
        queue.note_outcome(flow(1).route(), Duration::from_millis(waited), false, START);
    }
    queue
}

#[test]
fn learned_timeout_decides() {
    let mut queue = short_timeout_queue();
    for (port, ms) in [(1, 0), (2, 110), (3, 300), (4, 790)] {
        queue.push(open(port, ms));
    }
    let order: Vec<_> = (0..5).map(|_| next(&mut queue, true, 820)).collect();
    // The caller of the second may soon give up, the fourth is in time, the third is late, and the
    // caller of the first has given up.
    assert_eq!(order, [Some(flow(2)), Some(flow(4)), Some(flow(3)), Some(flow(1)), None]);
}

#[test]
fn other_route_timeout_unchanged() {
    let queue = short_timeout_queue();
    let terms = WaitTerms::new(0, LIMIT, START);
    let caller = flow(1).caller();
    let other = FlowTuple::new(caller, "198.18.0.2:443".parse().unwrap());
    assert_eq!(queue.attempt_timeout(&other, &terms, START), Duration::from_millis(1360));
    assert_eq!(queue.attempt_timeout(&flow(1), &terms, START), Duration::from_millis(800));
}

/// A waiting caller retransmits after 200 and 600 ms. A packet whose second retransmission is missing
/// is served last, because its caller has given up.
#[test]
fn missing_copy_means_abandoned() {
    let mut queue = OpenQueue::new(START);
    for port in [1, 2] {
        let terms = WaitTerms::new(1, LIMIT, at(200));
        queue.push(WaitingOpen { terms, ..open(port, 0) });
    }
    assert!(queue.note_copy(&flow(2), 2) && !queue.note_copy(&flow(3), 2));
    let order: Vec<_> = (0..2).map(|_| next(&mut queue, true, 670)).collect();
    assert_eq!(order, [Some(flow(2)), Some(flow(1))]);
}

/// While callers have time for further attempts, one whose attempt ends is no more urgent than others:
/// its next packet will be the newest. This holds until callers that were waiting before the agent
/// started run out of attempts, and again after these callers have given up.
#[rstest]
#[case::too_early(1600, false)]
#[case::last_attempts(1800, true)]
#[case::before_they_are_gone(3900, true)]
#[case::all_began_later(4100, false)]
fn urgent_only_after_outage(#[case] ms: u64, #[case] urgent: bool) {
    let mut queue = OpenQueue::new(START);
    let timeout = Duration::from_secs(4);
    let terms = WaitTerms { copies: 2, ..WaitTerms::new(0, LIMIT, at(ms - 1300)) };
    queue.push(WaitingOpen { terms: terms.timeout(timeout), ..open(1, 0) });
    assert_eq!(queue.any_urgent(at(ms)), urgent);
}

#[test]
fn copy_keeps_place() {
    let mut queue = queue(&[(1, 0), (2, 100)]);
    assert_eq!(queue.push(open(1, 200)), None);
    assert_eq!(queue.len(), 2);
    queue.remove(&flow(1));
    assert_eq!(queue.len(), 1);
}

/// The number of a retransmission tells how long its caller has waited, even if the packet itself was
/// lost: 600 ms at the second one.
#[test]
fn copies_reveal_age() {
    assert_eq!(waiting_since(0, at(1000)), at(1000));
    assert_eq!(waiting_since(1, at(1000)), at(800));
    assert_eq!(waiting_since(2, at(1000)), at(400));
    assert_eq!(waiting_since(9, at(1000)), at(400));
    let mut queue = queue(&[(1, 700), (2, 400)]);
    assert_eq!(queue.take(AHEAD, true, at(1500)).map(|open| open.flow), Some(flow(2)));
}

#[test]
fn expired_packets_removed() {
    let mut queue = queue(&[(1, 0), (2, 100)]);
    assert_eq!(queue.take_abandoned(at(1300)), []);
    let expired: Vec<FlowTuple> =
        queue.take_abandoned(at(1370)).into_iter().map(|open| open.flow).collect();
    assert_eq!(expired, [flow(1)]);
    assert!(queue.contains(&flow(2)));
}
