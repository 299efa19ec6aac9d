//! Starts and stops an agent, applies changes of its settings and probes its target.

use std::sync::Arc;
use std::time::Duration;

use compio::net::{TcpStream, UdpSocket};
use dillmill_core::claims::RingMember;
use dillmill_core::{EventKind, FlowCoverage, FlowId, MemberStatus, Role, ServiceName, Weight};
use dillmill_node::{
    Node, NodeError, NodeHandle, NodeSpec, ProcessConfig, RoleChannels, SettingsSource, View,
    ViewReceiver, config::AgentConfig,
};
use dillmill_settings::{CompiledTree, Service, Tls};
use dillmill_store::RingStore;
use error_stack::Report;

use crate::admission::AdmissionController;
use crate::chain::{Closed, closed};
use crate::connection::StopSignals;
use crate::context::{AgentContext, SharedState};
use crate::data_task::DataTask;
use crate::endpoint::{self, FlowIdGenerator};
use crate::ledger::Ledger;
use crate::metrics::AgentMetrics;
use crate::quic_socket::QuicSocket;
use crate::target::Target;
use crate::{claiming, connection, forwarding, ring_task};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const PROBE_FAILURES: u32 = 2;
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_secs(2);
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    /// The node that runs the agent's control task.
    pub node: Node,
    cx: AgentContext,
    rings: RingStore,
    endpoint: quinn::Endpoint,
    /// Dropped to tell callers to move to another agent.
    migrate_tx: flume::Sender<()>,
    /// Dropped to refuse new flows from then on.
    refuse_tx: flume::Sender<()>,
}

impl Agent {
    /// Binds the agent's addresses, waits for settings and starts its tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the service's TLS settings are invalid.
    pub async fn spawn(
        config: &ProcessConfig,
        agent: &AgentConfig,
    ) -> Result<Self, Report<NodeError>> {
        let service_name = agent.service.clone();
        let role = Role::Agent(service_name.clone());
        let node = Node::spawn(
            config,
            NodeSpec {
                role,
                status: MemberStatus::Leaving,
                weight: Weight(100),
                coverage: FlowCoverage::default(),
                settings: SettingsSource::Tree,
                announce_delay: Duration::ZERO,
            },
        )
        .await?;
        let metrics = AgentMetrics::new(&node.handle.metrics)?;
        let socket =
            UdpSocket::bind(config.data).await.map_err(NodeError::io("bind data", config.data))?;
        let views = node.handle.views();
        let (view, settings, service) = first_settings(&views, &service_name).await?;

        let (out_tx, out) = flume::unbounded();
        let quic = QuicSocket::new(std::net::SocketAddr::V4(config.data), out_tx);
        let own = FlowId { service: service.node.number, agent: config.data };
        let ids = FlowIdGenerator::new(own, settings.flow_keys().clone());
        let endpoint = endpoint::open(quic.clone(), config.data, &settings, &service, &ids)?;

        let me = RingMember { process: node.handle.process, control: config.control };
        let admission =
            AdmissionController::spawn(node.handle.clone(), service_name.clone(), metrics.clone());
        let window = service.operation.claim_window.duration();
        let ledger = Ledger::spawn(me, window, node.handle.clock, metrics.clone());
        let target = Target::new(agent.target)?;
        let cx = AgentContext {
            node: node.handle.clone(),
            me,
            service: service_name.clone(),
            admission,
            ledger,
            target,
            metrics: metrics.clone(),
            shared: SharedState::new(view),
        };
        let data = DataTask {
            handle: node.handle.clone(),
            metrics,
            service: service_name.clone(),
            data: config.data,
            socket,
            quic,
            out,
        };
        compio::runtime::spawn(data.run()).detach();
        let rings = RingStore::new(node.store.clone(), &service_name);
        let (migrate_tx, refuse_tx) = start_tasks(&cx, &rings, &endpoint);
        let settings_follower = SettingsFollower {
            cx: cx.clone(),
            views,
            endpoint: endpoint.clone(),
            ids,
            tls: service.node.tls,
        };
        compio::runtime::spawn(settings_follower.run(config.data)).detach();
        compio::runtime::spawn(probe_target(cx.clone())).detach();
        Ok(Self { node, cx, rings, endpoint, migrate_tx, refuse_tx })
    }

    /// Performs a planned stop.
    ///
    /// The agent takes no new work, lets requests and flows end within the drain limit, and hands its claim
    /// records over to other agents.
    pub async fn stop(self) {
        let handle: NodeHandle = self.node.handle.clone();
        let started = handle.clock.now();
        self.cx.set_stopping();
        handle.leave();
        drop(self.migrate_tx);
        let limit = self
            .cx
            .view()
            .settings
            .as_ref()
            .and_then(|s| s.service(&self.cx.service))
            .map_or(Duration::from_mins(1), |s| s.operation.drain.duration());
        // Other processes send new work until they learn that this agent leaves; it is accepted until then.
        compio::time::sleep(LEAVE_PROPAGATION_DELAY.min(limit)).await;
        drop(self.refuse_tx);
        self.cx.admission.close();
        ring_task::leave(&self.cx, &self.rings).await;
        let mut finished = false;
        while !finished && handle.clock.now().since(started) < limit {
            compio::time::sleep(STOP_POLL_INTERVAL).await;
            // Requests that run at a sibling count too, as their callers' flows end at this agent.
            let open = self.cx.metrics.open_requests.get();
            finished = self.cx.admission.active_requests().await == 0 && open == 0;
        }
        let handed = ring_task::hand_over(&self.cx, &self.rings).await;
        let cause = format!(
            "{}; claims {}",
            if finished { "all work done" } else { "drain limit reached" },
            if handed { "passed on" } else { "not passed on" },
        );
        handle.journal.record(EventKind::Process, "agent stopped", cause);
        self.endpoint.close(quinn::VarInt::from_u32(0x100), b"stopped as planned");
        let _ = compio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
        handle.announce_stopped().await;
    }
}

