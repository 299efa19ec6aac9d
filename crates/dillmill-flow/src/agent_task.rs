//! Event loop of an agent: receives packets to and from its target and applies the verdicts of the flow
//! gate.
//!
//! | Module | Responsibility |
//! |---|---|
//! | `packets` | handling of each packet |
//! | `waiting` | opening packets queued for the target |
//! | `heartbeats` | heartbeats of the target, and its observed health |
//! | `announcement` | what other processes are told about the target |
//! | `directory` | records of other agents' flows, and registration of own flows with other agents |
//! | `reports` | load reports to balancers |
//! | `sharing` | exchange of loads with siblings, and moves of waiting packets to them |

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use dillmill_core::flow_gate::{TargetPresence, TargetStanding};
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    AgentTable, CallerPackets, DirectoryCatchUp, ExchangeRounds, FlowGate, MemberStatus,
    PauseDetector, Registrations, RouteTable, ServiceName, ServiceTag, SiblingLoads, TargetRuns,
    Timestamp, ZoneName,
};
use dillmill_node::{NodeError, NodeHandle, View, ViewReceiver};
use dillmill_platform::{EndpointCall, ProcessSettings};
use dillmill_wire::{FlowMessage, LoadStatus};
use futures_util::stream::{self, StreamExt};

pub(crate) use announcement::Announcement;
use heartbeats::EarlyHeartbeat;

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
mod sharing;
mod waiting;

/// Interval of periodic work. Each wake-up has a cost, so whatever can wait is sent on a tick; what can't
/// is sent immediately.
const TICK: Duration = Duration::from_millis(100);
/// A stop waits at least this long, so that all balancers have learnt of it.
const MIN_STOP_TIME: Duration = Duration::from_millis(300);

/// Asks the task to take no new flows, and to report when no request is open any more.
#[derive(Debug)]
pub struct StopRequest {
    /// Receives a message once the last request is answered: `true` if there is no target any more.
    pub done: flume::Sender<bool>,
}

enum Event {
    FromNetwork(Vec<u8>),
    TargetPacketEffect(Vec<u8>),
    Flow(SocketAddrV4, FlowMessage),
    Call(EndpointCall),
    Stop(StopRequest),
    Presence(TargetPresence),
    /// The VM's link can take the next packet.
    LinkFree,
    Tick,
}

/// Health of the target, as its agent observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetHealth {
    /// The target answers requests.
    Sound,
    /// The target answers nothing.
    Silent,
    /// Its run has not been confirmed by a heartbeat for so long, or has lost a flow, that another target
    /// may have its address.
    Unconfirmed,
    /// The target breaks off the requests that it is given.
    Failing,
}

/// A time in which this process did not run.
#[derive(Debug, Clone, Copy)]
struct Pause {
    since: Timestamp,
    until: Timestamp,
}

/// A balancer that sends new flows to this agent and gets load reports in return.
#[derive(Debug, Clone, Copy)]
struct ReportSubscriber {
    last_new_flow: Timestamp,
    last_report: Timestamp,
    last_reported: LoadReport,
    flow_since_report: bool,
}

/// State of an agent: its two sockets, the flow gate of its target, and its view of the other processes.
pub struct AgentTask {
    handle: NodeHandle,
    views: ViewReceiver,
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
    /// Time since when other processes may use this agent as a flow directory.
    directory_since: Timestamp,
    report_subscribers: HashMap<SocketAddrV4, ReportSubscriber>,
    /// Load that the status of the process contains.
    load_status: Option<LoadStatus>,
    exchanges: ExchangeRounds,
    siblings: SiblingLoads,
    runs: TargetRuns,
    early_heartbeat: Option<EarlyHeartbeat>,
    /// Caller packets with which the target is queried for the flows that it holds.
    caller_packets: CallerPackets,
    health: TargetHealth,
    /// The announcement that the other processes have, and the one that they are to get next.
    announced: Announcement,
    announcement: Announcement,
    pauses: PauseDetector,
    last_pause: Option<Pause>,
    stopping: Option<(StopRequest, Timestamp)>,
}

