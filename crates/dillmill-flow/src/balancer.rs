//! Starts and stops a balancer process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dillmill_core::{EventKind, FlowCoverage, MemberStatus, Role, Weight};
use dillmill_node::{Node, NodeError, NodeSpec, RoleChannels, SettingsSource};
use dillmill_platform::endpoint::CallOutcome;
use dillmill_platform::{EndpointCall, ProcessSettings};
use error_stack::Report;

use crate::balancer_task::{BalancerTask, Readiness};
use crate::config::process_config;
use crate::flow_metrics::BalancerCounters;
use crate::operator_watch::OperatorWatch;
use crate::session::Session;
use crate::{endpoints, sockets};

/// Time after which routers send no more packets: they check readiness twice a second and need two failed
/// checks.
const WITHDRAWN_AFTER: Duration = Duration::from_millis(1500);
/// Part of the stop limit that is reserved for ending the process itself.
const STOP_MARGIN: Duration = Duration::from_secs(2);
/// A graceful stop ends once no packet has come for this long.
const IDLE_BEFORE_STOP: Duration = Duration::from_millis(300);

/// A running balancer of packet flows.
#[derive(Debug)]
pub struct FlowBalancer {
    /// Handle of the process's control task.
    pub node: Node,
    readiness: Rc<Cell<Readiness>>,
    counters: BalancerCounters,
    /// Longest time that a stop may take; reloading the settings file can change it.
    pub stop_limit: Rc<Cell<Duration>>,
}

impl FlowBalancer {
    /// Binds the balancer's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn spawn(
        settings: &ProcessSettings,
        metrics_port: Option<u16>,
    ) -> Result<Self, Report<NodeError>> {
        let config = process_config(settings, metrics_port);
        let spec = NodeSpec {
            role: Role::Balancer,
            status: MemberStatus::Serving,
            weight: Weight(100),
            coverage: FlowCoverage::Complete,
            settings: SettingsSource::Routes,
            announce_delay: Duration::ZERO,
        };
        let node = Node::spawn(&config, spec).await?;
        let counters = BalancerCounters::new(&node.handle.metrics)?;
        let readiness = Rc::new(Cell::new(Readiness::Starting));
        let socket = sockets::bind("bind packets", settings.packets).await?;
        let calls =
            endpoints::serve(settings.readiness.into_iter().chain(settings.heartbeats)).await?;
        compio::runtime::spawn(answer_calls(calls, readiness.clone())).detach();

        let (loads_tx, loads) = flume::unbounded();
        let (flows_tx, flows) = flume::unbounded();
        let role_channels =
            RoleChannels { loads: loads_tx, flows: flows_tx, ..RoleChannels::closed() };
        node.handle.set_role_channels(role_channels);
        let task = BalancerTask::new(
            node.handle.clone(),
            socket,
            config.control,
            settings,
            counters.clone(),
            readiness.clone(),
        )?;
        compio::runtime::spawn(task.run(loads, flows)).detach();
        Session::spawn(&node, config.control, settings);
        OperatorWatch::spawn(&node, settings);
        let stop_limit = Rc::new(Cell::new(settings.stop_limit));
        Ok(Self { node, readiness, counters, stop_limit })
    }

    /// Stops gracefully: reports itself as not ready so that routers withdraw it, forwards packets that
    /// still come, then ends.
    pub async fn stop(self) {
        let handle = &self.node.handle;
        handle.journal.record(EventKind::Process, "balancer stops", "stop requested");
        self.readiness.set(Readiness::Stopping);
        handle.leave();
        let started = handle.clock.now();
        let limit = self.stop_limit.get().saturating_sub(STOP_MARGIN).max(WITHDRAWN_AFTER);
        compio::time::sleep(WITHDRAWN_AFTER).await;
        loop {
            let before = self.counters.packets.get();
            compio::time::sleep(IDLE_BEFORE_STOP).await;
            let idle = self.counters.packets.get() == before;
            if idle || handle.clock.now().since(started) >= limit {
                let cause = if idle { "no more packets" } else { "limit reached" };
                handle.journal.record(EventKind::Process, "balancer stopped", cause);
                break;
            }
        }
        handle.announce_stopped().await;
    }
}

/// Answers the platform's HTTP calls. A balancer rejects heartbeats, as it has no target.
async fn answer_calls(calls: flume::Receiver<EndpointCall>, readiness: Rc<Cell<Readiness>>) {
    while let Ok(call) = calls.recv_async().await {
        match call {
            EndpointCall::Ready(tx) => {
                let ready = readiness.get() == Readiness::Ready;
                let _ = tx.send(if ready {
                    CallOutcome::Acknowledged
                } else {
                    CallOutcome::Unavailable
                });
            }
            EndpointCall::Target(_, tx) => {
                let _ = tx.send(CallOutcome::Unavailable);
            }
            EndpointCall::Malformed { .. } => {}
        }
    }
}
