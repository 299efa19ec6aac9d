//! Event loop of a balancer: receives the packets of callers and sends each to an agent.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use dillmill_core::owner_cache::{MISSING_CONFIRM_DELAY, MISSING_CONFIRM_DELAY_AT_START};
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    AdmissionLevel, AgentTable, EarlyPacket, EarlyPackets, Envelope, EventKind, FlowPlacement,
    FlowTuple, LinkAdmission, OutboundDatagram, Owner, OwnerCache, PacketId, PacketPurpose,
    PauseDetector, PendingSearches, RouteTable, SearchScope, Segment, SegmentKind, ServiceTag,
    Timestamp, ZoneName,
};
use dillmill_node::{NodeError, NodeHandle, TrafficKind, View, ViewReceiver};
use dillmill_platform::ProcessSettings;
use dillmill_platform::packet::{self, Sender};
use dillmill_wire::{FlowMessage, Message, seal_envelope};
use futures_util::stream::{self, StreamExt};

use crate::decision_log::DecisionLog;
use crate::flow_metrics::BalancerCounters;
use crate::sockets::{datagrams, ticks};
use crate::uplink::{Uplink, traffic_kind};

mod early;
mod opening;
mod overload;
mod refusing;
mod searching;

/// Interval of periodic work: checks for silent agents, repeated searches and readiness.
const TICK: Duration = Duration::from_millis(100);
/// Time after its start during which a balancer may not know all agents yet.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Readiness of a balancer; routers send packets only to one that is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The balancer knows no routes or no agent yet.
    Starting,
    /// The balancer can route packets.
    Ready,
    /// No agent answers the balancer.
    CutOff,
    /// The balancer is shutting down.
    Stopping,
}

enum Event {
    Packet(Vec<u8>),
    Load(LoadReport),
    Flow(FlowMessage),
    /// The search for this flow's owner is due to be repeated.
    RetrySearch(FlowTuple),
    /// The VM's link can take the next packet.
    LinkFree,
    Tick,
}

/// State of a balancer: the socket for callers, the owners of flows, and its view of the agents.
pub struct BalancerTask {
    handle: NodeHandle,
    views: ViewReceiver,
    socket: UdpSocket,
    uplink: Uplink,
    link_free: flume::Receiver<()>,
    admission: LinkAdmission,
    /// Refused shares of new flows under overload, by service.
    levels: HashMap<ServiceTag, AdmissionLevel>,
    early_packets: EarlyPackets,
    /// When the routes first named each service; kept for [`early::FIRST_AGENTS_PERIOD`].
    first_named: HashMap<ServiceTag, Timestamp>,
    control: SocketAddrV4,
    zone: ZoneName,
    caller_port: u16,
    counters: BalancerCounters,
    log: DecisionLog,
    readiness: Rc<Cell<Readiness>>,
    agents: AgentTable,
    routes: Arc<RouteTable>,
    owners: OwnerCache,
    placement: FlowPlacement,
    pauses: PauseDetector,
    started: Timestamp,
    searches: PendingSearches,
    settled: bool,
    retry_tx: flume::Sender<FlowTuple>,
    retry_rx: flume::Receiver<FlowTuple>,
}

impl BalancerTask {
    /// Creates the task of a balancer that receives control messages at `control`.
    ///
    /// # Errors
    ///
    /// Fails if a metric name is already registered.
    pub fn new(
        handle: NodeHandle,
        socket: UdpSocket,
        control: SocketAddrV4,
        settings: &ProcessSettings,
        counters: BalancerCounters,
        readiness: Rc<Cell<Readiness>>,
    ) -> Result<Self, NodeError> {
        let now = handle.clock.now();
        let (uplink, link_free) = Uplink::new(socket.clone(), settings.link, &handle.metrics, now)?;
        let (retry_tx, retry_rx) = flume::unbounded();
        let log = DecisionLog::new(handle.journal.clone(), now);
        Ok(Self {
            views: handle.views(),
            handle,
            socket,
            uplink,
            link_free,
            admission: LinkAdmission::new(settings.link, now),
            levels: HashMap::new(),
            early_packets: EarlyPackets::default(),
            first_named: HashMap::new(),
            control,
            zone: settings.zone.clone(),
            caller_port: settings.packets.port(),
            counters,
            log,
            readiness,
            agents: AgentTable::default(),
            routes: Arc::default(),
            owners: OwnerCache::default(),
            placement: FlowPlacement::default(),
            pauses: PauseDetector::new(TICK * 2),
            started: now,
            searches: PendingSearches::default(),
            settled: false,
            retry_tx,
            retry_rx,
        })
    }

