//! Starts and stops a balancer process, and binds a socket for each service.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use dillmill_core::{
    EventKind, FlowCoverage, MemberStatus, Role, ServiceName, ServiceNumber, Weight,
};
use dillmill_node::{
    Metrics, Node, NodeError, NodeHandle, NodeSpec, ProcessConfig, SettingsSource, View,
};
use dillmill_wire::Frame;
use error_stack::Report;
use prometheus::IntCounter;

use crate::DropReason;
use crate::service_socket::ServiceSocket;

const MAX_DATAGRAM: usize = 64 * 1024;
const IDLE_BEFORE_STOP: Duration = Duration::from_secs(1);
const STOP_LIMIT: Duration = Duration::from_mins(1);
const MIN_STOP_TIME: Duration = Duration::from_secs(3);

/// Metrics of a balancer.
#[derive(Debug, Clone)]
pub struct BalancerMetrics {
    /// Packets forwarded to agents.
    pub forwarded: IntCounter,
    /// Forwarded packets that may start a flow.
    pub first_packets: IntCounter,
    /// Packets returned to callers.
    pub returned: IntCounter,
    dropped: [IntCounter; DropReason::ALL.len()],
}

impl BalancerMetrics {
    fn new(metrics: &Metrics) -> Result<Self, NodeError> {
        let drop_counter =
            |reason: DropReason| metrics.counter(reason.metric(), &reason.to_string());
        let [a, b, c, d] = DropReason::ALL;
        Ok(Self {
            forwarded: metrics.counter("dillmill_forwarded", "Packets forwarded to agents")?,
            first_packets: metrics
                .counter("dillmill_first_packets", "Forwarded packets that may start a flow")?,
            returned: metrics.counter("dillmill_returned", "Packets returned to callers")?,
            dropped: [drop_counter(a)?, drop_counter(b)?, drop_counter(c)?, drop_counter(d)?],
        })
    }

    /// Returns the counter of packets dropped for `reason`.
    #[must_use]
    pub fn dropped(&self, reason: DropReason) -> &IntCounter {
        let i = DropReason::ALL.iter().position(|r| *r == reason).unwrap_or(0);
        &self.dropped[i]
    }
}

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    /// Handle of the process's control task.
    pub node: Node,
    metrics: BalancerMetrics,
}

struct BoundService {
    address: SocketAddrV4,
    number: ServiceNumber,
    _task: JoinHandle<()>,
}

/// Sets or removes the socket from which answers of a service are sent.
struct ReturnSocket {
    service: ServiceNumber,
    socket: Option<UdpSocket>,
}

impl Balancer {
    /// Binds the balancer's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn spawn(config: &ProcessConfig) -> Result<Self, Report<NodeError>> {
        let spec = NodeSpec {
            role: Role::Balancer,
            status: MemberStatus::Serving,
            weight: Weight(100),
            coverage: FlowCoverage::default(),
            settings: SettingsSource::Tree,
            announce_delay: Duration::ZERO,
        };
        let node = Node::spawn(config, spec).await?;
        let metrics = BalancerMetrics::new(&node.handle.metrics)?;
        let data =
            UdpSocket::bind(config.data).await.map_err(NodeError::io("bind data", config.data))?;
        let (tx, rx) = flume::unbounded();
        compio::runtime::spawn(return_packets(data.clone(), rx, metrics.clone())).detach();
        let bind = config.balancer.as_ref().and_then(|balancer| balancer.bind);
        let sockets = ServiceSockets {
            handle: node.handle.clone(),
            bind,
            data,
            returns: tx,
            metrics: metrics.clone(),
        };
        compio::runtime::spawn(sockets.run()).detach();
        Ok(Self { node, metrics })
    }

    /// Stops gracefully: announces the stop, forwards until no more packets come, then ends.
    pub async fn stop(self) {
        let handle = &self.node.handle;
        handle.leave();
        let started = handle.clock.now();
        compio::time::sleep(MIN_STOP_TIME).await;
        loop {
            let before = self.metrics.forwarded.get();
            compio::time::sleep(IDLE_BEFORE_STOP).await;
            let idle = self.metrics.forwarded.get() == before;
            if idle || handle.clock.now().since(started) >= STOP_LIMIT {
                let cause = if idle { "no more packets" } else { "limit reached" };
                handle.journal.record(EventKind::Process, "balancer stopped", cause);
                break;
            }
        }
        handle.announce_stopped().await;
    }
}

