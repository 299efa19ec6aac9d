//! Tests which uploads are admitted over a slow link, and how many complete in time.

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
const OBJECTIVE: Duration = Duration::from_millis(800);
/// Payload bytes of a full packet, and of the last packet of an upload.
const FULL: u16 = 1200;
const LAST: u16 = 400;
/// Number of packets in an upload of 40 kB.
const PACKETS: u32 = 34;
/// Maximum number of unacknowledged packets of a caller.
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

fn datagram(seg: &Segment) -> OutboundDatagram {
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
        terms: LinkAdmission::terms(0, Some(OBJECTIVE), now),
    }
}

/// A caller with one upload. It makes up to three attempts to open a flow, and gives up 6 s after it
/// has begun.
#[derive(Debug, Clone)]
struct Caller {
    begun: u64,
    attempts: u32,
    attempt_began: u64,
    flow: FlowTuple,
    /// When the flow opens.
    opens: Option<u64>,
    /// For each packet, when it was last sent and how often.
    sent: Vec<(u64, u32)>,
    /// When each packet is acknowledged.
    acked: Vec<Option<u64>>,
    done: Option<u64>,
}

const DEADLINE_MS: u64 = 6000;
const ATTEMPT_TIMEOUT_MS: u64 = 1400;
const TRANSIT_MS: u64 = 4;

/// A balancer in front of a slow link, simulated in steps of 1 ms.
struct Balancer {
    admission: LinkAdmission,
    queue: LinkQueue,
    rate: LinkRate,
    link_free: Timestamp,
    wake: Option<Timestamp>,
    /// The packets that have passed the link, with their times.
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

    fn link(&mut self, datagram: &OutboundDatagram, now: Timestamp) {
        if self.link_free.since(now) > Duration::from_millis(50) {
            self.lost += 1;
            return;
        }
        let takes = self.rate.time_for(wire_bytes(datagram.buf.len()));
        self.link_free = self.link_free.max(now) + takes;
        self.passed.push((self.link_free, datagram.flow, datagram.packet));
    }

    fn send(&mut self, seg: &Segment, now: Timestamp) {
        if let Admission::Leave(datagram) = self.queue.offer(datagram(seg), now) {
            self.link(&datagram, now);
        }
    }

    fn release(&mut self, now: Timestamp) {
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            while let Some(datagram) = self.queue.take(now) {
                self.link(&datagram, now);
            }
        }
        if self.wake.is_none() {
            self.wake = self.queue.next_in().map(|span| now + span);
        }
    }
}

/// Results of the callers.
#[derive(Debug, Default)]
struct Outcome {
    uploads: usize,
    completed: usize,
    in_time: usize,
    /// Delays of short requests at the link, sorted.
    short: Vec<Duration>,
}

/// A balancer and its callers, simulated in steps of 1 ms.
struct Simulation {
    balancer: Balancer,
    callers: Vec<Caller>,
    by_flow: HashMap<FlowTuple, usize>,
    short_sent: HashMap<FlowTuple, Timestamp>,
    flows: u32,
    with_admission: bool,
    outcome: Outcome,
}