    /// Runs until the process ends.
    pub async fn run(
        mut self,
        loads: flume::Receiver<(SocketAddrV4, LoadReport)>,
        flows: flume::Receiver<(SocketAddrV4, FlowMessage)>,
    ) {
        let mut events = stream::select_all([
            datagrams(self.socket.clone()).map(Event::Packet).boxed_local(),
            loads.into_stream().map(|(_, report)| Event::Load(report)).boxed_local(),
            flows.into_stream().map(|(_, message)| Event::Flow(message)).boxed_local(),
            self.retry_rx.clone().into_stream().map(Event::RetrySearch).boxed_local(),
            self.link_free.clone().into_stream().map(|()| Event::LinkFree).boxed_local(),
            ticks(TICK).map(|()| Event::Tick).boxed_local(),
        ]);
        while let Some(event) = events.next().await {
            let now = self.handle.clock.now();
            if self.pauses.was_paused(now) {
                self.placement.reset_silence(now);
            }
            if let Some(view) = self.views.newer() {
                self.apply_view(&view, now);
            }
            self.route_early_packets(now).await;
            match event {
                Event::Packet(buf) => self.handle_packet(&buf, now).await,
                Event::Load(report) => self.note_report(report, now),
                Event::Flow(message) => self.handle_flow_message(message, now).await,
                Event::RetrySearch(flow) => {
                    self.retry_search(flow, SearchScope::Directories, now).await;
                }
                Event::LinkFree => self.uplink.release(now).await,
                Event::Tick => self.tick(now).await,
            }
        }
    }

    fn apply_view(&mut self, view: &View, now: Timestamp) {
        if view.settled && !self.settled {
            self.searches.restart_repeats(now);
        }
        self.settled = view.settled;
        let evacuations = view.evacuations.as_deref().cloned().unwrap_or_default();
        self.agents = AgentTable::new(view.members(), &self.zone).with_evacuations(&evacuations);
        self.placement.retain(&self.agents);
        // Routes are used only once the evacuation orders are known: without them, new flows could be
        // placed in a data centre that is being evacuated.
        if let Some(routes) = &view.routes
            && view.evacuations.is_some()
            && routes.revision() > self.routes.revision
        {
            let table = routes.table().after(&self.routes);
            self.note_first_named(&table, now);
            self.routes = Arc::new(table);
        }
    }

    /// Returns whether at least one route and one agent are known.
    fn can_route(&self) -> bool {
        !self.routes.is_empty() && !self.agents.is_empty()
    }

    async fn tick(&mut self, now: Timestamp) {
        self.step_levels(now);
        self.open_queued(now).await;
        for flow in self.searches.take_due(now) {
            self.retry_search(flow, SearchScope::All, now).await;
        }
        for to in self.placement.take_probes_due(now) {
            self.handle.send(to, Message::Flow(FlowMessage::AskLoad));
        }
        let before = self.readiness.get();
        let after = if before == Readiness::Stopping {
            Readiness::Stopping
        } else if !self.can_route() {
            Readiness::Starting
        } else if self.placement.reaches_any(now) {
            Readiness::Ready
        } else {
            Readiness::CutOff
        };
        if before != after {
            self.readiness.set(after);
            let what = format!("readiness {before:?} -> {after:?}");
            let cause = format!(
                "routes of revision {}, {} agents known",
                self.routes.revision,
                self.agents.len()
            );
            self.handle.journal.record(EventKind::Process, what, cause);
        }
        self.handle.metrics.flows.set(i64::try_from(self.owners.len()).unwrap_or(i64::MAX));
    }

    async fn handle_packet(&mut self, buf: &[u8], now: Timestamp) {
        self.counters.packets.inc();
        let Ok(seg) = packet::decode(buf, Sender::Caller) else {
            return self.counters.dropped.inc();
        };
        self.handle.metrics.traffic.received(traffic_kind(&seg), buf.len());
        self.route_packet(&seg, buf, now, now).await;
    }