impl AgentTask {
    /// Creates the task of an agent.
    ///
    /// # Errors
    ///
    /// Fails if a metric name is already registered.
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
        let announcement = Announcement::at_start(service.clone(), TargetPresence::Unknown);
        let (uplink, link_free) =
            Uplink::new(packets.clone(), settings.link, &handle.metrics, now)?;
        let tag = ServiceTag::from(&service);
        Ok(Self {
            gate: FlowGate::new(handle.process, settings.packets, tag, now)
                .heartbeat_every(settings.heartbeat_every)
                .address_kept_for(settings.address_reuse_after)
                .max_flow_age(settings.max_flow_age),
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
            load_status: None,
            exchanges: ExchangeRounds::default(),
            siblings: SiblingLoads::new(),
            runs: TargetRuns::new(settings.heartbeat_every),
            early_heartbeat: None,
            caller_packets: CallerPackets::default(),
            health: TargetHealth::Sound,
            announced: announcement.clone(),
            announcement,
            pauses: PauseDetector::new(TICK * 2),
            last_pause: None,
            stopping: None,
        })
    }

    /// Sets the outcome of the first attempt to connect to the target, which has already been announced.
    #[must_use]
    pub fn presence(mut self, presence: TargetPresence) -> Self {
        self.gate.set_presence(presence);
        self.announcement = Announcement::at_start(self.service.clone(), presence);
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
            datagrams(self.outbound.clone()).map(Event::TargetPacketEffect).boxed_local(),
            flows.into_stream().map(|(from, m)| Event::Flow(from, m)).boxed_local(),
            calls.into_stream().map(Event::Call).boxed_local(),
            stops.into_stream().map(Event::Stop).boxed_local(),
            stream::once(self.probe_target_again()).map(Event::Presence).boxed_local(),
            self.link_free.clone().into_stream().map(|()| Event::LinkFree).boxed_local(),
            ticks(TICK).map(|()| Event::Tick).boxed_local(),
        ]);
        while let Some(event) = events.next().await {
            let now = self.handle.clock.now();
            if let Some(since) = self.pauses.paused_since(now) {
                self.gate.resume_after_pause(since);
                self.last_pause = Some(Pause { since, until: now });
            }
            if let Some(view) = self.views.newer() {
                self.apply_view(&view, now);
                self.apply_early_heartbeat(now).await;
            }
            match event {
                Event::FromNetwork(buf) => {
                    self.handle_network_packet(buf, now).await;
                    self.serve_queue(now).await;
                }
                Event::TargetPacketEffect(buf) => {
                    self.handle_target_packet(buf, now).await;
                    self.serve_queue(now).await;
                }
                Event::Flow(from, FlowMessage::LoadExchange { reply, report }) => {
                    self.handle_load_exchange(from, report, reply, now).await;
                }
                Event::Flow(from, message) => self.handle_flow_message(from, message, now),
                Event::Call(call) => self.handle_call(call, now).await,
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

    /// Probes the target a second time if the first probe was inconclusive.
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
        // Evacuation orders that are not known yet count as none: a balancer learns the orders before any
        // route, so the flows that it places meanwhile already respect them.
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
            self.gate.set_idle_timeout(routes.idle_timeout().duration());
            self.caller_packets.set_lifetime(self.gate.lifetimes().held());
        }
        self.gate.set_cold_rate(self.routes.cold_rate(self.gate.service()));
    }

    fn tick(&mut self, now: Timestamp) {
        self.register_new(now);
        let due = self.registrations.take_due(now);
        self.send_records(due);
        self.catch_up(now);
        self.send_reports(now);
        self.exchange_loads(now);
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
        let propagated =
            now.since(*since) >= MIN_STOP_TIME || self.gate.standing() == TargetStanding::Gone;
        if propagated && self.gate.load(now).requests == 0 {
            let _ = request.done.send(self.gate.has_no_target(now));
            self.stopping = None;
        }
    }
}
