//! Admission control for uploads over the VM's link of a balancer.
//!
//! Uploads that share a saturated link all slow down until none completes before its caller gives
//! up, and each has used the link in vain. An upload is therefore admitted only while those in
//! progress leave it enough time for its latency objective. The opening packets of the others
//! wait, in the same order as at an overloaded target ([`OpenQueue`]): a refused caller retries
//! within milliseconds and would have used up its attempts before there is capacity.
//!
//! An opening packet does not tell how much its flow will transfer, so this is learned from
//! earlier flows of the route. Only nearly full packets count, so that a long flow of many short
//! requests is not treated as an upload.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::link_rate::LinkRate;
use crate::open_queue::{OpenQueue, WaitTerms, WaitingOpen, wait_limit};
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, Timestamp};

/// Minimum payload of a packet that counts towards an upload. All packets of an upload are full
/// except the last, with 1,200 bytes.
const FULL_PACKET_MIN: u16 = 1000;
/// Approximate overhead per packet, in bytes: 34 for the packet's own header, 40 for an envelope
/// and 66 for the headers of a datagram.
const PACKET_OVERHEAD: i64 = 74 + 66;
/// Minimum link time of an upload. A flow that takes less is not treated as one; the link queue
/// lets as much leave in one burst.
const MIN_UPLOAD_TIME: Duration = Duration::from_millis(10);
/// Largest upload considered. A link that carries it in less than the minimum link time is never
/// monitored.
const MAX_UPLOAD_BYTES: i64 = 1024 * 1024;
/// Time without a packet after which an upload has ended or its caller has given up: callers
/// retransmit after 0.2, 0.4 and 0.8 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Latency objective of a route that sets none.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);
/// Inverse weight of an upload in the average of its route, and of a measurement in the average
/// rate.
const SMOOTHING_DIVISOR: i64 = 8;
/// Interval over which the upload rate of the link is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Upload {
    /// Whether the upload began at this balancer, so that its counted bytes are complete.
    complete: bool,
    /// Whether the last packet has arrived; only retransmissions follow.
    ended: bool,
    /// Sequence number of the first byte, once one has arrived.
    first: Option<u32>,
    /// Bytes received, each counted once, including the overhead on the link.
    seen: i64,
    last: Timestamp,
}

impl Upload {
    fn new(complete: bool, now: Timestamp) -> Self {
        Self { complete, ended: false, first: None, seen: 0, last: now }
    }

    /// Records a packet; returns how many bytes are new. Late packets are retransmitted and
    /// arrive twice.
    fn progress(&mut self, seg: &Segment, now: Timestamp) -> i64 {
        self.last = now;
        let first = *self.first.get_or_insert(seg.seq);
        let from = i64::from(seg.seq.wrapping_sub(first).cast_signed());
        if from < 0 {
            // The packets arrived out of order.
            self.first = Some(seg.seq);
            return 0;
        }
        let until = from + i64::from(seg.len);
        let packets = until / i64::from(seg.len.max(1));
        let new = (until + packets * PACKET_OVERHEAD - self.seen).max(0);
        self.seen += new;
        new
    }
}

/// Upload sizes of a route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteUploads {
    /// Moving average of the bytes of ended flows, short ones included.
    ended: Option<i64>,
    /// Most bytes received from one flow so far.
    max_bytes: i64,
}

impl RouteUploads {
    fn count(&mut self, bytes: i64) {
        let before = self.ended.unwrap_or(bytes);
        self.ended = Some((before * (SMOOTHING_DIVISOR - 1) + bytes) / SMOOTHING_DIVISOR);
    }

    /// Returns the expected size of an upload. Until the first has ended, an upload is expected
    /// to bring as much again as the largest has brought; otherwise all would begin and none
    /// would finish.
    fn expected(self) -> i64 {
        self.ended.unwrap_or(self.max_bytes * 2)
    }
}

/// Rate that the link provides for uploads beside all other traffic.
#[derive(Debug, Clone, Copy)]
struct UploadRate {
    bytes_per_second: i64,
    /// Start of the current measurement, which requires that uploads are in progress throughout.
    since: Option<Timestamp>,
    bytes: i64,
}

impl UploadRate {
    /// Updates the average from the current measurement if uploads were in progress throughout.
    fn update(&mut self, under_way: bool, now: Timestamp) {
        let Some(since) = self.since.filter(|_| under_way) else {
            self.since = under_way.then_some(now);
            self.bytes = 0;
            return;
        };
        let span = now.since(since);
        if span < MEASURE_INTERVAL {
            return;
        }
        let ms = i64::try_from(span.as_millis()).unwrap_or(i64::MAX).max(1);
        let seen = self.bytes.saturating_mul(1000) / ms;
        self.bytes_per_second =
            (self.bytes_per_second * (SMOOTHING_DIVISOR - 1) + seen) / SMOOTHING_DIVISOR;
        self.since = Some(now);
        self.bytes = 0;
    }

    fn time_for(self, bytes: i64) -> Duration {
        let ms = bytes.saturating_mul(1000) / self.bytes_per_second.max(1);
        Duration::from_millis(u64::try_from(ms).unwrap_or(0))
    }
}

/// Admission control for the uploads of a balancer.
#[derive(Debug)]
pub struct LinkAdmission {
    /// Rate of the link, if uploads can saturate it.
    rate: Option<LinkRate>,
    routes: HashMap<SocketAddrV4, RouteUploads>,
    uploads: HashMap<FlowTuple, Upload>,
    upload_rate: UploadRate,
    queue: OpenQueue,
}

