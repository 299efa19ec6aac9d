//! The task that moves packets between the agent's data socket and its QUIC endpoint.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use dillmill_core::{FlowId, ServiceName, Timestamp};
use dillmill_node::{NodeHandle, View, with_random_index};
use dillmill_wire::Frame;

use crate::inbound::FirstPackets;
use crate::metrics::AgentMetrics;
use crate::quic_socket::{Outbound, QuicSocket};
use crate::{Inbound, InboundTable, ReturnPaths};

const MAX_DATAGRAM: usize = 64 * 1024;
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Owner of the data socket and of the state by which packets are routed.
pub(crate) struct DataTask {
    pub(crate) handle: NodeHandle,
    pub(crate) metrics: AgentMetrics,
    pub(crate) service: ServiceName,
    pub(crate) data: SocketAddrV4,
    pub(crate) socket: UdpSocket,
    pub(crate) quic: Arc<QuicSocket>,
    pub(crate) out: flume::Receiver<Outbound>,
}

enum Event {
    Received { from: SocketAddr, bytes: Vec<u8> },
    Send(Outbound),
}

struct State {
    table: Option<InboundTable>,
    balancers: Vec<SocketAddr>,
    first_packets: FirstPackets,
    paths: ReturnPaths,
    next_expire: Timestamp,
}

impl DataTask {
    pub(crate) async fn run(self) {
        let (tx, rx) = flume::unbounded();
        compio::runtime::spawn(receive_datagrams(self.socket.clone(), tx.clone())).detach();
        compio::runtime::spawn(forward_outbound(self.out.clone(), tx)).detach();
        let views = self.handle.views();
        let mut state = State {
            table: None,
            balancers: Vec::new(),
            first_packets: FirstPackets::default(),
            paths: ReturnPaths::default(),
            next_expire: Timestamp::default(),
        };
        while let Ok(event) = rx.recv_async().await {
            let now = self.handle.clock.now();
            if let Some(view) = views.newer() {
                self.apply_view(&view, &mut state);
            }
            match event {
                Event::Received { from, bytes } => {
                    self.received(from, &bytes, &mut state, now).await;
                }
                Event::Send(out) => self.send(&out, &state, now).await,
            }
            if now >= state.next_expire {
                state.next_expire = now + EXPIRE_INTERVAL;
                state.first_packets.expire(now);
                state.paths.expire(now);
            }
        }
    }

    fn apply_view(&self, view: &View, state: &mut State) {
        state.balancers = view.serving_balancers().map(|m| SocketAddr::V4(m.data)).collect();
        state.table = view.settings.as_ref().and_then(|settings| {
            let number = settings.service(&self.service)?.node.number;
            Some(InboundTable {
                own: FlowId { service: number, agent: self.data },
                keys: settings.flow_keys().clone(),
                homes: view.home_table(&self.service),
            })
        });
    }

    async fn received(&self, from: SocketAddr, bytes: &[u8], state: &mut State, now: Timestamp) {
        let Some(table) = &state.table else { return };
        let Ok((frame, packet)) = Frame::decode(bytes) else { return };
        let balancer = frame.balancer.unwrap_or(from);
        match table.classify(frame.service, frame.hops, packet, &mut state.first_packets, now) {
            Inbound::Deliver => {
                self.metrics.delivered.inc();
                state.paths.record(frame.caller, balancer, now);
                self.quic.deliver(frame.caller, packet);
            }
            Inbound::Pass(to) => {
                self.metrics.passed.inc();
                let hops = frame.hops + 1;
                let frame = Frame { hops, balancer: Some(balancer), ..frame };
                self.send_frame(frame, packet, SocketAddr::V4(to)).await;
            }
            Inbound::OtherService => self.metrics.other_service.inc(),
            Inbound::Foreign => self.metrics.foreign.inc(),
        }
    }

    async fn send(&self, out: &Outbound, state: &State, now: Timestamp) {
        let Some(table) = &state.table else { return };
        let balancer = with_random_index(|random_index| {
            state.paths.choose(out.caller, &state.balancers, now, random_index)
        });
        let Some(balancer) = balancer else { return };
        let frame =
            Frame { service: table.own.service, caller: out.caller, hops: 0, balancer: None };
        self.send_frame(frame, &out.packet, balancer).await;
    }

    async fn send_frame(&self, frame: Frame, packet: &[u8], to: SocketAddr) {
        let mut bytes = Vec::with_capacity(packet.len() + dillmill_wire::frame::MAX_FRAME_LEN);
        frame.encode(packet, &mut bytes);
        // A packet that cannot be sent counts as lost; QUIC retransmits what it held.
        let _ = self.socket.send_to(bytes, to).await;
    }
}

async fn receive_datagrams(socket: UdpSocket, tx: flume::Sender<Event>) {
    let mut buf = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buf.clear();
        let BufResult(outcome, filled) = socket.recv_from(buf).await;
        buf = filled;
        let Ok((n, from)) = outcome else { continue };
        if tx.send(Event::Received { from, bytes: buf[..n].to_vec() }).is_err() {
            return;
        }
    }
}

async fn forward_outbound(out: flume::Receiver<Outbound>, tx: flume::Sender<Event>) {
    while let Ok(packet) = out.recv_async().await {
        if tx.send(Event::Send(packet)).is_err() {
            return;
        }
    }
}
