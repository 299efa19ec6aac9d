//! Which opening packet comes next at a target with too much to do.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::open_queue::{OpenQueue, WaitingOpen, waiting_since};
use dillmill_core::{Envelope, Errand, FlowTuple, Revision, ServiceTag, Timestamp};

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
        errand: Errand::Place { passed: Vec::new(), late: false },
    };
    WaitingOpen { flow: flow(port), packet: vec![0], envelope, limit: LIMIT, since: at(ms) }
}

fn queue(opens: &[(u16, u64)]) -> OpenQueue {
    let mut queue = OpenQueue::default();
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
    // The first has waited 200 ms and has 50 ms of work ahead: late, and no slot is idle.
    assert_eq!(order, [flow(3), flow(2)]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn late_ones_only_when_idle() {
    let mut queue = queue(&[(1, 0), (2, 10)]);
    assert_eq!(queue.take(AHEAD, false, at(500)), None);
    assert_eq!(queue.take(AHEAD, true, at(500)).map(|open| open.flow), Some(flow(1)));
    assert_eq!(queue.take(AHEAD, true, at(500)).map(|open| open.flow), Some(flow(2)));
    assert_eq!(queue.take(AHEAD, true, at(500)), None);
}

/// A request that the system gives up must be told at once, not when its caller has given up too.
#[test]
fn oldest_refused_when_too_many() {
    let mut queue = OpenQueue::default();
    let refused: Vec<FlowTuple> =
        (0..130).filter_map(|n| queue.push(open(n, 0))).map(|open| open.flow).collect();
    assert_eq!(refused, (0..10).map(flow).collect::<Vec<_>>());
    assert_eq!(queue.len(), 120);
}

#[test]
fn copies_of_a_waiting_packet_change_nothing() {
    let mut queue = queue(&[(1, 0), (2, 100)]);
    assert_eq!(queue.push(open(1, 200)), None);
    assert_eq!(queue.len(), 2);
    queue.remove(&flow(1));
    assert_eq!(queue.len(), 1);
}

/// The second copy of a packet that was lost before says that its caller has waited for 600 ms.
#[test]
fn copies_tell_the_age() {
    assert_eq!(waiting_since(0, at(1000)), at(1000));
    assert_eq!(waiting_since(1, at(1000)), at(800));
    assert_eq!(waiting_since(2, at(1000)), at(400));
    assert_eq!(waiting_since(9, at(1000)), at(400));
    let mut queue = queue(&[(1, 700), (2, 400)]);
    assert_eq!(queue.take(AHEAD, true, at(1500)).map(|open| open.flow), Some(flow(2)));
}

#[test]
fn expired_ones_leave() {
    let mut queue = queue(&[(1, 0), (2, 100)]);
    assert_eq!(queue.take_expired(at(1100)), []);
    let expired: Vec<FlowTuple> =
        queue.take_expired(at(1250)).into_iter().map(|open| open.flow).collect();
    assert_eq!(expired, [flow(1)]);
    assert!(queue.contains(&flow(2)));
}
