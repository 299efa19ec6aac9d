//! Which uploads begin over a thin link, and what their callers get.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::link_queue::wire_bytes;
use dillmill_core::open_queue::WaitingOpen;
use dillmill_core::{
    Admission, Envelope, FlowTuple, LinkAdmission, LinkQueue, LinkRate, OutboundDatagram, PacketId,
    PacketPurpose, Revision, Segment, SegmentKind, ServiceTag, Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const AGENT: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 1, 0, 1), 8172);
const AIM: Duration = Duration::from_millis(800);
/// Data of a full packet, and of the last one of an upload.
const FULL: u16 = 1200;
const LAST: u16 = 400;
/// Packets of an upload of 40 kB.
const PACKETS: u32 = 34;
/// Packets that a caller has under way.
const WINDOW: usize = 16;

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), port)
}

fn flow(n: u32, port: u16) -> FlowTuple {
    let host = 0x6440_0000 + n / 50_000;
    let from = u16::try_from(1024 + n % 50_000).expect("a port");
    FlowTuple::new(SocketAddrV4::new(host.into(), from), route(port))
}

fn seg(flow: FlowTuple, kind: SegmentKind, seq: u32, len: u16) -> Segment {
    Segment { flow, kind, seq, ack: 0, len, returned: false, mark: 0 }
}

fn departure(seg: &Segment) -> OutboundDatagram {
    let buf = vec![0; usize::from(seg.len) + 74];
    OutboundDatagram { flow: seg.flow, packet: PacketId::from(seg), buf, to: AGENT }
}

fn waiting(flow: FlowTuple, now: Timestamp) -> WaitingOpen {
    let envelope = Envelope {
        service: ServiceTag(7),
        revision: Revision(1),
        origin: AGENT,
        purpose: PacketPurpose::Place { passed: Vec::new() },
    };
    WaitingOpen {
        flow,
        packet: Vec::new(),
        envelope,
        terms: LinkAdmission::terms(0, Some(AIM), now),
    }
}

/// A caller's upload: it tries three times to open a flow, and gives up 6 s after its begin.
#[derive(Debug, Clone)]
struct Caller {
    begun: u64,
    tries: u32,
    tried: u64,
    flow: FlowTuple,
    /// When the flow opens.
    opens: Option<u64>,
    /// When each packet was sent last, how often, and when it is acknowledged.
    sent: Vec<(u64, u32)>,
    acked: Vec<Option<u64>>,
    done: Option<u64>,
}

const DEADLINE_MS: u64 = 6000;
const PATIENCE_MS: u64 = 1400;
const WAY_MS: u64 = 4;

/// A balancer before a thin link, in steps of a millisecond.
struct Balancer {
    admission: LinkAdmission,
    queue: LinkQueue,
    rate: LinkRate,
    link_free: Timestamp,
    wake: Option<Timestamp>,
    /// The packets that have passed the link, with the time.
    passed: Vec<(Timestamp, FlowTuple, PacketId)>,
    lost: u32,
}

impl Balancer {
    fn new(rate: LinkRate) -> Self {
        Self {
            admission: LinkAdmission::new(Some(rate), START),
            queue: LinkQueue::new(Some(rate), START),
            rate,
            link_free: START,
            wake: None,
            passed: Vec::new(),
            lost: 0,
        }
    }

    fn link(&mut self, departure: &OutboundDatagram, now: Timestamp) {
        if self.link_free.since(now) > Duration::from_millis(50) {
            self.lost += 1;
            return;
        }
        let takes = self.rate.time_for(wire_bytes(departure.buf.len()));
        self.link_free = self.link_free.max(now) + takes;
        self.passed.push((self.link_free, departure.flow, departure.packet));
    }

    fn send(&mut self, seg: &Segment, now: Timestamp) {
        if let Admission::Leave(departure) = self.queue.offer(departure(seg), now) {
            self.link(&departure, now);
        }
    }

    fn release(&mut self, now: Timestamp) {
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            while let Some(departure) = self.queue.take(now) {
                self.link(&departure, now);
            }
        }
        if self.wake.is_none() {
            self.wake = self.queue.next_in().map(|span| now + span);
        }
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    uploads: usize,
    whole: usize,
    in_aim: usize,
    /// Waits of short requests for the link, in order.
    short: Vec<Duration>,
}

