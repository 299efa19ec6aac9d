//! Tests which datagrams leave over a slow link, and when.
//!
//! The simulated link behaves as a real slow one was observed to: it carries its rate, buffers 50 ms
//! of it and drops the rest. The queue has to prevent drops, whatever callers send at once.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::link_queue::wire_bytes;
use dillmill_core::{
    Admission, FlowTuple, LinkQueue, LinkRate, OutboundDatagram, PacketId, Segment, SegmentKind,
    Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Size of a caller's full packet with its envelope.
const FULL: usize = 1270;
/// Size of an opening packet with its envelope.
const SMALL: usize = 70;
const AGENT: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 1, 0, 1), 8172);

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn slow_rate() -> LinkRate {
    "2 Mbit/s".parse().expect("a rate")
}

fn flow(n: u16) -> FlowTuple {
    let caller = SocketAddrV4::new([100, 64, 0, 7].into(), 1000 + n);
    FlowTuple::new(caller, "198.18.0.1:443".parse().expect("an address"))
}

fn packet(n: u16, kind: SegmentKind, seq: u32, len: usize) -> OutboundDatagram {
    let data = u16::try_from(len.saturating_sub(SMALL)).expect("a short packet");
    let seg = Segment { flow: flow(n), kind, seq, ack: 0, len: data, returned: false, mark: 0 };
    OutboundDatagram { flow: flow(n), packet: PacketId::from(&seg), buf: vec![0; len], to: AGENT }
}

fn data(n: u16, seq: u32) -> OutboundDatagram {
    packet(n, SegmentKind::Data, seq, FULL)
}

/// A link that buffers 50 ms of its rate and drops the rest.
struct SlowLink {
    rate: LinkRate,
    buffered: VecDeque<(Timestamp, OutboundDatagram)>,
    free_at: Timestamp,
    dropped: usize,
}

impl SlowLink {
    fn new(rate: LinkRate) -> Self {
        Self { rate, buffered: VecDeque::new(), free_at: START, dropped: 0 }
    }

    fn take(&mut self, datagram: OutboundDatagram, now: Timestamp) {
        if self.free_at.since(now) > Duration::from_millis(50) {
            self.dropped += 1;
            return;
        }
        let start = self.free_at.max(now);
        self.free_at = start + self.rate.time_for(wire_bytes(datagram.buf.len()));
        self.buffered.push_back((self.free_at, datagram));
    }
}

/// Offers packets to the queue at given times. Returns when each has passed the link, and how many the
/// link dropped.
fn simulate(
    rate: LinkRate,
    offers: Vec<(Timestamp, OutboundDatagram)>,
    until: Timestamp,
) -> (Vec<(Timestamp, OutboundDatagram)>, usize) {
    let mut queue = LinkQueue::new(Some(rate), START);
    let mut link = SlowLink::new(rate);
    let mut offers = VecDeque::from(offers);
    let mut now = START;
    let mut wake = None;
    while now < until {
        while let Some((_, datagram)) = offers.pop_front_if(|(at, _)| *at <= now) {
            if let Admission::Leave(datagram) = queue.offer(datagram, now) {
                link.take(datagram, now);
            }
        }
        if wake.is_some_and(|wake| wake <= now) {
            wake = None;
            while let Some(datagram) = queue.take(now) {
                link.take(datagram, now);
            }
        }
        if wake.is_none() {
            // Timers fire late.
            wake = queue.next_in().map(|span| now + span + Duration::from_micros(900));
        }
        now = now + Duration::from_micros(100);
    }
    (link.buffered.into(), link.dropped)
}

