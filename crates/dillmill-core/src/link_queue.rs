//! Datagrams that wait for the VM's own link.
//!
//! A thin link holds little: of what is sent at once it takes some 50 ms and drops the rest, heartbeats and opening
//! packets among them. A caller sends 16 packets of an upload at once, and
//! what is lost comes again only after 200 ms and more. So a process sends no faster than its link takes, and what
//! can't leave yet waits here:
//!
//! * a token bucket says when the next datagram may leave. Messages between processes and resets never wait; they are
//!   only charged to it, so that the rest makes room for them;
//! * flows take turns (deficit round robin), and a flow that had nothing waiting goes first, as in `FQ-CoDel`
//!   (RFC 8290): opening packets, acknowledgements and short requests pass an upload by;
//! * a copy of a packet that still waits takes its place in the queue: the caller sends again what it takes for lost;
//! * when too much waits, the flow with the most bytes loses its last packet.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::link_rate::{DATAGRAM_OVERHEAD, LinkRate};
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, Timestamp};

/// Part of the link that datagrams may fill, in percent. The rest is for what is not charged: calls to the store,
/// the platform's questions, heads of TCP.
const SHARE: u32 = 95;
/// Time of the link that may leave at once after a pause, well below what a thin link holds. One datagram more may begin
/// while any of it is left.
const BURST: Duration = Duration::from_millis(10);
/// Bytes that a flow may send before the next one's turn: one full datagram.
const QUANTUM: i64 = 1300;
/// Time of the link for which datagrams may wait. A packet that waits for longer has been sent again three times
/// (after 200, 400 and 800 ms), and its caller slows down by then.
const WAIT_MAX: Duration = Duration::from_secs(1);
/// Time of the link for which datagrams that never wait hold up the others. What a link does not take it has dropped, so
/// that a flood of resets is over for it when it is over, however long it was.
const DEBT_MAX: Duration = WAIT_MAX;
/// Bytes that may wait at most, however fast the link is.
const BYTES_MAX: i64 = 4 * 1024 * 1024;
/// Shortest sleep until the next datagram may leave: each wake-up costs as much as a packet.
const WAKE_MIN: Duration = Duration::from_millis(2);

/// Tells a packet of a flow from the others of the flow, but not from its own copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PacketId {
    kind: SegmentKind,
    seq: u32,
    len: u16,
}

impl From<&Segment> for PacketId {
    fn from(seg: &Segment) -> Self {
        let kind = match seg.kind {
            SegmentKind::Open { .. } => SegmentKind::Open { copies: 0 },
            kind => kind,
        };
        Self { kind, seq: seg.seq, len: seg.len }
    }
}

/// A datagram on its way out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// The flow of the packet in it.
    pub flow: FlowTuple,
    /// Which packet of the flow.
    pub packet: PacketId,
    /// Its content.
    pub buf: Vec<u8>,
    /// Where it goes.
    pub to: SocketAddrV4,
}

impl OutboundDatagram {
    /// Returns the bytes that it takes on the wire.
    fn size(&self) -> i64 {
        wire_bytes(self.buf.len())
    }
}

/// What becomes of a datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may leave now.
    Leave(OutboundDatagram),
    /// It waits.
    Wait,
    /// It waits in the place of an earlier copy.
    Replaced,
    /// It waits, and the last packet of this flow, which had the most bytes, was dropped for it.
    Dropped(FlowTuple),
}

#[derive(Debug, Default)]
struct Backlog {
    packets: VecDeque<OutboundDatagram>,
    bytes: i64,
    /// Bytes that the flow may still send in its turn.
    credit: i64,
    /// It stands among those that take turns.
    listed: bool,
}

/// The datagrams of a process that wait for its link.
#[derive(Debug)]
pub struct LinkQueue {
    rate: Option<LinkRate>,
    /// Bytes that may leave now; below zero after more has left.
    tokens: i64,
    refilled: Timestamp,
    backlogs: HashMap<FlowTuple, Backlog>,
    /// Flows that had nothing waiting when their packet came.
    fresh: VecDeque<FlowTuple>,
    /// The other flows, in the order of their turns.
    rest: VecDeque<FlowTuple>,
    bytes: i64,
}

