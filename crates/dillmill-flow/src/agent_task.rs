//! Takes packets for a target and from it, and carries out what the gate decides.
//!
//! | Part | Holds |
//! |---|---|
//! | `packets` | packets on their way, and what becomes of each |
//! | `waiting` | opening packets that wait for the target |
//! | `heartbeats` | what the target says of itself, and what is seen of it |
//! | `announcement` | what the others are told of the target |
//! | `directory` | flows remembered for others, and told to them |
//! | `reports` | load told to balancers |

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use dillmill_core::flow_gate::{TargetPresence, TargetStanding};
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    AgentTable, CallerPackets, DirectoryCatchUp, FlowGate, MemberStatus, PauseWatch, Registrations,
    RouteTable, ServiceName, ServiceTag, TargetRuns, Timestamp, ZoneName,
};
use dillmill_node::{NodeError, NodeHandle, View, Views};
use dillmill_platform::{EndpointCall, ProcessSettings};
use dillmill_wire::FlowMessage;
use futures_util::stream::{self, StreamExt};

pub(crate) use announcement::Announcement;

use crate::decision_log::DecisionLog;
use crate::flow_metrics::AgentCounters;
use crate::presence;
use crate::sockets::{datagrams, ticks};
use crate::uplink::Uplink;

mod announcement;
mod directory;
mod heartbeats;
mod packets;
mod reports;
mod waiting;

/// Time between two looks at what is due to be sent. Each wake-up costs; what can't wait is sent at once.
const TICK: Duration = Duration::from_millis(100);
/// A stop waits at least this long, so that all balancers have heard of it.
const MIN_STOP_TIME: Duration = Duration::from_millis(300);

/// Asks the task to take no new flow, and to say when no request is left.
#[derive(Debug)]
pub struct StopRequest {
    /// Told when the last request has its answer, and whether the target has ended too.
    pub done: flume::Sender<bool>,
}

enum Event {
    FromNetwork(Vec<u8>),
    FromTarget(Vec<u8>),
    Flow(SocketAddrV4, FlowMessage),
    Call(EndpointCall),
    Stop(StopRequest),
    Presence(TargetPresence),
    /// The link takes the next packet.
    LinkFree,
    Tick,
}

/// What an agent sees of its target's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetHealth {
    /// It answers.
    Sound,
    /// It leaves everything without an answer.
    Silent,
    /// It breaks off what it is given.
    Failing,
}

/// A balancer that sends new flows here.
#[derive(Debug, Clone, Copy)]
struct ReportSubscriber {
    last_new_flow: Timestamp,
    last_report: Timestamp,
    last_reported: LoadReport,
    due: bool,
}

/// Owns both sockets of an agent and the gate before its target.
pub struct AgentTask {
    handle: NodeHandle,
    views: Views,
    packets: UdpSocket,
    uplink: Uplink,
    link_free: flume::Receiver<()>,
    outbound: UdpSocket,
    target: SocketAddrV4,
    zone: ZoneName,
    caller_port: u16,
    counters: AgentCounters,
    log: DecisionLog,
    gate: FlowGate,
    service: ServiceName,
    agents: AgentTable,
    routes: Arc<RouteTable>,
    settled: bool,
    registrations: Registrations,
    catch_up: DirectoryCatchUp,
    /// Since when the others may take this agent for a directory.
    directory_since: Timestamp,
    report_subscribers: HashMap<SocketAddrV4, ReportSubscriber>,
    runs: TargetRuns,
    /// Packets to ask the target with which flows it holds.
    caller_packets: CallerPackets,
    health: TargetHealth,
    /// What the others have been told of the target, and what they are to be told.
    announced: Announcement,
    announcement: Announcement,
    pauses: PauseWatch,
    stopping: Option<(StopRequest, Timestamp)>,
}

impl AgentTask {
    /// Creates the task of an agent.
    ///
    /// # Errors
    ///
    /// Fails if the name of a metric is taken.
    pub fn new(
        handle: NodeHandle,
        packets: UdpSocket,
        outbound: UdpSocket,
        target: SocketAddrV4,
        service: ServiceName,
        settings: &ProcessSettings,
        counters: AgentCounters,
    ) -> Result<Self, NodeError> {
        let now = handle.clock.now();
        let announcement = Announcement::first(service.clone(), TargetPresence::Unknown);
        let (uplink, link_free) =
            Uplink::new(packets.clone(), settings.link, &handle.metrics, now)?;
        let tag = ServiceTag::from(&service);
        Ok(Self {
            gate: FlowGate::new(handle.process, settings.packets, tag, now)
                .heartbeat_every(settings.heartbeat_every),
            log: DecisionLog::new(handle.journal.clone(), now),
            views: handle.views(),
            handle,
            packets,
            uplink,
            link_free,
            outbound,
            target,
            zone: settings.zone.clone(),
            caller_port: settings.packets.port(),
            counters,
            service,
            agents: AgentTable::default(),
            routes: Arc::default(),
            settled: false,
            registrations: Registrations::default(),
            catch_up: DirectoryCatchUp::default(),
            directory_since: now,
            report_subscribers: HashMap::new(),
            runs: TargetRuns::new(settings.heartbeat_every),
            caller_packets: CallerPackets::default(),
            health: TargetHealth::Sound,
            announced: announcement.clone(),
            announcement,
            pauses: PauseWatch::new(TICK * 2),
            stopping: None,
        })
    }

