//! Starts and stops an agent process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dillmill_core::{EventKind, Role, Weight};
use dillmill_node::{Node, NodeError, NodeSpec, RoleChannels, SettingsSource};
use dillmill_platform::ProcessSettings;
use error_stack::Report;

use crate::agent_task::{AgentTask, Announcement, StopRequest};
use crate::config::process_config;
use crate::flow_metrics::AgentCounters;
use crate::operator_watch::OperatorWatch;
use crate::session::Session;
use crate::{endpoints, presence, sockets};

/// Time within which a target that starts together with its agent sends its first heartbeat.
const FIRST_HEARTBEAT_WAIT: Duration = Duration::from_millis(100);
/// Part of the stop limit that is reserved for ending the process itself.
const STOP_MARGIN: Duration = Duration::from_secs(3);

/// A running agent of packet flows.
#[derive(Debug)]
pub struct FlowAgent {
    /// Handle of the process's control task.
    pub node: Node,
    stop: flume::Sender<StopRequest>,
    /// Longest time that a stop may take; reloading the settings file can change it.
    pub stop_limit: Rc<Cell<Duration>>,
}

impl FlowAgent {
    /// Binds the agent's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, or the settings specify no service, no target or no address
    /// for packets from the target.
    pub async fn spawn(
        settings: &ProcessSettings,
        metrics_port: Option<u16>,
    ) -> Result<Self, Report<NodeError>> {
        let missing = |what: &'static str| {
            NodeError::new("start agent", &settings.vm, format!("the settings specify no {what}"))
        };
        let service = settings.service.clone().ok_or_else(|| missing("service"))?;
        let target = settings.target.ok_or_else(|| missing("target"))?;
        let from_target =
            settings.from_target.ok_or_else(|| missing("address for packets from the target"))?;
        let config = process_config(settings, metrics_port);
        let presence = presence::probe(target, presence::FIRST_CONNECT_TIMEOUT).await;
        let announcement = Announcement::at_start(service.clone(), presence);
        let spec = NodeSpec {
            role: Role::Agent(service.clone()),
            status: announcement.status,
            weight: Weight(announcement.slots),
            coverage: announcement.coverage,
            settings: SettingsSource::Routes,
            announce_delay: FIRST_HEARTBEAT_WAIT,
        };
        let node = Node::spawn(&config, spec).await?;
        let counters = AgentCounters::new(&node.handle.metrics)?;
        let packets = sockets::bind("bind packets", settings.packets).await?;
        let outbound = sockets::bind("bind packets of the target", from_target).await?;
        let calls =
            endpoints::serve(settings.readiness.into_iter().chain(settings.heartbeats)).await?;
        let (loads_tx, _) = flume::bounded(1);
        let (flows_tx, flows) = flume::unbounded();
        node.handle.set_role_channels(RoleChannels {
            loads: loads_tx,
            flows: flows_tx,
            ..RoleChannels::closed()
        });
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

    /// Stops gracefully: takes no new flows, waits for open requests to finish, then ends.
    pub async fn stop(self) {
        let handle = &self.node.handle;
        handle.journal.record(EventKind::Process, "agent stops", "stop requested");
        let (done, finished) = flume::bounded(1);
        let limit = self.stop_limit.get().saturating_sub(STOP_MARGIN);
        let _ = self.stop.send(StopRequest { done });
        let target_gone = compio::time::timeout(limit, finished.recv_async()).await;
        let cause = if target_gone.is_ok() { "no more requests" } else { "limit reached" };
        handle.journal.record(EventKind::Process, "agent stopped", cause);
        // The flows of a live target outlive its agent, so the other processes must not treat them as lost.
        // Either the agent is restarted, or the others detect its failure by its silence.
        if matches!(target_gone, Ok(Ok(true))) {
            handle.announce_stopped().await;
        }
    }
}