impl Simulation {
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
            attempts: 0,
            attempt_began: 0,
            flow: flow(0, 443),
            opens: None,
            sent: vec![(0, 0); PACKETS as usize],
            acked: vec![None; PACKETS as usize],
            done: None,
        });
    }

    /// Begins an attempt, or retransmits the opening packet of the current one.
    fn attempt_open(&mut self, i: usize, ms: u64) {
        let now = at(ms);
        let waited = ms - self.callers[i].attempt_began;
        let (attempts, flow) = (self.callers[i].attempts, self.callers[i].flow);
        if attempts > 0 && waited < ATTEMPT_TIMEOUT_MS {
            if let Some((_, copies)) = [(200, 1), (600, 2)].into_iter().find(|c| c.0 == waited) {
                self.balancer.admission.note_copy(&flow, copies);
            }
            return;
        }
        if attempts == 3 {
            return;
        }
        let flow = self.next_flow(443);
        self.by_flow.insert(flow, i);
        let terms = LinkAdmission::terms(0, Some(OBJECTIVE), now);
        let queued = self.balancer.queue.bytes();
        let admission = &mut self.balancer.admission;
        let admits = !self.with_admission || admission.admits(route(443), &terms, queued, now);
        if admits {
            admission.begin(flow, now);
        } else {
            admission.wait(waiting(flow, now));
        }
        let caller = &mut self.callers[i];
        (caller.flow, caller.attempts, caller.attempt_began) = (flow, attempts + 1, ms);
        caller.opens = admits.then_some(ms + 2 * TRANSIT_MS);
    }

    /// Sends the packets that the caller's window and retransmission timers allow.
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
            let upload_packet = upload_packet(caller.flow, u32::try_from(n).expect("a number"));
            self.balancer.admission.note(&upload_packet, at(ms));
            self.balancer.send(&upload_packet, at(ms));
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
            // A caller that has begun another attempt has abandoned this flow.
            let there = |c: &&mut Caller| c.flow == open.flow && ms - c.begun < DEADLINE_MS;
            if let Some(caller) = caller.filter(there) {
                caller.opens = Some(ms + 2 * TRANSIT_MS);
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
            let n = (0..PACKETS).find(|n| PacketId::from(&upload_packet(flow, *n)) == packet);
            let back =
                u64::try_from(passed.since(START).as_millis()).expect("a time") + 2 * TRANSIT_MS;
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
                None => self.attempt_open(i, ms),
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
fn upload_packet(flow: FlowTuple, n: u32) -> Segment {
    let len = if n + 1 == PACKETS { LAST } else { FULL };
    seg(flow, SegmentKind::Data, n * u32::from(FULL), len)
}

/// Simulates `uploads` uploads and `short` requests of one packet per second, for `seconds`.
fn simulate(rate: &str, uploads: u64, short: u64, seconds: u64, with_admission: bool) -> Outcome {
    let mut simulation = Simulation {
        balancer: Balancer::new(rate.parse().expect("a rate")),
        callers: Vec::new(),
        by_flow: HashMap::new(),
        short_sent: HashMap::new(),
        flows: 0,
        with_admission,
        outcome: Outcome::default(),
    };
    for ms in 0..seconds * 1000 + DEADLINE_MS {
        let loaded = ms < seconds * 1000;
        if loaded && (ms * short) % 1000 < short {
            simulation.begin_short(at(ms));
        }
        if loaded && (ms * uploads) % 1000 < uploads {
            simulation.begin_upload(ms);
        }
        simulation.step(ms);
    }
    assert_eq!(simulation.balancer.lost, 0, "packets that the link dropped");
    let Simulation { callers, mut outcome, .. } = simulation;
    outcome.uploads = callers.len();
    outcome.completed = callers.iter().filter(|c| c.done.is_some()).count();
    let objective = u64::try_from(OBJECTIVE.as_millis()).expect("a time");
    let in_time = |c: &&Caller| c.done.is_some_and(|done| done - c.begun <= objective);
    outcome.in_time = callers.iter().filter(in_time).count();
    outcome.short.sort();
    outcome
}

/// Uploads that share a saturated link all slow down until hardly any completes in time.
///
/// Load: 20 uploads of 40 kB and 150 short requests per second for 20 s, over 3.7 Mbit/s. The link
/// carries 7 uploads per second, 190 in all until the last caller has given up.
///
/// Without admission control 14 of 400 uploads complete before their callers give up, and 1 meets its
/// latency objective. With it 173 complete and 137 meet their objective. The thresholds leave a margin
/// of a tenth for changes elsewhere. Short requests wait 5 ms for their turn on the link in both cases.
#[test]
fn admission_completes_uploads() {
    let without = simulate("3.7 Mbit/s", 20, 150, 20, false);
    let with = simulate("3.7 Mbit/s", 20, 150, 20, true);
    assert_eq!((without.uploads, with.uploads), (400, 400));
    assert!(
        without.completed < 30,
        "the load is lighter than intended: {} uploads completed",
        without.completed
    );
    assert!(with.completed >= 155, "{} uploads completed", with.completed);
    assert!(with.in_time >= 120, "{} within the latency objective", with.in_time);
    let p99 = with.short[with.short.len() * 99 / 100];
    assert!(p99 <= Duration::from_millis(12), "short requests wait for {p99:?}");
}

/// Admission control must not delay a load that the link can carry. Load: uploads that leave a third
/// of the link free. All complete and nine in ten meet their latency objective, as without admission
/// control.
#[test]
fn light_load_not_delayed() {
    let with = simulate("3.7 Mbit/s", 5, 150, 20, true);
    assert_eq!(with.completed, with.uploads);
    assert!(with.in_time * 10 >= with.uploads * 9, "{} of {}", with.in_time, with.uploads);
}

fn trained(rate: Option<&str>) -> LinkAdmission {
    let rate = rate.map(|rate| rate.parse().expect("a rate"));
    let mut admission = LinkAdmission::new(rate, START);
    for n in 0..10 {
        let flow = flow(n, 443);
        admission.begin(flow, START);
        for i in 0..PACKETS {
            admission.note(&upload_packet(flow, i), START);
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

/// While uploads are in progress over a slow link, a further one waits and a short request does not.
/// Nothing waits for a link that carries an upload in less than 10 ms, or whose rate is unknown.
#[rstest]
#[case::slow(Some("2 Mbit/s"), true)]
#[case::fast(Some("1000 Mbit/s"), false)]
#[case::unknown(None, false)]
fn only_uploads_wait(#[case] rate: Option<&str>, #[case] waits: bool) {
    let mut admission = trained(rate);
    let terms = LinkAdmission::terms(0, Some(OBJECTIVE), START);
    for n in 100..103 {
        admission.begin(flow(n, 443), START);
    }
    assert_eq!(admission.admits(route(443), &terms, 0, START), !waits);
    assert!(admission.admits(route(80), &terms, 0, START));
    assert!(admission.admits(route(8080), &terms, 0, START), "a route not seen yet");
}

/// A route with mostly short flows does not count as a route of uploads.
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
    let terms = LinkAdmission::terms(0, Some(OBJECTIVE), START);
    assert!(admission.admits(route(80), &terms, 12_500, START));
}

/// A queued opening packet is admitted when an upload ends. A retransmission does not count as another
/// packet, and the packet is removed only when its caller has given up.
#[test]
fn waiting_upload_admitted_later() {
    let mut admission = trained(Some("2 Mbit/s"));
    admission.begin(flow(100, 443), START);
    admission.begin(flow(101, 443), START);
    assert!(admission.wait(waiting(flow(102, 443), START)).is_none());
    assert!(admission.note_copy(&flow(102, 443), 1));
    assert!(!admission.note_copy(&flow(103, 443), 1));
    assert_eq!(admission.next(0, at(10)), None);
    for n in [100, 101] {
        for i in 0..PACKETS {
            let ended = admission.note(&upload_packet(flow(n, 443), i), at(20));
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

/// Packets that are retransmitted or arrive out of order are not counted twice.
#[test]
fn retransmissions_not_counted() {
    let mut admission = trained(Some("2 Mbit/s"));
    let flow = flow(100, 443);
    admission.begin(flow, START);
    let all = admission.under_way();
    for seq in [2400, 0, 1200, 0, 2400, 2400] {
        admission.note(&seg(flow, SegmentKind::Data, seq, FULL), at(1));
    }
    let seen = all - admission.under_way();
    assert!((2 * 1340..=4 * 1340).contains(&seen), "{seen} bytes of three packets");
}