impl LinkAdmission {
    /// Creates the admission control of a link of `rate`. If the rate is unknown, all flows are
    /// admitted.
    #[must_use]
    pub fn new(rate: Option<LinkRate>, now: Timestamp) -> Self {
        let rate = rate.filter(|rate| rate.time_for(MAX_UPLOAD_BYTES) >= MIN_UPLOAD_TIME);
        let bytes_per_second = rate.map_or(0, |rate| rate.bytes_in(Duration::from_secs(1)));
        Self {
            rate,
            routes: HashMap::new(),
            uploads: HashMap::new(),
            upload_rate: UploadRate { bytes_per_second, since: None, bytes: 0 },
            queue: OpenQueue::new(now),
        }
    }

    /// Records a packet of an open flow; returns whether it ended an upload.
    pub fn note(&mut self, seg: &Segment, now: Timestamp) -> bool {
        if self.rate.is_none() {
            return false;
        }
        if seg.kind == SegmentKind::Data && seg.len >= FULL_PACKET_MIN {
            self.count(seg, now);
            return false;
        }
        // The last packet of an upload is not full. A bare acknowledgement carries no
        // information.
        if seg.len == 0 && seg.kind == SegmentKind::Data {
            return false;
        }
        let upload = self.uploads.get_mut(&seg.flow);
        let Some(upload) = upload.filter(|upload| !upload.ended) else { return false };
        upload.ended = true;
        if upload.complete {
            self.routes.entry(seg.flow.route()).or_default().count(upload.seen);
        }
        true
    }

    fn count(&mut self, seg: &Segment, now: Timestamp) {
        let upload = self.uploads.entry(seg.flow).or_insert_with(|| Upload::new(false, now));
        self.upload_rate.bytes += upload.progress(seg, now);
        let route = self.routes.entry(seg.flow.route()).or_default();
        route.max_bytes = route.max_bytes.max(upload.seen);
    }

    /// Returns the expected bytes of a flow of `route`, if it counts as an upload on this link.
    fn expected(&self, route: SocketAddrV4) -> Option<i64> {
        let rate = self.rate?;
        let bytes = self.routes.get(&route)?.expected();
        (rate.time_for(bytes) >= MIN_UPLOAD_TIME).then_some(bytes)
    }

    /// Returns the bytes that the uploads in progress have still to send.
    #[must_use]
    pub fn under_way(&self) -> i64 {
        let running = self.uploads.iter().filter(|(_, upload)| !upload.ended);
        let left = |(flow, upload): (&FlowTuple, &Upload)| {
            (self.expected(flow.route()).unwrap_or(0) - upload.seen).max(0)
        };
        running.map(left).sum()
    }

    /// Returns the wait limits of an opening packet that arrived as retransmission number
    /// `copies`, for the latency objective `objective`.
    #[must_use]
    pub fn terms(copies: u32, objective: Option<Duration>, now: Timestamp) -> WaitTerms {
        WaitTerms::new(copies, wait_limit(objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE)), now)
    }

    /// Returns whether a new flow of `route` may begin now, with `queued` bytes already waiting
    /// for the link.
    #[must_use]
    pub fn admits(
        &self,
        route: SocketAddrV4,
        terms: &WaitTerms,
        queued: i64,
        now: Timestamp,
    ) -> bool {
        let Some(expected) = self.expected(route) else { return true };
        let before = self.under_way() + queued;
        let may_begin =
            before < expected || terms.in_time(self.upload_rate.time_for(before + expected), now);
        self.queue.is_empty() && may_begin
    }

    /// Records the start of a new flow.
    pub fn begin(&mut self, flow: FlowTuple, now: Timestamp) {
        if self.routes.contains_key(&flow.route()) {
            self.uploads.insert(flow, Upload::new(true, now));
        }
    }

    /// Queues an opening packet, or returns it if the queue is full.
    pub fn wait(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        self.queue.push(open)
    }

    /// Records a retransmission of an opening packet; returns whether the packet is queued here.
    pub fn note_copy(&mut self, flow: &FlowTuple, copies: u32) -> bool {
        self.queue.note_copy(flow, copies)
    }

    /// Returns the next opening packet to admit, with `queued` bytes waiting for the link, and
    /// forgets uploads that have ended.
    pub fn next(&mut self, queued: i64, now: Timestamp) -> Option<WaitingOpen> {
        self.uploads.retain(|_, upload| now.since(upload.last) < IDLE_TIMEOUT);
        self.upload_rate.update(!self.uploads.is_empty(), now);
        let first = self.queue.first()?;
        // The expected size may have dropped since the packets were queued.
        let expected = self.expected(first.flow.route()).unwrap_or(0);
        let before = self.under_way() + queued;
        // With less than one upload in progress the link would go idle before the next one
        // begins, which takes some round trips.
        let room = before < expected.max(1);
        self.queue.take(self.upload_rate.time_for(before + expected), room, now)
    }

    /// Removes and returns the opening packets whose callers have given up, or are about to.
    pub fn take_abandoned(&mut self, now: Timestamp) -> Vec<WaitingOpen> {
        self.queue.take_abandoned(now)
    }

    /// Returns the number of queued opening packets.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}
