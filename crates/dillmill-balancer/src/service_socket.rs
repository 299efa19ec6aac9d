//! Task that owns the socket of one service and forwards its packets.

use std::net::{SocketAddr, SocketAddrV4};

use compio::buf::BufResult;
use compio::net::UdpSocket;
use dillmill_core::ServiceName;
use dillmill_node::{View, ViewReceiver};
use dillmill_wire::Frame;

use crate::balancer::BalancerMetrics;
use crate::{Route, ServiceRouter};

const MAX_DATAGRAM: usize = 64 * 1024;

/// Forwards datagrams of callers to agents until the task is dropped.
pub(crate) struct ServiceSocket {
    pub(crate) name: ServiceName,
    pub(crate) socket: UdpSocket,
    pub(crate) data: UdpSocket,
    pub(crate) views: ViewReceiver,
    pub(crate) metrics: BalancerMetrics,
}

impl ServiceSocket {
    pub(crate) async fn run(self) {
        let mut table = None;
        let mut buf = Vec::with_capacity(MAX_DATAGRAM);
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        loop {
            buf.clear();
            let BufResult(outcome, filled) = self.socket.recv_from(buf).await;
            buf = filled;
            let Ok((n, caller)) = outcome else { continue };
            if let Some(view) = self.views.newer() {
                table = route_table(&view, &self.name);
            }
            let Some(table) = &table else { continue };
            let agent = match table.route(&buf[..n]) {
                Route::Known(agent) => agent,
                Route::First(agent) => {
                    self.metrics.first_packets.inc();
                    agent
                }
                Route::Drop(reason) => {
                    self.metrics.dropped(reason).inc();
                    continue;
                }
            };
            out = self.forward(table, caller, agent, &buf[..n], out).await;
        }
    }

    async fn forward(
        &self,
        table: &ServiceRouter,
        caller: SocketAddr,
        agent: SocketAddrV4,
        packet: &[u8],
        mut out: Vec<u8>,
    ) -> Vec<u8> {
        out.clear();
        let frame = Frame { service: table.service, caller, hops: 0, balancer: None };
        frame.encode(packet, &mut out);
        // A packet that can't be sent counts as lost: QUIC retransmits its contents.
        let BufResult(_, out) = self.data.send_to(out, SocketAddr::V4(agent)).await;
        self.metrics.forwarded.inc();
        out
    }
}

fn route_table(view: &View, name: &ServiceName) -> Option<ServiceRouter> {
    let settings = view.settings.as_ref()?;
    let service = settings.service(name)?;
    Some(ServiceRouter {
        service: service.node.number,
        keys: settings.flow_keys().clone(),
        homes: view.home_table(name),
    })
}
