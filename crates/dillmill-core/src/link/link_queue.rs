//! Paces and queues the datagrams that a process sends over its VM's link.
//!
//! A slow link buffers little: of a burst it accepts some 50 ms and drops the rest, including
//! heartbeats and opening packets. A caller sends 16 packets of an upload at once, and lost ones
//! are retransmitted only after 200 ms or more. A process therefore sends no faster than its link
//! carries, and queues the rest here:
//!
//! * A token bucket decides when the next datagram may leave. Messages between processes and
//!   resets never wait, but are charged to the bucket, so that the other traffic makes room for
//!   them.
//! * Flows take turns (deficit round robin), and a flow that had nothing queued goes first, as in
//!   `FQ-CoDel` (RFC 8290): opening packets, acknowledgements and short requests overtake an
//!   upload.
//! * A retransmission of a packet that is still queued replaces it, as the caller retransmits
//!   what it takes for lost.
//! * When the queue is full, the flow with the most bytes loses its last packet.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::link_rate::{DATAGRAM_OVERHEAD, LinkRate};
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, Timestamp};

/// Percentage of the link that datagrams may use. The rest is for traffic that is not charged:
/// calls to the store, the platform's requests and TCP headers.
const USABLE_PERCENT: u32 = 95;
/// Burst that may leave at once after a pause, as link time, well below what a slow link buffers.
/// One more datagram may start while any of it is left.
const BURST_TIME: Duration = Duration::from_millis(10);
/// Bytes that a flow may send per turn: one full datagram.
const QUANTUM: i64 = 1300;
/// Maximum queue length, as link time. A packet that waits longer has been retransmitted three
/// times (after 200, 400 and 800 ms), and its caller has slowed down by then.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);
/// Limit, as link time, on how long datagrams that bypass the queue can hold up the others. The
/// link has dropped what it could not carry, so a flood of resets stops affecting it when the
/// flood ends, however long it lasted.
const MAX_DEBT: Duration = MAX_QUEUE_TIME;
/// Maximum queued bytes, however fast the link is.
const MAX_QUEUED_BYTES: i64 = 4 * 1024 * 1024;
/// Minimum sleep before the next datagram, because each wake-up costs as much as a packet.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// Identifies a packet within its flow; retransmissions of a packet have the same identifier.
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

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// The flow of the packet that the datagram carries.
    pub flow: FlowTuple,
    /// Identifier of the packet within the flow.
    pub packet: PacketId,
    /// The datagram's payload.
    pub buf: Vec<u8>,
    /// Destination address.
    pub to: SocketAddrV4,
}

impl OutboundDatagram {
    /// Returns the size on the wire, in bytes.
    fn size(&self) -> i64 {
        wire_bytes(self.buf.len())
    }
}

/// Result of [`LinkQueue::offer`].
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The datagram may leave now.
    Leave(OutboundDatagram),
    /// The datagram is queued.
    Wait,
    /// The datagram has replaced a queued copy of the same packet.
    Replaced,
    /// The datagram is queued, and the last packet of this flow, which had the most bytes queued,
    /// was dropped to make room.
    Dropped(FlowTuple),
}

#[derive(Debug, Default)]
struct Backlog {
    packets: VecDeque<OutboundDatagram>,
    bytes: i64,
    /// Bytes that the flow may still send in its turn (the deficit counter).
    deficit: i64,
    /// Whether the flow is in one of the lists that take turns.
    scheduled: bool,
}

/// The queue of datagrams in front of a process's link.
#[derive(Debug)]
pub struct LinkQueue {
    rate: Option<LinkRate>,
    /// Bytes that may leave now; negative after more has left.
    tokens: i64,
    refilled: Timestamp,
    backlogs: HashMap<FlowTuple, Backlog>,
    /// Flows that had nothing queued when their packet arrived.
    new_flows: VecDeque<FlowTuple>,
    /// All other flows, in round-robin order.
    old_flows: VecDeque<FlowTuple>,
    bytes: i64,
}