/// A caller that begins an upload with 16 packets at once overflows the buffer of a balancer's link of
/// 2 Mbit/s. Without the queue the link drops six of them (6 of 16 measured), which the caller
/// retransmits after 200 ms. With it none is lost, and the last one has left after the time that
/// 16 packets take, 85 ms, and 10 ms of slack.
#[test]
fn upload_window_not_dropped() {
    let offers: Vec<_> = (0..16).map(|i| (START, data(1, i * 1200))).collect();
    let mut bare = SlowLink::new(slow_rate());
    for (now, datagram) in offers.clone() {
        bare.take(datagram, now);
    }
    assert_eq!(bare.dropped, 6, "the link alone");

    let (passed, dropped) = simulate(slow_rate(), offers, at(300));
    assert_eq!((passed.len(), dropped), (16, 0));
    let last = passed.last().expect("a packet").0;
    assert!(last <= at(95), "the last packet passed after {:?}", last.since(START));
    let seqs: Vec<u32> = (0..16).map(|i| i * 1200).collect();
    let order: Vec<_> = passed.iter().map(|(_, d)| d.packet).collect();
    let wanted: Vec<_> = seqs.iter().map(|seq| data(1, *seq).packet).collect();
    assert_eq!(order, wanted, "in the order of the flow");
}

/// Short flows must not wait behind uploads. Load: the 48 queued packets of three uploads, 250 ms of
/// link time. An opening packet, a short request or an acknowledgement that arrives after them passes
/// within 25 ms: the packet in transmission, the timer, and one flow's turn.
#[rstest]
#[case::opening(SegmentKind::Open { copies: 0 }, SMALL)]
#[case::acknowledgement(SegmentKind::Data, SMALL)]
#[case::short_request(SegmentKind::Data, 970)]
fn short_flow_overtakes_uploads(#[case] kind: SegmentKind, #[case] len: usize) {
    let mut offers: Vec<_> =
        (0..48).map(|i| (START, data(1 + i % 3, u32::from(i) * 1200))).collect();
    offers.push((at(30), packet(9, kind, 5, len)));
    let (passed, dropped) = simulate(slow_rate(), offers, at(500));
    assert_eq!((passed.len(), dropped), (49, 0));
    let short = passed.iter().find(|(_, d)| d.flow == flow(9)).expect("it passed").0;
    assert!(short <= at(55), "the short packet passed after {:?}", short.since(at(30)));
}

/// Two queued uploads get equal shares of the link, whichever came first: after half of the time both
/// are half done.
#[test]
fn uploads_share_the_link() {
    let offers = (0..32).map(|i| (START, data(1 + i / 16, u32::from(i) * 1200))).collect();
    let (passed, _) = simulate(slow_rate(), offers, at(500));
    let first_half = &passed[..16];
    let of_the_second = first_half.iter().filter(|(_, d)| d.flow == flow(2)).count();
    assert!((6..=10).contains(&of_the_second), "{of_the_second} of 16");
}

/// A flow that sends each full packet when the one before has left must not starve others.
#[test]
fn steady_flow_takes_turns() {
    let mut offers: Vec<_> = (0..16).map(|i| (START, data(1, i * 1200))).collect();
    offers.extend((0..40).map(|i| (at(5 * u64::from(i)), data(2, i * 1200))));
    offers.sort_by_key(|(at, _)| *at);
    let (passed, dropped) = simulate(slow_rate(), offers, at(600));
    assert_eq!((passed.len(), dropped), (56, 0));
    let upload = passed.iter().rfind(|(_, d)| d.flow == flow(1)).expect("it passed").0;
    assert!(upload <= at(200), "the upload was through after {:?}", upload.since(START));
}

/// After 200 ms a caller retransmits a packet that it considers lost. The retransmission replaces the
/// packet if that is still queued.
#[test]
fn copy_replaces_waiting_packet() {
    let mut queue = LinkQueue::new(Some(slow_rate()), START);
    for i in 0..30 {
        queue.offer(data(1, i * 1200), START);
    }
    let before = queue.delay();
    let mut copy = data(1, 29 * 1200);
    copy.buf[0] = 7;
    assert_eq!(queue.offer(copy, at(1)), Admission::Replaced);
    assert_eq!(queue.delay(), before);
    let left: Vec<_> = (1..100).filter_map(|i| queue.take(at(1 + 6 * i))).collect();
    assert_eq!(left.len(), 28, "two left at once, and each of the others left once");
    assert_eq!(
        left.last().expect("a packet").buf[0],
        7,
        "the retransmission has replaced the packet"
    );
}