/// Keeps one bound socket for each service in the settings.
struct ServiceSockets {
    handle: NodeHandle,
    bind: Option<Ipv4Addr>,
    data: UdpSocket,
    returns: flume::Sender<ReturnSocket>,
    metrics: BalancerMetrics,
}

impl ServiceSockets {
    async fn run(self) {
        let mut bound: BTreeMap<ServiceName, BoundService> = BTreeMap::new();
        let views = self.handle.views();
        while let Some(view) = views.next().await {
            self.reconcile(&view, &mut bound).await;
        }
    }

    async fn reconcile(&self, view: &Arc<View>, bound: &mut BTreeMap<ServiceName, BoundService>) {
        let Some(settings) = &view.settings else { return };
        bound.retain(|name, b| {
            let keep = settings.service(name).is_some_and(|service| {
                self.listen_address(service.node.address) == b.address
                    && service.node.number == b.number
            });
            if !keep {
                let _ = self.returns.send(ReturnSocket { service: b.number, socket: None });
                let what = format!("service {name} no longer on {}", b.address);
                self.handle.journal.record(EventKind::Settings, what, "settings changed");
            }
            keep
        });
        for service in settings.services() {
            if !bound.contains_key(&service.name) {
                let address = self.listen_address(service.node.address);
                if let Some(b) = self.open(&service.name, service.node.number, address).await {
                    bound.insert(service.name.clone(), b);
                }
            }
        }
    }

    fn listen_address(&self, address: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(self.bind.unwrap_or(*address.ip()), address.port())
    }

    async fn open(
        &self,
        name: &ServiceName,
        number: ServiceNumber,
        address: SocketAddrV4,
    ) -> Option<BoundService> {
        let socket = match UdpSocket::bind(address).await {
            Ok(socket) => socket,
            Err(e) => {
                let what = format!("service {name} can't be bound on {address}");
                self.handle.journal.record(EventKind::Settings, what, e.to_string());
                return None;
            }
        };
        let what = format!("service {name} on {address}");
        self.handle.journal.record(EventKind::Settings, what, "settings in force");
        let _ = self.returns.send(ReturnSocket { service: number, socket: Some(socket.clone()) });
        let task = ServiceSocket {
            name: name.clone(),
            socket,
            data: self.data.clone(),
            views: self.handle.views(),
            metrics: self.metrics.clone(),
        };
        let task = compio::runtime::spawn(task.run());
        Some(BoundService { address, number, _task: task })
    }
}

/// Sends answers of agents to callers, each from the address of its service.
async fn return_packets(
    data: UdpSocket,
    sockets: flume::Receiver<ReturnSocket>,
    metrics: BalancerMetrics,
) {
    let mut by_service: BTreeMap<ServiceNumber, UdpSocket> = BTreeMap::new();
    let mut buf = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buf.clear();
        let BufResult(outcome, filled) = data.recv_from(buf).await;
        buf = filled;
        for change in sockets.drain() {
            match change.socket {
                Some(socket) => by_service.insert(change.service, socket),
                None => by_service.remove(&change.service),
            };
        }
        let Ok((n, _agent)) = outcome else { continue };
        let Ok((frame, packet)) = Frame::decode(&buf[..n]) else { continue };
        let Some(socket) = by_service.get(&frame.service) else { continue };
        let caller: SocketAddr = frame.caller;
        let packet = packet.to_vec();
        let BufResult(_, _) = socket.send_to(packet, caller).await;
        metrics.returned.inc();
    }
}
