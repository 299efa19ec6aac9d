//! Which uploads a balancer takes on, as far as its VM's link carries them.
//!
//! Uploads that share a full link all get slower, until none is through before its caller gives up, and each has filled
//! the link in vain. So an upload begins only while those under way leave it time for its aim. The opening packets
//! of the others wait, in the same order as at a busy target ([`OpenQueue`]): a caller that is refused tries again within
//! milliseconds, and has used up its tries before there is room.
//!
//! Nothing in an opening packet says what the flow will bring: that is learned from the earlier flows of its route. Only
//! packets that are nearly full count, so that a long flow of many short requests is no upload.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::link_rate::LinkRate;
use crate::open_queue::{OpenQueue, WaitTerms, WaitingOpen, wait_limit};
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, Timestamp};

/// Data of a packet that counts as one of many: an upload's are full but for the last, 1,200 bytes.
const BULK_DATA: u16 = 1000;
/// What the packet's own head, an envelope and the heads of a datagram add to the data of a packet, about: 34, 40 and 66
/// bytes.
const ADDED: i64 = 74 + 66;
/// A flow that takes less of the link than this is no upload to it; the link queue lets as much leave at once.
const LIGHT: Duration = Duration::from_millis(10);
/// Largest upload that is thought of: a link that takes it as if it were nothing is never watched.
const LARGEST: i64 = 1024 * 1024;
/// An upload without a packet for this long is over, or its caller has gone: callers send again after 0.2, 0.4 and 0.8 s.
const IDLE: Duration = Duration::from_millis(1500);
/// Aim of a route that has none.
const DEFAULT_AIM: Duration = Duration::from_secs(1);
/// Weight of an upload in the average of its route, and of a measurement in the rate.
const NEW_SHARE: i64 = 8;
/// Time over which the rate that the link gives uploads is averaged.
const MEASURED: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Upload {
    /// It began here, so that its bytes are all that it brings.
    whole: bool,
    /// Its last packet has come, and only copies follow.
    ended: bool,
    /// Number of its first byte, once one has come.
    first: Option<u32>,
    /// Bytes that it has brought, each counted once, with what they take on the link besides.
    seen: i64,
    last: Timestamp,
}

impl Upload {
    fn new(whole: bool, now: Timestamp) -> Self {
        Self { whole, ended: false, first: None, seen: 0, last: now }
    }

    /// Takes in a packet; returns how many bytes are new. Packets come again when they were late.
    fn progress(&mut self, seg: &Segment, now: Timestamp) -> i64 {
        self.last = now;
        let first = *self.first.get_or_insert(seg.seq);
        let from = i64::from(seg.seq.wrapping_sub(first).cast_signed());
        if from < 0 {
            // An earlier packet that comes after a later one.
            self.first = Some(seg.seq);
            return 0;
        }
        let until = from + i64::from(seg.len);
        let packets = until / i64::from(seg.len.max(1));
        let new = (until + packets * ADDED - self.seen).max(0);
        self.seen += new;
        new
    }
}

/// What the uploads of a route bring.
#[derive(Debug, Clone, Copy, Default)]
struct RouteUploads {
    /// Bytes of a flow that has ended, smoothed; those of short ones count too.
    ended: Option<i64>,
    /// Most bytes that one has brought so far.
    most: i64,
}

impl RouteUploads {
    fn count(&mut self, bytes: i64) {
        let before = self.ended.unwrap_or(bytes);
        self.ended = Some((before * (NEW_SHARE - 1) + bytes) / NEW_SHARE);
    }

    /// Returns the bytes that one is expected to bring. Before the first has ended, as much is taken to come as has
    /// come: else all would begin, and none would end.
    fn expected(self) -> i64 {
        self.ended.unwrap_or(self.most * 2)
    }
}

/// What the link gives uploads besides all the rest.
#[derive(Debug, Clone, Copy)]
struct UploadRate {
    per_second: i64,
    /// Since when it is measured, while uploads are under way all the time.
    since: Option<Timestamp>,
    bytes: i64,
}

impl UploadRate {
    /// Takes in what was measured, if uploads were and are under way.
    fn look(&mut self, under_way: bool, now: Timestamp) {
        let Some(since) = self.since.filter(|_| under_way) else {
            self.since = under_way.then_some(now);
            self.bytes = 0;
            return;
        };
        let span = now.since(since);
        if span < MEASURED {
            return;
        }
        let ms = i64::try_from(span.as_millis()).unwrap_or(i64::MAX).max(1);
        let seen = self.bytes.saturating_mul(1000) / ms;
        self.per_second = (self.per_second * (NEW_SHARE - 1) + seen) / NEW_SHARE;
        self.since = Some(now);
        self.bytes = 0;
    }

    fn time_for(self, bytes: i64) -> Duration {
        let ms = bytes.saturating_mul(1000) / self.per_second.max(1);
        Duration::from_millis(u64::try_from(ms).unwrap_or(0))
    }
}