    /// Routes a packet that was received at `at`.
    async fn route_packet(&mut self, seg: &Segment, buf: &[u8], at: Timestamp, now: Timestamp) {
        if self.is_early(seg, now) {
            let packet = EarlyPacket { at, buf: buf.to_vec() };
            return self.early_packets.keep(seg.flow, PacketId::from(seg), packet, now);
        }
        let routes = self.routes.clone();
        let Some(route) = routes.get(seg.flow.route()) else {
            return self.no_route(seg, now).await;
        };
        match seg.kind {
            SegmentKind::Open { copies } => {
                let Some(service) = route.service(&seg.flow) else {
                    return self.no_route(seg, now).await;
                };
                if self.admit(seg, copies, service, route, buf, now).await {
                    self.open(seg, copies, service, buf, now).await;
                }
            }
            SegmentKind::Accept => self.counters.dropped.inc(),
            SegmentKind::Data | SegmentKind::Finish | SegmentKind::Reset => {
                let service = route.shares.first().map_or(ServiceTag(0), |(s, _)| *s);
                let upload_ended = self.admission.note(seg, now);
                self.forward(seg, service, &route.services(), buf, now).await;
                if upload_ended {
                    self.open_queued(now).await;
                }
            }
        }
    }

    /// Returns whether the balancer has started so recently that it may not know all agents.
    fn is_starting(&self, now: Timestamp) -> bool {
        now.since(self.started) < STARTUP_PERIOD
    }

    /// Returns how long after a first search that found no owner a second one counts as confirmation.
    fn missing_confirmation_delay(&self, now: Timestamp) -> Duration {
        if self.is_starting(now) { MISSING_CONFIRM_DELAY_AT_START } else { MISSING_CONFIRM_DELAY }
    }

    async fn no_route(&mut self, seg: &Segment, now: Timestamp) {
        if self.routes.is_empty() {
            return self.counters.dropped.inc();
        }
        let seq = match seg.kind {
            SegmentKind::Open { .. } => 0,
            SegmentKind::Data if seg.len > 0 => seg.ack,
            _ => return self.counters.dropped.inc(),
        };
        self.owners.forget(&seg.flow);
        let revision = self.routes.revision;
        self.log.flow(now, &seg.flow, "reset", || format!("no route in revision {revision}"));
        self.reset(&seg.flow, seq).await;
    }

    async fn send(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        purpose: PacketPurpose,
        packet: &[u8],
        to: SocketAddrV4,
        now: Timestamp,
    ) {
        let kind = match purpose {
            PacketPurpose::Search(_) => TrafficKind::Search,
            PacketPurpose::Place { .. }
            | PacketPurpose::Moved { .. }
            | PacketPurpose::Deliver
            | PacketPurpose::Directed { .. } => traffic_kind(seg),
        };
        let mut buf = Vec::with_capacity(packet.len() + 48);
        seal_envelope(&self.envelope(service, purpose), packet, &mut buf);
        let departure = OutboundDatagram { flow: seg.flow, packet: seg.into(), buf, to };
        if let Some(flow) = self.uplink.send(kind, departure, now).await {
            self.log.flow(now, &flow, "dropped", || "link queue is full".to_owned());
        }
    }

    fn envelope(&self, service: ServiceTag, purpose: PacketPurpose) -> Envelope {
        Envelope { service, revision: self.routes.revision, origin: self.control, purpose }
    }

    async fn reset(&self, flow: &FlowTuple, seq: u32) {
        let to = SocketAddrV4::new(*flow.caller().ip(), self.caller_port);
        let reset = packet::reset(flow, seq).to_vec();
        self.uplink.send_at_once(TrafficKind::Reset, reset, to).await;
    }

    async fn handle_flow_message(&mut self, message: FlowMessage, now: Timestamp) {
        match message {
            FlowMessage::Owner { flow, owner, data } => {
                self.record_owner(flow, Owner { process: owner, data }, now).await;
            }
            FlowMessage::Missing { flow, caller_expects } => {
                let confirm_after = self.missing_confirmation_delay(now);
                if !self.owners.missing(flow, confirm_after, now) {
                    self.schedule_search_retry(flow, confirm_after);
                    return;
                }
                self.searches.end(&flow);
                self.counters.missing.inc();
                self.log.flow(now, &flow, "reset", || "no agent holds it, twice".to_owned());
                self.reset(&flow, caller_expects).await;
            }
            FlowMessage::Refused { flow, placed, detail } => {
                self.handle_refusal(flow, placed, &detail, now).await;
            }
            FlowMessage::Records { .. }
            | FlowMessage::RecordsAck { .. }
            | FlowMessage::AskRecords { .. }
            | FlowMessage::RecordsComplete { .. }
            | FlowMessage::AskLoad
            | FlowMessage::LoadExchange { .. } => {}
        }
    }
}