/// Messages between processes bypass the queue, which delays its datagrams to make room for them.
#[test]
fn messages_are_charged() {
    let mut queue = LinkQueue::new(Some(slow_rate()), START);
    queue.charge(12_500);
    assert_eq!(queue.offer(data(1, 0), START), Admission::Wait);
    assert!(queue.next_in().expect("it waits") >= Duration::from_millis(35));
    assert_eq!(queue.take(at(30)), None);
    assert!(queue.take(at(60)).is_some());
}

/// At most one second of link time is queued. Beyond it, the flow with the most bytes loses its last
/// packet.
#[test]
fn longest_flow_drops_last() {
    let mut queue = LinkQueue::new(Some(slow_rate()), START);
    let mut dropped = Vec::new();
    queue.offer(data(2, 0), START);
    queue.offer(data(2, 1200), START);
    queue.offer(data(2, 2400), START);
    for i in 0..300 {
        if let Admission::Dropped(flow) = queue.offer(data(1, i * 1200), START) {
            dropped.push(flow);
        }
    }
    assert!(queue.delay() <= Duration::from_secs(1), "{:?}", queue.delay());
    assert!(dropped.len() > 100);
    assert!(dropped.iter().all(|dropped| *dropped == flow(1)));
}

/// While datagrams are queued, at least nine tenths of the link are used although timers fire late.
#[rstest]
#[case::slow("2 Mbit/s")]
#[case::faster("20 Mbit/s")]
#[case::very_slow("0.25 Mbit/s")]
fn link_well_used(#[case] rate: &str) {
    let rate: LinkRate = rate.parse().expect("a rate");
    let second = rate.bytes_in(Duration::from_secs(1));
    let packets = u32::try_from(second / wire_bytes(FULL)).expect("a number") * 9 / 10;
    let offers = (0..packets).map(|i| (START, data(1, i * 1200))).collect();
    let (passed, dropped) = simulate(rate, offers, at(1000));
    assert_eq!(dropped, 0);
    assert!(passed.len() + 2 >= packets as usize, "{} of {packets}", passed.len());
    assert!(passed.iter().all(|(at, _)| *at <= START + Duration::from_millis(1010)));
}

/// Nothing is queued for a link that is fast or whose rate is unknown.
#[rstest]
#[case::fast(Some("1000 Mbit/s"))]
#[case::unknown(None)]
fn fast_link_queues_nothing(#[case] rate: Option<&str>) {
    let rate = rate.map(|rate| rate.parse().expect("a rate"));
    let mut queue = LinkQueue::new(rate, START);
    for i in 0..900_u32 {
        let now = START + Duration::from_micros(u64::from(i) * 12);
        let datagram = data(1, i * 1200);
        assert!(matches!(queue.offer(datagram, now), Admission::Leave(_)), "packet {i}");
    }
}

#[rstest]
#[case::plain("2 Mbit/s", Some(250_000))]
#[case::fraction("0.5Mbit/s", Some(62_500))]
#[case::nothing("0 Mbit/s", None)]
#[case::negative("-3 Mbit/s", None)]
#[case::endless("inf Mbit/s", None)]
#[case::other_unit("2 Gbit/s", None)]
fn rate_parsed(#[case] text: &str, #[case] bytes_a_second: Option<i64>) {
    let rate = text.parse::<LinkRate>();
    assert_eq!(rate.as_ref().ok().map(|r| r.bytes_in(Duration::from_secs(1))), bytes_a_second);
    if let Err(e) = rate {
        assert!(e.to_string().contains(text), "{e}");
    }
}

/// Refused callers that retry at once, some thousand times per second, cause as many resets, which
/// bypass the queue: more than the link carries in a minute. New flows must not wait for them once the
/// flood has ended.
#[test]
fn reset_flood_forgotten() {
    let mut queue = LinkQueue::new(Some(slow_rate()), START);
    for ms in 0..3000 {
        queue.charge(5000);
        queue.take(at(ms));
    }
    let open = packet(1, SegmentKind::Open { copies: 0 }, 1, SMALL);
    assert_eq!(queue.offer(open, at(3000)), Admission::Wait);
    assert!(queue.take(at(3900)).is_none(), "the link is still full");
    assert!(queue.take(at(4100)).is_some());
}