/// A balancer with callers, in steps of a millisecond.
struct Play {
    balancer: Balancer,
    callers: Vec<Caller>,
    by_flow: HashMap<FlowTuple, usize>,
    short_sent: HashMap<FlowTuple, Timestamp>,
    flows: u32,
    admitting: bool,
    outcome: Outcome,
}

impl Play {
    fn next_flow(&mut self, port: u16) -> FlowTuple {
        self.flows += 1;
        flow(self.flows, port)
    }

    fn begin_short(&mut self, now: Timestamp) {
        let request = seg(self.next_flow(80), SegmentKind::Data, 1, 600);
        self.short_sent.insert(request.flow, now);
        self.balancer.send(&request, now);
    }

    fn begin_upload(&mut self, ms: u64) {
        self.callers.push(Caller {
            begun: ms,
            tries: 0,
            tried: 0,
            flow: flow(0, 443),
            opens: None,
            sent: vec![(0, 0); PACKETS as usize],
            acked: vec![None; PACKETS as usize],
            done: None,
        });
    }

    /// Begins a try, or sends a copy of its opening packet.
    fn try_to_open(&mut self, i: usize, ms: u64) {
        let now = at(ms);
        let waited = ms - self.callers[i].tried;
        let (tries, flow) = (self.callers[i].tries, self.callers[i].flow);
        if tries > 0 && waited < PATIENCE_MS {
            if let Some((_, copies)) = [(200, 1), (600, 2)].into_iter().find(|c| c.0 == waited) {
                self.balancer.admission.note_copy(&flow, copies);
            }
            return;
        }
        if tries == 3 {
            return;
        }
        let flow = self.next_flow(443);
        self.by_flow.insert(flow, i);
        let terms = LinkAdmission::terms(0, Some(AIM), now);
        let queued = self.balancer.queue.bytes();
        let admission = &mut self.balancer.admission;
        let admits = !self.admitting || admission.admits(route(443), &terms, queued, now);
        if admits {
            admission.begin(flow, now);
        } else {
            admission.wait(waiting(flow, now));
        }
        let caller = &mut self.callers[i];
        (caller.flow, caller.tries, caller.tried) = (flow, tries + 1, ms);
        caller.opens = admits.then_some(ms + 2 * WAY_MS);
    }

    /// Sends what the caller's window and its timers allow.
    fn upload(&mut self, i: usize, ms: u64) {
        let caller = &mut self.callers[i];
        let is_acked = |acked: &Option<u64>| acked.is_some_and(|at| at <= ms);
        let Some(first) = caller.acked.iter().position(|acked| !is_acked(acked)) else {
            caller.done = Some(ms);
            return;
        };
        for n in first..(first + WINDOW).min(PACKETS as usize) {
            let (sent, times) = caller.sent[n];
            let wait = (200 << times.saturating_sub(1).min(3)).min(1600);
            if is_acked(&caller.acked[n]) || times > 0 && ms - sent < wait {
                continue;
            }
            caller.sent[n] = (ms, times + 1);
            let part = part(caller.flow, u32::try_from(n).expect("a number"));
            self.balancer.admission.note(&part, at(ms));
            self.balancer.send(&part, at(ms));
        }
    }

    fn open_waiting(&mut self, ms: u64) {
        for open in self.balancer.admission.take_abandoned(at(ms)) {
            self.by_flow.remove(&open.flow);
        }
        let queued = self.balancer.queue.bytes();
        while let Some(open) = self.balancer.admission.next(queued, at(ms)) {
            self.balancer.admission.begin(open.flow, at(ms));
            let caller = self.by_flow.get(&open.flow).map(|i| &mut self.callers[*i]);
            // One that has begun another try is gone from this flow.
            let there = |c: &&mut Caller| c.flow == open.flow && ms - c.begun < DEADLINE_MS;
            if let Some(caller) = caller.filter(there) {
                caller.opens = Some(ms + 2 * WAY_MS);
            }
        }
    }

