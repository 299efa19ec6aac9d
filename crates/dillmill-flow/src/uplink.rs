//! Queues outgoing packets of flows so that a VM's link is not overloaded.

use std::net::SocketAddrV4;

use compio::net::UdpSocket;
use dillmill_core::{
    Admission, FlowTuple, LinkQueue, LinkRate, OutboundDatagram, Segment, SegmentKind, Timestamp,
};
use dillmill_node::{Metrics, NodeError, Traffic, TrafficKind};
use prometheus::{IntCounter, IntGauge};

use crate::sockets;

/// Sends packets of flows no faster than the rate of the VM's link.
#[derive(Debug)]
pub struct Uplink {
    socket: UdpSocket,
    queue: LinkQueue,
    traffic: Traffic,
    /// Bytes sent around the queue that have been charged to it so far.
    charged: u64,
    link_free: flume::Sender<()>,
    /// Whether a timer for the next packet is running.
    timer_running: bool,
    counters: UplinkCounters,
}

#[derive(Debug)]
struct UplinkCounters {
    waited: IntCounter,
    replaced: IntCounter,
    dropped: IntCounter,
    failed: IntCounter,
    delay_ms: IntGauge,
}

impl UplinkCounters {
    fn new(metrics: &Metrics) -> Result<Self, NodeError> {
        Ok(Self {
            waited: metrics.counter("dillmill_link_waited", "Packets that waited for the link")?,
            replaced: metrics
                .counter("dillmill_link_replaced", "Copies of packets that still waited")?,
            dropped: metrics
                .counter("dillmill_link_dropped", "Packets dropped, as too much waited")?,
            failed: metrics.counter("dillmill_link_failed", "Packets that could not be sent")?,
            delay_ms: metrics
                .gauge("dillmill_link_delay_ms", "Time that what waits for the link takes")?,
        })
    }
}

impl Uplink {
    /// Creates an uplink that sends through `socket` over a link of `rate`, and the channel that signals
    /// when [`Uplink::release`] is due.
    ///
    /// # Errors
    ///
    /// Fails if a metric name is already registered.
    pub fn new(
        socket: UdpSocket,
        rate: Option<LinkRate>,
        metrics: &Metrics,
        now: Timestamp,
    ) -> Result<(Self, flume::Receiver<()>), NodeError> {
        let (link_free, released) = flume::unbounded();
        let uplink = Self {
            socket,
            queue: LinkQueue::new(rate, now),
            traffic: metrics.traffic.clone(),
            charged: 0,
            link_free,
            timer_running: false,
            counters: UplinkCounters::new(metrics)?,
        };
        Ok((uplink, released))
    }

    /// Sends a packet, or queues it for the link. Returns the flow that lost a packet if the queue is full.
    pub async fn send(
        &mut self,
        kind: TrafficKind,
        departure: OutboundDatagram,
        now: Timestamp,
    ) -> Option<FlowTuple> {
        let len = departure.buf.len();
        self.charge_bypassing();
        match self.queue.offer(departure, now) {
            Admission::Leave(departure) => {
                self.traffic.sent(kind, len);
                self.transmit(departure).await;
                None
            }
            Admission::Wait => {
                self.traffic.sent(kind, len);
                self.count_waiting();
                None
            }
            Admission::Replaced => {
                self.counters.replaced.inc();
                None
            }
            Admission::Dropped(flow) => {
                self.counters.dropped.inc();
                self.count_waiting();
                Some(flow)
            }
        }
    }

    /// Returns the bytes that are queued.
    #[must_use]
    pub fn queued(&self) -> i64 {
        self.queue.bytes()
    }

    /// Sends a packet of this process, such as a reset, immediately and around the queue.
    pub async fn send_at_once(&self, kind: TrafficKind, buf: Vec<u8>, to: SocketAddrV4) {
        self.traffic.sent_unqueued(kind, buf.len());
        if !sockets::send(&self.socket, buf, to).await {
            self.counters.failed.inc();
        }
    }

    /// Sends the queued packets that the link can take now.
    pub async fn release(&mut self, now: Timestamp) {
        self.timer_running = false;
        self.charge_bypassing();
        while let Some(departure) = self.queue.take(now) {
            self.transmit(departure).await;
        }
        self.arm_timer();
    }

    async fn transmit(&self, departure: OutboundDatagram) {
        if !sockets::send(&self.socket, departure.buf, departure.to).await {
            self.counters.failed.inc();
        }
    }

    fn count_waiting(&mut self) {
        self.counters.waited.inc();
        self.arm_timer();
    }

    fn charge_bypassing(&mut self) {
        let unqueued_bytes = self.traffic.unqueued_bytes();
        self.queue.charge(unqueued_bytes - self.charged);
        self.charged = unqueued_bytes;
    }

    /// Starts the timer for the next packet if one is queued and no timer is running.
    fn arm_timer(&mut self) {
        let delay = self.queue.delay();
        self.counters.delay_ms.set(i64::try_from(delay.as_millis()).unwrap_or(i64::MAX));
        let Some(next_in) = self.queue.next_in().filter(|_| !self.timer_running) else { return };
        self.timer_running = true;
        let link_free = self.link_free.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(next_in).await;
            // Fails only if the receiving task has ended.
            let _ = link_free.send(());
        })
        .detach();
    }
}

/// Returns the traffic kind that a flow's packet is counted under.
#[must_use]
pub fn traffic_kind(seg: &Segment) -> TrafficKind {
    match seg.kind {
        SegmentKind::Open { .. } | SegmentKind::Accept => TrafficKind::Opening,
        _ if seg.len > 0 => TrafficKind::Data,
        SegmentKind::Data | SegmentKind::Finish | SegmentKind::Reset => {
            TrafficKind::Acknowledgement
        }
    }
}
