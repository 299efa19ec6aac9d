//! Starts the parts that every process has.

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
    Clock, Framed, IncomingForward, Journal, Metrics, NodeError, NodeHandle, ProcessConfig,
    TrafficKind, admin, logging, store_task,
};

const TICK: Duration = Duration::from_millis(50);
const MAX_DATAGRAM: usize = 64 * 1024;
const ADMIN_DEFAULT: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0);

/// What a role says of itself at start.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// What the process does.
    pub role: Role,
    /// Standing at start: a process that is not ready yet starts as leaving.
    pub status: MemberStatus,
    /// Share of new flows; for an agent of packet flows the slots of its target, 0 while unknown.
    pub weight: Weight,
    /// What an agent of packet flows knows of its target's flows.
    pub coverage: FlowCoverage,
    /// What the process is configured by.
    pub settings: SettingsSource,
    /// How long it waits before it makes itself known, unless it changes its record: each version of a record goes to
    /// all processes.
    pub announce_delay: Duration,
}

/// What a process is configured by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsSource {
    /// The tree of HTTP/3 services, whose changes are a log in the store.
    Tree,
    /// The tree of routes; its role reads it and calls [`NodeHandle::put_routes`].
    Routes,
}

/// A running control task.
#[derive(Debug)]
pub struct Node {
    /// How to reach it.
    pub handle: NodeHandle,
    /// The platform's store.
    pub store: Store,
    /// Address of the administration page.
    pub admin: SocketAddr,
}

impl Node {
    /// Binds the process's control and administration addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
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
        let admin_addr = config.admin.unwrap_or(ADMIN_DEFAULT);
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
        let handle = NodeHandle { tx: tx.clone(), process, started, clock, metrics, journal, key };
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
        let quiet_until = started + spec.announce_delay;
        let peers = config.peers.clone();
        let control = Control::new(handle.clone(), socket, me, peers, spec.settings, quiet_until);
        compio::runtime::spawn(control.run(rx)).detach();
        Ok(Self { handle, store, admin })
    }
}

async fn tick(tx: flume::Sender<Input>) {
    while tx.send(Input::Tick).is_ok() {
        compio::time::sleep(TICK).await;
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
    let mut framed = Framed::new(stream, key, peer.to_string()).counted(&handle.metrics.traffic);
    while let Ok(message) = framed.receive().await {
        if let StreamMessage::Request(request) = message {
            let handed = IncomingForward { request: *request, framed };
            let _ = handle.tx.send(Input::IncomingForward(Box::new(handed)));
            return;
        }
        let turn = syncs.take();
        if turn.is_none() && matches!(message, StreamMessage::Sync { .. }) {
            handle.metrics.syncs_refused.inc();
            return;
        }
        let (tx, rx) = flume::bounded(1);
        if handle.tx.send(Input::Stream { message, tx }).is_err() {
            return;
        }
        let Ok(answer) = rx.recv_async().await else { return };
        if framed.send(&answer).await.is_err() {
            return;
        }
    }
}