    /// Sets what a first attempt to connect to the target has shown, and the others have been told.
    #[must_use]
    pub fn presence(mut self, presence: TargetPresence) -> Self {
        self.gate.set_presence(presence);
        self.announcement = Announcement::first(self.service.clone(), presence);
        self.announced = self.announcement.clone();
        self
    }

    /// Runs until the process ends.
    pub async fn run(
        mut self,
        calls: flume::Receiver<EndpointCall>,
        flows: flume::Receiver<(SocketAddrV4, FlowMessage)>,
        stops: flume::Receiver<StopRequest>,
    ) {
        let mut events = stream::select_all([
            datagrams(self.packets.clone()).map(Event::FromNetwork).boxed_local(),
            datagrams(self.outbound.clone()).map(Event::FromTarget).boxed_local(),
            flows.into_stream().map(|(from, m)| Event::Flow(from, m)).boxed_local(),
            calls.into_stream().map(Event::Call).boxed_local(),
            stops.into_stream().map(Event::Stop).boxed_local(),
            stream::once(self.probe_target_again()).map(Event::Presence).boxed_local(),
            self.link_free.clone().into_stream().map(|()| Event::LinkFree).boxed_local(),
            ticks(TICK).map(|()| Event::Tick).boxed_local(),
        ]);
        while let Some(event) = events.next().await {
            let now = self.handle.clock.now();
            if self.pauses.was_paused(now) {
                // What the target has answered meanwhile waits in the socket.
                self.gate.heard();
            }
            if let Some(view) = self.views.newer() {
                self.apply_view(&view, now);
            }
            match event {
                Event::FromNetwork(buf) => {
                    self.handle_network_packet(buf, now).await;
                    self.serve_queue(now).await;
                }
                Event::FromTarget(buf) => self.handle_target_packet(buf, now).await,
                Event::Flow(from, message) => self.message(from, message, now),
                Event::Call(call) => self.call(call, now).await,
                Event::Stop(request) => self.stop(request, now),
                Event::Presence(presence) => self.apply_presence(presence),
                Event::LinkFree => self.uplink.release(now).await,
                Event::Tick => {
                    self.serve_queue(now).await;
                    self.tick(now);
                }
            }
        }
    }

    /// Looks for the target once more, if the first look told nothing.
    fn probe_target_again(&self) -> impl Future<Output = TargetPresence> + use<> {
        let (known, target) = (self.gate.presence(), self.target);
        async move {
            match known {
                TargetPresence::Unknown => presence::probe(target, presence::CONNECT_TIMEOUT).await,
                TargetPresence::Absent | TargetPresence::Present => known,
            }
        }
    }

    fn apply_view(&mut self, view: &View, now: Timestamp) {
        self.settled = view.settled;
        // A balancer knows the orders before it knows any route, so what it sends meanwhile is right.
        let evacuations = view.evacuations.as_deref().cloned().unwrap_or_default();
        self.gate.set_evacuated(evacuations.contains(&self.zone), now);
        let agents = AgentTable::new(view.members(), &self.zone).with_evacuations(&evacuations);
        if agents != self.agents {
            self.registrations.push_moved(self.gate.records(), &self.agents, &agents);
            self.agents = agents;
            self.register_new(now);
        }
        if let Some(routes) = &view.routes
            && routes.revision() > self.routes.revision
        {
            self.routes = Arc::new(routes.table().after(&self.routes));
        }
        self.gate.set_cold_rate(self.routes.cold_rate(self.gate.service()));
    }

    fn tick(&mut self, now: Timestamp) {
        self.register_new(now);
        let due = self.registrations.take_due(now);
        self.send_records(due);
        self.catch_up(now);
        self.send_reports(now);
        self.gate.note_overdue(now);
        self.update_target_health(now);
        self.detect_absent_target(now);
        self.announce(now);
        self.finish_stop(now);
    }

    fn stop(&mut self, request: StopRequest, now: Timestamp) {
        self.gate.stop();
        self.announcement.status = MemberStatus::Leaving;
        self.stopping = Some((request, now));
        self.announce(now);
    }

    fn finish_stop(&mut self, now: Timestamp) {
        let Some((request, since)) = &self.stopping else { return };
        let heard =
            now.since(*since) >= MIN_STOP_TIME || self.gate.standing() == TargetStanding::Gone;
        if heard && self.gate.load(now).requests == 0 {
            let _ = request.done.send(self.gate.has_no_target(now));
            self.stopping = None;
        }
    }
}