impl LinkQueue {
    /// Creates an empty queue before a link of `rate`; nothing ever waits where the rate is not known.
    #[must_use]
    pub fn new(rate: Option<LinkRate>, now: Timestamp) -> Self {
        Self {
            rate,
            tokens: rate.map_or(0, burst),
            refilled: now,
            backlogs: HashMap::new(),
            fresh: VecDeque::new(),
            rest: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Takes in a datagram, and returns it if it may leave at once.
    pub fn offer(&mut self, departure: OutboundDatagram, now: Timestamp) -> Admission {
        let Some(rate) = self.rate else { return Admission::Leave(departure) };
        self.refill(rate, now);
        if self.tokens > 0 && self.is_empty() {
            self.tokens -= departure.size();
            return Admission::Leave(departure);
        }
        let backlog = self.backlogs.entry(departure.flow).or_default();
        if let Some(copy) = backlog.packets.iter_mut().find(|p| p.packet == departure.packet) {
            let more = departure.size() - copy.size();
            *copy = departure;
            backlog.bytes += more;
            self.bytes += more;
            return Admission::Replaced;
        }
        if !backlog.listed {
            backlog.listed = true;
            backlog.credit = QUANTUM;
            self.fresh.push_back(departure.flow);
        }
        backlog.bytes += departure.size();
        self.bytes += departure.size();
        backlog.packets.push_back(departure);
        if self.bytes <= rate.bytes_in(WAIT_MAX).min(BYTES_MAX) {
            return Admission::Wait;
        }
        self.drop_one().map_or(Admission::Wait, Admission::Dropped)
    }

    /// Charges the link with bytes that leave without waiting here, up to a second of its rate.
    pub fn charge(&mut self, wire_bytes: u64) {
        let Some(rate) = self.rate else { return };
        let bytes = i64::try_from(wire_bytes).unwrap_or(i64::MAX);
        let lowest = -rate.bytes_in(DEBT_MAX);
        self.tokens = self.tokens.saturating_sub(bytes).max(lowest.min(self.tokens));
    }

    /// Returns the next datagram, if one waits and may leave now.
    pub fn take(&mut self, now: Timestamp) -> Option<OutboundDatagram> {
        self.refill(self.rate?, now);
        if self.tokens <= 0 {
            return None;
        }
        let departure = self.next()?;
        self.tokens -= departure.size();
        self.bytes -= departure.size();
        if self.is_empty() {
            self.forget_turns();
        }
        Some(departure)
    }

    /// Returns how long the next datagram has to wait, `None` if none waits.
    #[must_use]
    pub fn next_in(&self) -> Option<Duration> {
        let rate = self.rate.filter(|_| !self.is_empty())?;
        Some(rate.time_for((1 - self.tokens).max(0) * 100 / i64::from(SHARE)).max(WAKE_MIN))
    }

    /// Returns the bytes that wait.
    #[must_use]
    pub fn bytes(&self) -> i64 {
        self.bytes
    }

    /// Returns how long what waits will take.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| rate.time_for(self.bytes))
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    fn refill(&mut self, rate: LinkRate, now: Timestamp) {
        let gained = rate.bytes_in(now.since(self.refilled) * SHARE / 100);
        // A gain that rounds to nothing is not lost: it is counted from the same moment again.
        if gained > 0 {
            self.tokens = self.tokens.saturating_add(gained).min(burst(rate));
            self.refilled = now;
        }
    }

    fn next(&mut self) -> Option<OutboundDatagram> {
        loop {
            let from_fresh = !self.fresh.is_empty();
            let turns = if from_fresh { &mut self.fresh } else { &mut self.rest };
            let flow = turns.pop_front()?;
            let Some(backlog) = self.backlogs.get_mut(&flow) else { continue };
            if backlog.credit <= 0 {
                backlog.credit += QUANTUM;
                self.rest.push_back(flow);
                continue;
            }
            if let Some(departure) = backlog.packets.pop_front() {
                backlog.credit -= departure.size();
                backlog.bytes -= departure.size();
                let turns = if from_fresh { &mut self.fresh } else { &mut self.rest };
                turns.push_front(flow);
                return Some(departure);
            }
            if from_fresh {
                // Else a flow that sends one packet after the other would stay before all others.
                self.rest.push_back(flow);
            } else {
                self.backlogs.remove(&flow);
            }
        }
    }

    fn forget_turns(&mut self) {
        self.backlogs.clear();
        self.fresh.clear();
        self.rest.clear();
    }

    fn drop_one(&mut self) -> Option<FlowTuple> {
        let (flow, backlog) = self.backlogs.iter_mut().max_by_key(|(_, b)| b.bytes)?;
        let dropped = backlog.packets.pop_back()?;
        backlog.bytes -= dropped.size();
        self.bytes -= dropped.size();
        Some(*flow)
    }
}

/// Returns the bytes that a datagram of `len` bytes takes on the wire.
#[must_use]
pub fn wire_bytes(len: usize) -> i64 {
    i64::try_from(len + DATAGRAM_OVERHEAD).unwrap_or(i64::MAX)
}

fn burst(rate: LinkRate) -> i64 {
    rate.bytes_in(BURST).max(1)
}
