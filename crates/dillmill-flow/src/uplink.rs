//! The way out of a VM: packets of flows wait here for its link.

use std::net::SocketAddrV4;

use compio::net::UdpSocket;
use dillmill_core::{
    Admission, Departure, FlowTuple, LinkQueue, LinkRate, Segment, SegmentKind, Timestamp,
};
use dillmill_node::{Metrics, NodeError, Traffic, TrafficKind};
use prometheus::{IntCounter, IntGauge};

use crate::sockets;

/// Sends the packets of flows, no faster than the VM's link takes them.
#[derive(Debug)]
pub struct Uplink {
    socket: UdpSocket,
    queue: LinkQueue,
    traffic: Traffic,
    /// Bytes sent past the queue that it has been charged with.
    charged: u64,
    link_free: flume::Sender<()>,
    /// A timer for the next packet runs.
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
    /// Creates the way out through `socket` over a link of `rate`, and what tells when [`Uplink::release`] is due.
    ///
    /// # Errors
    ///
    /// Fails if the name of a metric is taken.
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

    /// Sends a packet, or lets it wait for the link. Returns the flow that lost a packet, if too much waits.
    pub async fn send(
        &mut self,
        kind: TrafficKind,
        departure: Departure,
        now: Timestamp,
    ) -> Option<FlowTuple> {
        let len = departure.buf.len();
        self.charge();
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

    /// Returns the bytes that wait.
    #[must_use]
    pub fn queued(&self) -> i64 {
        self.queue.bytes()
    }

    /// Sends a packet of our own at once, whatever waits.
    pub async fn send_at_once(&self, kind: TrafficKind, buf: Vec<u8>, to: SocketAddrV4) {
        self.traffic.sent_at_once(kind, buf.len());
        if !sockets::send(&self.socket, buf, to).await {
            self.counters.failed.inc();
        }
    }

    /// Sends what the link takes now.
    pub async fn release(&mut self, now: Timestamp) {
        self.timer_running = false;
        self.charge();
        while let Some(departure) = self.queue.take(now) {
            self.transmit(departure).await;
        }
        self.arm_timer();
    }

    async fn transmit(&self, departure: Departure) {
        if !sockets::send(&self.socket, departure.buf, departure.to).await {
            self.counters.failed.inc();
        }
    }

    fn count_waiting(&mut self) {
        self.counters.waited.inc();
        self.arm_timer();
    }

    fn charge(&mut self) {
        let at_once = self.traffic.at_once();
        self.queue.charge(at_once - self.charged);
        self.charged = at_once;
    }

    /// Sets the timer for the next packet, if one waits and no timer runs.
    fn arm_timer(&mut self) {
        let delay = self.queue.delay();
        self.counters.delay_ms.set(i64::try_from(delay.as_millis()).unwrap_or(i64::MAX));
        let Some(next_in) = self.queue.next_in().filter(|_| !self.timer_running) else { return };
        self.timer_running = true;
        let link_free = self.link_free.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(next_in).await;
            // Fails only when the task has ended.
            let _ = link_free.send(());
        })
        .detach();
    }
}

/// Returns what a packet of an open or opening flow counts as.
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
