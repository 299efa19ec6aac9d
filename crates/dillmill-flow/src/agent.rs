//! The agent's process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dillmill_core::{EventKind, Role, Weight};
use dillmill_node::{Inlets, Node, NodeError, NodeSpec, SettingsSource};
use dillmill_platform::ProcessSettings;
use error_stack::Report;

use crate::agent_task::{AgentTask, Announcement, StopRequest};
use crate::config::process_config;
use crate::flow_metrics::AgentCounters;
use crate::operator_watch::OperatorWatch;
use crate::session::Session;
use crate::{endpoints, presence, sockets};

/// A target that starts with its agent speaks within this time.
const FIRST_HEARTBEAT_WAIT: Duration = Duration::from_millis(100);
/// Part of the time for a stop that is left for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_secs(3);

/// A running agent of packet flows.
#[derive(Debug)]
pub struct FlowAgent {
    /// Its control task.
    pub node: Node,
    stop: flume::Sender<StopRequest>,
    /// How long a stop may take; a reload may change it.
    pub stop_limit: Rc<Cell<Duration>>,
}

impl FlowAgent {
    /// Binds the agent's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, or the settings name no target.
    pub async fn spawn(
        settings: &ProcessSettings,
        metrics_port: Option<u16>,
    ) -> Result<Self, Report<NodeError>> {
        let missing = |what: &'static str| {
            NodeError::new("start agent", &settings.vm, format!("the settings name no {what}"))
        };
        let service = settings.service.clone().ok_or_else(|| missing("service"))?;
        let target = settings.target.ok_or_else(|| missing("target"))?;
        let from_target = settings.from_target.ok_or_else(|| missing("address for its packets"))?;
        let config = process_config(settings, metrics_port);
        let presence = presence::probe(target, presence::FIRST_CONNECT_TIMEOUT).await;
        let announcement = Announcement::first(service.clone(), presence);
        let spec = NodeSpec {
            role: Role::Agent(service.clone()),
            status: announcement.status,
            weight: Weight(announcement.slots),
            coverage: announcement.coverage,
            settings: SettingsSource::Routes,
            quiet: FIRST_HEARTBEAT_WAIT,
        };
        let node = Node::spawn(&config, spec).await?;
        let counters = AgentCounters::new(&node.handle.metrics)?;
        let packets = sockets::bind("bind packets", settings.packets).await?;
        let outbound = sockets::bind("bind packets of the target", from_target).await?;
        let calls =
            endpoints::serve(settings.readiness.into_iter().chain(settings.heartbeats)).await?;
        let (loads_tx, _) = flume::bounded(1);
        let (flows_tx, flows) = flume::unbounded();
        node.handle.set_inlets(Inlets { loads: loads_tx, flows: flows_tx, ..Inlets::closed() });
        let (stop, stops) = flume::unbounded();
        let task = AgentTask::new(
            node.handle.clone(),
            packets,
            outbound,
            target,
            service,
            settings,
            counters,
        )?
        .presence(presence);
        compio::runtime::spawn(task.run(calls, flows, stops)).detach();
        Session::spawn(&node, config.control, settings);
        OperatorWatch::spawn(&node, settings);
        Ok(Self { node, stop, stop_limit: Rc::new(Cell::new(settings.stop_limit)) })
    }

    /// Stops as planned: takes no new flow, lets requests finish, then ends.
    pub async fn stop(self) {
        let handle = &self.node.handle;
        handle.journal.record(EventKind::Process, "agent stops", "asked to");
        let (done, finished) = flume::bounded(1);
        let limit = self.stop_limit.get().saturating_sub(STOP_MARGIN);
        let _ = self.stop.send(StopRequest { done });
        let target_gone = compio::time::timeout(limit, finished.recv_async()).await;
        let cause = if target_gone.is_ok() { "no more requests" } else { "limit reached" };
        handle.journal.record(EventKind::Process, "agent stopped", cause);
        // While the target lives, its flows do: the others must not take them for gone. The agent is
        // started again, or its silence tells.
        if matches!(target_gone, Ok(Ok(true))) {
            handle.stopped().await;
        }
    }
}
