//! Starts the tasks that every process has, such as the control task and the administration page.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::{TcpListener, TcpStream, UdpSocket};
use dillmill_core::{EventKind, FlowCoverage, Member, MemberStatus, ProcessId, Role, Weight};
use dillmill_platform::Store;
use dillmill_store::SettingsStore;
use dillmill_wire::{ClusterKey, StreamMessage};
use error_stack::Report;
use rand::Rng;

use crate::control::{Control, Input};
use crate::sync_limit::SyncLimit;
use crate::{
    Clock, ConfirmedAt, Framed, IncomingForward, Journal, Metrics, NodeError, NodeHandle,
    ProcessConfig, TrafficKind, admin, logging, store_task,
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const MAX_DATAGRAM: usize = 64 * 1024;
const DEFAULT_ADMIN_ADDRESS: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0);

/// Properties of a role that a process starts with.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Role of the process.
    pub role: Role,
    /// Membership status at start: a process that is not ready yet starts as leaving.
    pub status: MemberStatus,
    /// Share of new flows; for an agent of packet flows, the number of its target's slots, 0 while unknown.
    pub weight: Weight,
    /// How much an agent of packet flows knows about its target's flows.
    pub coverage: FlowCoverage,
    /// Source of the process's settings.
    pub settings: SettingsSource,
    /// How long the process waits before it announces itself, unless it changes its record earlier. Each
    /// version of a record is sent to all processes, so the wait saves one version.
    pub announce_delay: Duration,
}

/// Source of a process's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsSource {
    /// The settings tree of HTTP/3 services, whose changes are a log in the platform's store.
    Tree,
    /// The route tree; the role reads it and calls [`NodeHandle::put_routes`].
    Routes,
}

/// A process with its running control task.
#[derive(Debug)]
pub struct Node {
    /// Handle to the control task.
    pub handle: NodeHandle,
    /// Client of the platform's store.
    pub store: Store,
    /// Bound address of the administration page.
    pub admin: SocketAddr,
}

impl Node {
    /// Binds the process's control and administration addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, the cluster key is invalid, a metric can't be registered, or the
    /// HTTP client for the platform can't be created.
    pub async fn spawn(config: &ProcessConfig, spec: NodeSpec) -> Result<Self, Report<NodeError>> {
        logging::start(config.log);
        let clock = Clock::start();
        let started = clock.now();
        let metrics = Metrics::new()?;
        let key = config.key()?;
        let control = config.control;
        let socket =
            UdpSocket::bind(control).await.map_err(NodeError::io("bind control UDP", control))?;
        let listener =
            TcpListener::bind(control).await.map_err(NodeError::io("bind control TCP", control))?;
        let admin_addr = config.admin.unwrap_or(DEFAULT_ADMIN_ADDRESS);
        let admin_listener = TcpListener::bind(admin_addr)
            .await
            .map_err(NodeError::io("bind administration", admin_addr))?;
        let admin = admin_listener
            .local_addr()
            .map_err(NodeError::io("bind administration", admin_addr))?;
        let store = Store::new(&config.platform)
            .map_err(|e| NodeError::new("reach", &config.platform, e.current_context()))?;

        let (tx, rx) = flume::unbounded();
        let journal = Journal { tx: tx.clone(), clock, vm: config.vm.clone() };
        let process = ProcessId(rand::rng().random());
        let handle = NodeHandle {
            tx: tx.clone(),
            process,
            started,
            clock,
            metrics,
            journal,
            key,
            settings_confirmed: ConfirmedAt::new(started),
        };
        let me = Member {
            started,
            weight: spec.weight,
            status: spec.status,
            coverage: spec.coverage,
            ..Member::new(
                process,
                config.vm.clone(),
                config.zone.clone(),
                spec.role,
                config.data,
                control,
            )
        };
        let what = format!("{} {} started", me.role, me.vm);
        handle.journal.record(EventKind::Process, what, format!("process {process}"));

        compio::runtime::spawn(receive(socket.clone(), handle.clone())).detach();
        compio::runtime::spawn(accept(listener, handle.clone())).detach();
        compio::runtime::spawn(tick(tx)).detach();
        compio::runtime::spawn(admin::serve(admin_listener, handle.clone())).detach();
        if spec.settings == SettingsSource::Tree {
            compio::runtime::spawn(store_task::run(
                SettingsStore::new(store.clone()),
                handle.clone(),
                config.watchers,
                !config.peers.is_empty(),
            ))
            .detach();
        }
        let announce_after = started + spec.announce_delay;
        let peers = config.peers.clone();
        let control =
            Control::new(handle.clone(), socket, me, peers, spec.settings, announce_after);
        compio::runtime::spawn(control.run(rx)).detach();
        Ok(Self { handle, store, admin })
    }
}

async fn tick(tx: flume::Sender<Input>) {
    while tx.send(Input::Tick).is_ok() {
        compio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn receive(socket: UdpSocket, handle: NodeHandle) {
    let mut buf = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buf.clear();
        let BufResult(outcome, filled) = socket.recv_from(buf).await;
        buf = filled;
        let Ok((n, SocketAddr::V4(from))) = outcome else { continue };
        handle.metrics.control_received.inc_by(n as u64);
        match handle.key.open(&buf[..n]) {
            Ok(message) => {
                handle.metrics.traffic.received(TrafficKind::from(&message), n);
                if handle.tx.send(Input::Datagram { from, message }).is_err() {
                    return;
                }
            }
            Err(_) => handle.metrics.control_forged.inc(),
        }
    }
}

async fn accept(listener: TcpListener, handle: NodeHandle) {
    let syncs = SyncLimit::default();
    loop {
        let Ok((stream, peer)) = listener.accept().await else { continue };
        compio::runtime::spawn(serve_stream(stream, peer, handle.clone(), syncs.clone())).detach();
    }
}

async fn serve_stream(stream: TcpStream, peer: SocketAddr, handle: NodeHandle, syncs: SyncLimit) {
    let _ = stream.set_nodelay(true);
    let key: ClusterKey = handle.key.clone();
    let mut framed =
        Framed::new(stream, key, peer.to_string()).with_traffic(&handle.metrics.traffic);
    while let Ok(message) = framed.receive().await {
        if let StreamMessage::Request(request) = message {
            let forward = IncomingForward { request: *request, framed };
            let _ = handle.tx.send(Input::IncomingForward(Box::new(forward)));
            return;
        }
        let permit = syncs.acquire();
        if permit.is_none() && matches!(message, StreamMessage::Sync { .. }) {
            handle.metrics.syncs_refused.inc();
            return;
        }
        let (tx, rx) = flume::bounded(1);
        if handle.tx.send(Input::Stream { message, tx }).is_err() {
            return;
        }
        let Ok(response) = rx.recv_async().await else { return };
        if framed.send(&response).await.is_err() {
            return;
        }
    }
}