    fn arrive(&mut self) {
        for (passed, flow, packet) in std::mem::take(&mut self.balancer.passed) {
            if let Some(sent) = self.short_sent.remove(&flow) {
                self.outcome.short.push(passed.since(sent));
            }
            let caller = self.by_flow.get(&flow).map(|i| &mut self.callers[*i]);
            let Some(caller) = caller.filter(|c| c.flow == flow) else { continue };
            let n = (0..PACKETS).find(|n| PacketId::from(&part(flow, *n)) == packet);
            let back = u64::try_from(passed.since(START).as_millis()).expect("a time") + 2 * WAY_MS;
            if let Some(n) = n {
                caller.acked[n as usize].get_or_insert(back);
            }
        }
    }

    fn step(&mut self, ms: u64) {
        for i in 0..self.callers.len() {
            let caller = &self.callers[i];
            let over = caller.done.is_some() || ms - caller.begun >= DEADLINE_MS;
            match caller.opens {
                _ if over => {}
                None => self.try_to_open(i, ms),
                Some(opens) if opens <= ms => self.upload(i, ms),
                Some(_) => {}
            }
        }
        self.balancer.release(at(ms));
        self.open_waiting(ms);
        self.arrive();
    }
}

/// Returns a packet of an upload.
fn part(flow: FlowTuple, n: u32) -> Segment {
    let len = if n + 1 == PACKETS { LAST } else { FULL };
    seg(flow, SegmentKind::Data, n * u32::from(FULL), len)
}

/// Plays `uploads` a second and `short` requests of one packet a second for `seconds`.
fn play(rate: &str, uploads: u64, short: u64, seconds: u64, admitting: bool) -> Outcome {
    let mut play = Play {
        balancer: Balancer::new(rate.parse().expect("a rate")),
        callers: Vec::new(),
        by_flow: HashMap::new(),
        short_sent: HashMap::new(),
        flows: 0,
        admitting,
        outcome: Outcome::default(),
    };
    for ms in 0..seconds * 1000 + DEADLINE_MS {
        let loaded = ms < seconds * 1000;
        if loaded && (ms * short) % 1000 < short {
            play.begin_short(at(ms));
        }
        if loaded && (ms * uploads) % 1000 < uploads {
            play.begin_upload(ms);
        }
        play.step(ms);
    }
    assert_eq!(play.balancer.lost, 0, "packets that the link dropped");
    let Play { callers, mut outcome, .. } = play;
    outcome.uploads = callers.len();
    outcome.whole = callers.iter().filter(|c| c.done.is_some()).count();
    let aim = u64::try_from(AIM.as_millis()).expect("a time");
    let in_aim = |c: &&Caller| c.done.is_some_and(|done| done - c.begun <= aim);
    outcome.in_aim = callers.iter().filter(in_aim).count();
    outcome.short.sort();
    outcome
}

/// Load: 20 uploads a second of 40 kB for 20 s, besides 150 short requests a second, over 3.7 Mbit/s, which carry 7 of them
/// a second: 190 in all until the last caller has given up.
///
/// Without admission 14 of 400 are whole before their callers give up, 1 within its aim. With it 173 are whole and 137
/// within their aim. The thresholds leave a tenth for changes elsewhere. Short requests wait for a turn of the link,
/// 5 ms, in both.
#[test]
fn link_carries_whole_uploads() {
    let without = play("3.7 Mbit/s", 20, 150, 20, false);
    let with = play("3.7 Mbit/s", 20, 150, 20, true);
    assert_eq!((without.uploads, with.uploads), (400, 400));
    assert!(without.whole < 30, "the load is not as meant: {} whole", without.whole);
    assert!(with.whole >= 155, "{} whole", with.whole);
    assert!(with.in_aim >= 120, "{} within the aim", with.in_aim);
    let p99 = with.short[with.short.len() * 99 / 100];
    assert!(p99 <= Duration::from_millis(12), "short requests wait for {p99:?}");
}

/// Load: as many uploads as the link carries with a third to spare. All are whole, and nine in ten within their aim, with
/// admission as without.
#[test]
fn carried_load_is_not_held_back() {
    let with = play("3.7 Mbit/s", 5, 150, 20, true);
    assert_eq!(with.whole, with.uploads);
    assert!(with.in_aim * 10 >= with.uploads * 9, "{} of {}", with.in_aim, with.uploads);
}