type FirstSettings = (Arc<View>, Arc<CompiledTree>, Service);

/// Waits until the settings contain the agent's service.
async fn first_settings(
    views: &ViewReceiver,
    name: &ServiceName,
) -> Result<FirstSettings, NodeError> {
    loop {
        let view = views.next().await;
        let view =
            view.ok_or_else(|| NodeError::new("wait for settings of", name, "process ends"))?;
        let Some(settings) = view.settings.clone() else { continue };
        if let Some(service) = settings.service(name).cloned() {
            return Ok((view, settings, service));
        }
    }
}

fn start_tasks(
    cx: &AgentContext,
    rings: &RingStore,
    endpoint: &quinn::Endpoint,
) -> (flume::Sender<()>, flume::Sender<()>) {
    let (peer_requests_tx, peer_requests) = flume::unbounded();
    let (loads_tx, loads) = flume::unbounded();
    let (handed_tx, handed) = flume::unbounded();
    cx.node.set_role_channels(RoleChannels {
        peer_requests: peer_requests_tx,
        loads: loads_tx,
        handed: handed_tx,
        ..RoleChannels::closed()
    });
    cx.admission.forward_load_reports(loads);
    compio::runtime::spawn(claiming::serve_requests(cx.clone(), peer_requests)).detach();
    compio::runtime::spawn(forwarding::serve_all(cx.clone(), handed)).detach();
    compio::runtime::spawn(ring_task::run(cx.clone(), rings.clone())).detach();
    let (migrate_tx, migrate) = drop_signal();
    let (refuse_tx, refuse) = drop_signal();
    let accepting =
        connection::accept_all(cx.clone(), endpoint.clone(), StopSignals { migrate, refuse });
    compio::runtime::spawn(accepting).detach();
    (migrate_tx, refuse_tx)
}

/// Returns a sender, and a future that completes when the sender is dropped.
fn drop_signal() -> (flume::Sender<()>, Closed) {
    let (tx, rx) = flume::bounded::<()>(0);
    let dropped = closed(async move {
        let _ = rx.recv_async().await;
    });
    // A shared future makes progress only while it is polled.
    compio::runtime::spawn(dropped.clone()).detach();
    (tx, dropped)
}

/// Applies changes of the settings: the keys of connection ids, the TLS certificate and the claim window.
struct SettingsFollower {
    cx: AgentContext,
    views: ViewReceiver,
    endpoint: quinn::Endpoint,
    ids: FlowIdGenerator,
    tls: Tls,
}

impl SettingsFollower {
    async fn run(mut self, data: std::net::SocketAddrV4) {
        while let Some(view) = self.views.next().await {
            self.cx.set_view(view.clone());
            let Some(settings) = &view.settings else { continue };
            let Some(service) = settings.service(&self.cx.service) else { continue };
            let own = FlowId { service: service.node.number, agent: data };
            self.ids.set(own, settings.flow_keys().clone());
            self.cx.ledger.set_window(service.operation.claim_window.duration());
            if service.node.tls != self.tls {
                self.apply_tls(&service.node.tls);
            }
        }
    }

    fn apply_tls(&mut self, tls: &Tls) {
        match endpoint::server_config(tls) {
            Ok(config) => {
                self.endpoint.set_server_config(Some(config));
                self.tls = tls.clone();
                let what = "certificate replaced";
                self.cx.node.journal.record(EventKind::Settings, what, "settings changed");
            }
            Err(e) => {
                let what = "certificate not replaced";
                self.cx.node.journal.record(EventKind::Settings, what, e.to_string());
            }
        }
    }
}

/// Probes the target with connection attempts and takes new work only while it accepts them.
///
/// The target's own status pages are not used, as they lag or mislead.
async fn probe_target(cx: AgentContext) {
    let mut failures = PROBE_FAILURES;
    loop {
        let connecting = TcpStream::connect(cx.target.addr());
        let reachable = matches!(compio::time::timeout(PROBE_TIMEOUT, connecting).await, Ok(Ok(_)));
        let was = failures < PROBE_FAILURES;
        failures = if reachable { 0 } else { failures.saturating_add(1) };
        let is = failures < PROBE_FAILURES;
        if was != is {
            cx.admission.target_reachable(is);
            let what = if is { "target reachable" } else { "target not reachable" };
            cx.node.journal.record(EventKind::Member, what, "connection attempt");
            match (is, cx.is_stopping()) {
                (true, false) => cx.node.serve(),
                (false, false) => cx.node.leave(),
                (_, true) => {}
            }
        }
        compio::time::sleep(PROBE_INTERVAL).await;
    }
}