/// The uploads of a balancer.
#[derive(Debug)]
pub struct LinkAdmission {
    /// Rate of the link, if it is one that uploads can fill.
    rate: Option<LinkRate>,
    routes: HashMap<SocketAddrV4, RouteUploads>,
    uploads: HashMap<FlowTuple, Upload>,
    gives: UploadRate,
    opens: OpenQueue,
}

impl LinkAdmission {
    /// Creates the admission to a link of `rate`; where the rate is not known, nothing ever waits.
    #[must_use]
    pub fn new(rate: Option<LinkRate>, now: Timestamp) -> Self {
        let rate = rate.filter(|rate| rate.time_for(LARGEST) >= LIGHT);
        let per_second = rate.map_or(0, |rate| rate.bytes_in(Duration::from_secs(1)));
        Self {
            rate,
            routes: HashMap::new(),
            uploads: HashMap::new(),
            gives: UploadRate { per_second, since: None, bytes: 0 },
            opens: OpenQueue::new(now),
        }
    }

    /// Takes in a packet of an open flow; returns whether an upload has ended with it.
    pub fn note(&mut self, seg: &Segment, now: Timestamp) -> bool {
        if self.rate.is_none() {
            return false;
        }
        if seg.kind == SegmentKind::Data && seg.len >= BULK_DATA {
            self.count(seg, now);
            return false;
        }
        // The last packet of an upload is not full; one that only acknowledges says nothing.
        if seg.len == 0 && seg.kind == SegmentKind::Data {
            return false;
        }
        let upload = self.uploads.get_mut(&seg.flow);
        let Some(upload) = upload.filter(|upload| !upload.ended) else { return false };
        upload.ended = true;
        if upload.whole {
            self.routes.entry(seg.flow.route()).or_default().count(upload.seen);
        }
        true
    }

    fn count(&mut self, seg: &Segment, now: Timestamp) {
        let upload = self.uploads.entry(seg.flow).or_insert_with(|| Upload::new(false, now));
        self.gives.bytes += upload.progress(seg, now);
        let route = self.routes.entry(seg.flow.route()).or_default();
        route.most = route.most.max(upload.seen);
    }

    /// Returns the bytes that a flow of `route` will take of the link, if it is an upload to it.
    fn expected(&self, route: SocketAddrV4) -> Option<i64> {
        let rate = self.rate?;
        let bytes = self.routes.get(&route)?.expected();
        (rate.time_for(bytes) >= LIGHT).then_some(bytes)
    }

    /// Returns the bytes that the uploads under way will bring yet.
    #[must_use]
    pub fn under_way(&self) -> i64 {
        let running = self.uploads.iter().filter(|(_, upload)| !upload.ended);
        let left = |(flow, upload): (&FlowTuple, &Upload)| {
            (self.expected(flow.route()).unwrap_or(0) - upload.seen).max(0)
        };
        running.map(left).sum()
    }

    /// Returns the terms on which an opening packet waits that came after `copies` others.
    #[must_use]
    pub fn terms(copies: u32, aim: Option<Duration>, now: Timestamp) -> WaitTerms {
        WaitTerms::new(copies, wait_limit(aim.unwrap_or(DEFAULT_AIM)), now)
    }

    /// Returns whether a new flow of `route` may begin now, behind `queued` bytes that wait for the link already.
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
            before < expected || terms.in_time(self.gives.time_for(before + expected), now);
        self.opens.is_empty() && may_begin
    }

    /// Notes that a new flow begins.
    pub fn begin(&mut self, flow: FlowTuple, now: Timestamp) {
        if self.routes.contains_key(&flow.route()) {
            self.uploads.insert(flow, Upload::new(true, now));
        }
    }

    /// Lets an opening packet wait; returns it if too many wait already.
    pub fn wait(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        self.opens.push(open)
    }

    /// Notes a copy of an opening packet; returns whether one waits here.
    pub fn note_copy(&mut self, flow: &FlowTuple, copies: u32) -> bool {
        self.opens.note_copy(flow, copies)
    }

    /// Returns the opening packet that has its turn behind `queued` bytes that wait for the link, and forgets uploads that are over.
    pub fn next(&mut self, queued: i64, now: Timestamp) -> Option<WaitingOpen> {
        self.uploads.retain(|_, upload| now.since(upload.last) < IDLE);
        self.gives.look(!self.uploads.is_empty(), now);
        let first = self.opens.first()?;
        // The route may bring less by now than when they began to wait.
        let expected = self.expected(first.flow.route()).unwrap_or(0);
        let before = self.under_way() + queued;
        // With less than one upload under way the link would be idle before another one has begun, which takes some
        // round trips.
        let room = before < expected.max(1);
        self.opens.take(self.gives.time_for(before + expected), room, now)
    }

    /// Returns the opening packets whose callers have gone, or are about to.
    pub fn take_abandoned(&mut self, now: Timestamp) -> Vec<WaitingOpen> {
        self.opens.take_abandoned(now)
    }

    /// Returns the number of opening packets that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.opens.len()
    }
}