fn taught(rate: Option<&str>) -> LinkAdmission {
    let rate = rate.map(|rate| rate.parse().expect("a rate"));
    let mut admission = LinkAdmission::new(rate, START);
    for n in 0..10 {
        let flow = flow(n, 443);
        admission.begin(flow, START);
        for i in 0..PACKETS {
            admission.note(&part(flow, i), START);
        }
    }
    for n in 10..50 {
        let flow = flow(n, 80);
        admission.begin(flow, START);
        admission.note(&seg(flow, SegmentKind::Data, 0, 900), START);
        admission.note(&seg(flow, SegmentKind::Finish, 900, 0), START);
    }
    admission
}

/// While two uploads are under way over a thin link a third one waits, a short request does not; a link that takes an upload
/// in less than 10 ms, or of which nothing is known, keeps nothing back.
#[rstest]
#[case::thin(Some("2 Mbit/s"), true)]
#[case::fast(Some("1000 Mbit/s"), false)]
#[case::unknown(None, false)]
fn only_uploads_wait(#[case] rate: Option<&str>, #[case] waits: bool) {
    let mut admission = taught(rate);
    let terms = LinkAdmission::terms(0, Some(AIM), START);
    for n in 100..103 {
        admission.begin(flow(n, 443), START);
    }
    assert_eq!(admission.admits(route(443), &terms, 0, START), !waits);
    assert!(admission.admits(route(80), &terms, 0, START));
    assert!(admission.admits(route(8080), &terms, 0, START), "a route not seen yet");
}

/// A route most of whose flows are short is none of uploads.
#[test]
fn mixed_route_does_not_wait() {
    let mut admission = LinkAdmission::new("2 Mbit/s".parse().ok(), START);
    for n in 0..100 {
        let flow = flow(n, 80);
        admission.begin(flow, START);
        if n % 20 == 0 {
            admission.note(&seg(flow, SegmentKind::Data, 0, FULL), START);
        }
        admission.note(&seg(flow, SegmentKind::Data, 1200, 300), START);
    }
    let terms = LinkAdmission::terms(0, Some(AIM), START);
    assert!(admission.admits(route(80), &terms, 12_500, START));
}

/// An opening packet that waits is taken when an upload ends, its copy is not taken for another one, and it is lost only when
/// its caller has gone.
#[test]
fn waiting_upload_has_its_turn() {
    let mut admission = taught(Some("2 Mbit/s"));
    admission.begin(flow(100, 443), START);
    admission.begin(flow(101, 443), START);
    assert!(admission.wait(waiting(flow(102, 443), START)).is_none());
    assert!(admission.note_copy(&flow(102, 443), 1));
    assert!(!admission.note_copy(&flow(103, 443), 1));
    assert_eq!(admission.next(0, at(10)), None);
    for n in [100, 101] {
        for i in 0..PACKETS {
            let ended = admission.note(&part(flow(n, 443), i), at(20));
            assert_eq!(ended, i + 1 == PACKETS, "packet {i}");
        }
    }
    assert!(admission.take_abandoned(at(20)).is_empty());
    assert_eq!(admission.next(0, at(20)).map(|open| open.flow), Some(flow(102, 443)));
    admission.wait(waiting(flow(103, 443), at(20)));
    let lost: Vec<_> =
        admission.take_abandoned(at(1400)).into_iter().map(|open| open.flow).collect();
    assert_eq!(lost, [flow(103, 443)]);
    assert_eq!(admission.waiting(), 0);
}

/// Packets that come again, or before earlier ones, are not counted twice.
#[test]
fn copies_bring_nothing() {
    let mut admission = taught(Some("2 Mbit/s"));
    let flow = flow(100, 443);
    admission.begin(flow, START);
    let all = admission.under_way();
    for seq in [2400, 0, 1200, 0, 2400, 2400] {
        admission.note(&seg(flow, SegmentKind::Data, seq, FULL), at(1));
    }
    let seen = all - admission.under_way();
    assert!((2 * 1340..=4 * 1340).contains(&seen), "{seen} bytes of three packets");
}