impl LinkQueue {
    /// Creates an empty queue for a link of `rate`. If the rate is unknown, nothing is queued.
    #[must_use]
    pub fn new(rate: Option<LinkRate>, now: Timestamp) -> Self {
        Self {
            rate,
            tokens: rate.map_or(0, burst),
            refilled: now,
            backlogs: HashMap::new(),
            new_flows: VecDeque::new(),
            old_flows: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Queues a datagram, or returns it if it may leave at once.
    pub fn offer(&mut self, datagram: OutboundDatagram, now: Timestamp) -> Admission {
        let Some(rate) = self.rate else { return Admission::Leave(datagram) };
        self.refill(rate, now);
        if self.tokens > 0 && self.is_empty() {
            self.tokens -= datagram.size();
            return Admission::Leave(datagram);
        }
        let backlog = self.backlogs.entry(datagram.flow).or_default();
        if let Some(copy) = backlog.packets.iter_mut().find(|p| p.packet == datagram.packet) {
            let more = datagram.size() - copy.size();
            *copy = datagram;
            backlog.bytes += more;
            self.bytes += more;
            return Admission::Replaced;
        }
        if !backlog.scheduled {
            backlog.scheduled = true;
            backlog.deficit = QUANTUM;
            self.new_flows.push_back(datagram.flow);
        }
        backlog.bytes += datagram.size();
        self.bytes += datagram.size();
        backlog.packets.push_back(datagram);
        if self.bytes <= rate.bytes_in(MAX_QUEUE_TIME).min(MAX_QUEUED_BYTES) {
            return Admission::Wait;
        }
        self.drop_from_largest_flow().map_or(Admission::Wait, Admission::Dropped)
    }

    /// Charges the token bucket for bytes that bypass the queue, down to a debt of one second of
    /// the link's rate.
    pub fn charge(&mut self, wire_bytes: u64) {
        let Some(rate) = self.rate else { return };
        let bytes = i64::try_from(wire_bytes).unwrap_or(i64::MAX);
        let lowest = -rate.bytes_in(MAX_DEBT);
        self.tokens = self.tokens.saturating_sub(bytes).max(lowest.min(self.tokens));
    }

    /// Returns the next datagram, if one is queued and may leave now.
    pub fn take(&mut self, now: Timestamp) -> Option<OutboundDatagram> {
        self.refill(self.rate?, now);
        if self.tokens <= 0 {
            return None;
        }
        let datagram = self.next()?;
        self.tokens -= datagram.size();
        self.bytes -= datagram.size();
        if self.is_empty() {
            self.clear_schedule();
        }
        Some(datagram)
    }

    /// Returns the time until the next datagram may leave, or `None` if the queue is empty.
    #[must_use]
    pub fn next_in(&self) -> Option<Duration> {
        let rate = self.rate.filter(|_| !self.is_empty())?;
        Some(
            rate.time_for((1 - self.tokens).max(0) * 100 / i64::from(USABLE_PERCENT))
                .max(MIN_SLEEP),
        )
    }

    /// Returns the number of queued bytes.
    #[must_use]
    pub fn bytes(&self) -> i64 {
        self.bytes
    }

    /// Returns the time that the link needs for the queued bytes.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| rate.time_for(self.bytes))
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    fn refill(&mut self, rate: LinkRate, now: Timestamp) {
        let gained = rate.bytes_in(now.since(self.refilled) * USABLE_PERCENT / 100);
        // A gain that rounds to zero is not lost, because the start of the interval is kept.
        if gained > 0 {
            self.tokens = self.tokens.saturating_add(gained).min(burst(rate));
            self.refilled = now;
        }
    }

    fn next(&mut self) -> Option<OutboundDatagram> {
        loop {
            let from_new = !self.new_flows.is_empty();
            let turns = if from_new { &mut self.new_flows } else { &mut self.old_flows };
            let flow = turns.pop_front()?;
            let Some(backlog) = self.backlogs.get_mut(&flow) else { continue };
            if backlog.deficit <= 0 {
                backlog.deficit += QUANTUM;
                self.old_flows.push_back(flow);
                continue;
            }
            if let Some(datagram) = backlog.packets.pop_front() {
                backlog.deficit -= datagram.size();
                backlog.bytes -= datagram.size();
                let turns = if from_new { &mut self.new_flows } else { &mut self.old_flows };
                turns.push_front(flow);
                return Some(datagram);
            }
            if from_new {
                // Otherwise a flow that sends a steady stream of packets would always stay ahead
                // of the others.
                self.old_flows.push_back(flow);
            } else {
                self.backlogs.remove(&flow);
            }
        }
    }

    fn clear_schedule(&mut self) {
        self.backlogs.clear();
        self.new_flows.clear();
        self.old_flows.clear();
    }

    fn drop_from_largest_flow(&mut self) -> Option<FlowTuple> {
        let (flow, backlog) = self.backlogs.iter_mut().max_by_key(|(_, b)| b.bytes)?;
        let dropped = backlog.packets.pop_back()?;
        backlog.bytes -= dropped.size();
        self.bytes -= dropped.size();
        Some(*flow)
    }
}

/// Returns the size on the wire of a datagram with `len` bytes of payload.
#[must_use]
pub fn wire_bytes(len: usize) -> i64 {
    i64::try_from(len + DATAGRAM_OVERHEAD).unwrap_or(i64::MAX)
}

fn burst(rate: LinkRate) -> i64 {
    rate.bytes_in(BURST_TIME).max(1)
}
