//! Takes the packets of callers and sends each to an agent.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use dillmill_core::open_queue::WaitingOpen;
use dillmill_core::owner_cache::MISSING_AGAIN;
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    AgentTable, Departure, EarlyPacket, EarlyPackets, Envelope, Errand, EventKind, FlowPlacement,
    FlowTuple, LinkAdmission, Owner, OwnerCache, PacketId, PauseWatch, PendingSearches, RouteEntry,
    RouteTable, Search, SearchScope, Segment, SegmentKind, ServiceTag, Timestamp, ZoneName,
    patience,
};
use dillmill_node::{NodeError, NodeHandle, TrafficKind, View, Views};
use dillmill_platform::ProcessSettings;
use dillmill_platform::packet::{self, Sender};
use dillmill_wire::{FlowMessage, Message, seal_envelope};
use futures_util::stream::{self, StreamExt};

use crate::decision_log::DecisionLog;
use crate::flow_metrics::BalancerCounters;
use crate::sockets::{datagrams, ticks};
use crate::uplink::{Uplink, traffic_kind};

/// Time between two looks at agents that do not answer.
const TICK: Duration = Duration::from_millis(100);
/// For this long after its start a balancer may not know all agents.
const YOUNG: Duration = Duration::from_secs(2);

/// Whether the routers are to send packets to a balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It knows no routes or no agent yet.
    Starting,
    /// It can route.
    Ready,
    /// No agent answers it.
    CutOff,
    /// It ends.
    Stopping,
}

enum Event {
    Packet(Vec<u8>),
    Load(LoadReport),
    Flow(FlowMessage),
    /// The search for this flow's owner is to be repeated.
    Again(FlowTuple),
    /// The link takes the next packet.
    LinkFree,
    Tick,
}

/// Owns the socket of callers and what the balancer remembers of flows.
pub struct BalancerTask {
    handle: NodeHandle,
    views: Views,
    socket: UdpSocket,
    uplink: Uplink,
    link_free: flume::Receiver<()>,
    admission: LinkAdmission,
    early: EarlyPackets,
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
    pauses: PauseWatch,
    started: Timestamp,
    searches: PendingSearches,
    settled: bool,
    again: flume::Sender<FlowTuple>,
    repeated: flume::Receiver<FlowTuple>,
}

impl BalancerTask {
    /// Creates the task of a balancer whose messages come to `control`.
    ///
    /// # Errors
    ///
    /// Fails if the name of a metric is taken.
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
        let (again, repeated) = flume::unbounded();
        let log = DecisionLog::new(handle.journal.clone(), now);
        Ok(Self {
            views: handle.views(),
            handle,
            socket,
            uplink,
            link_free,
            admission: LinkAdmission::new(settings.link, now),
            early: EarlyPackets::default(),
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
            pauses: PauseWatch::new(TICK * 2),
            started: now,
            searches: PendingSearches::default(),
            settled: false,
            again,
            repeated,
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
            self.repeated.clone().into_stream().map(Event::Again).boxed_local(),
            self.link_free.clone().into_stream().map(|()| Event::LinkFree).boxed_local(),
            ticks(TICK).map(|()| Event::Tick).boxed_local(),
        ]);
        while let Some(event) = events.next().await {
            let now = self.handle.clock.now();
            if self.pauses.was_paused(now) {
                self.placement.forgive(now);
            }
            if let Some(view) = self.views.newer() {
                self.take_view(&view, now);
            }
            self.route_early(now).await;
            match event {
                Event::Packet(buf) => self.packet(&buf, now).await,
                Event::Load(report) => self.placement.report(report),
                Event::Flow(message) => self.message(message, now).await,
                Event::Again(flow) => {
                    self.search_again(flow, SearchScope::Directories, now).await;
                }
                Event::LinkFree => self.uplink.release(now).await,
                Event::Tick => self.tick(now).await,
            }
        }
    }

    fn take_view(&mut self, view: &View, now: Timestamp) {
        if view.settled && !self.settled {
            self.searches.begin_again(now);
        }
        self.settled = view.settled;
        self.agents = AgentTable::new(view.members.iter(), &self.zone);
        self.placement.retain(&self.agents);
        if let Some(routes) = &view.routes
            && routes.revision() > self.routes.revision
        {
            self.routes = Arc::new(routes.table().after(&self.routes));
        }
    }

    /// Returns whether it is known where packets can go: some route, and an agent.
    fn can_route(&self) -> bool {
        !self.routes.is_empty() && self.agents.iter().next().is_some()
    }

    /// Routes the packets that came before anything was known.
    async fn route_early(&mut self, now: Timestamp) {
        for EarlyPacket { at, buf } in self.early.take_due(now) {
            if let Ok(seg) = packet::decode(&buf, Sender::Caller) {
                self.route_packet(&seg, &buf, at, now).await;
            }
        }
    }

    /// Returns whether a packet may be routed differently in a moment, as this process has only just started.
    fn is_early(&self, seg: &Segment, now: Timestamp) -> bool {
        if now.since(self.started) >= YOUNG {
            return false;
        }
        let Some(route) = self.routes.get(seg.flow.route()) else { return self.routes.is_empty() };
        !route.services().into_iter().any(|s| self.agents.taking_new(s).any(|a| a.slots > 0))
    }

    async fn tick(&mut self, now: Timestamp) {
        self.open_waiting(now).await;
        for flow in self.searches.take_due(now) {
            self.search_again(flow, SearchScope::All, now).await;
        }
        for to in self.placement.to_ask(now) {
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
                self.agents.iter().count()
            );
            self.handle.journal.record(EventKind::Process, what, cause);
        }
        self.handle.metrics.flows.set(i64::try_from(self.owners.len()).unwrap_or(i64::MAX));
    }

    async fn packet(&mut self, buf: &[u8], now: Timestamp) {
        self.counters.packets.inc();
        let Ok(seg) = packet::decode(buf, Sender::Caller) else {
            return self.counters.dropped.inc();
        };
        self.handle.metrics.traffic.received(traffic_kind(&seg), buf.len());
        self.route_packet(&seg, buf, now, now).await;
    }

    /// Routes a packet that came at `at`.
    async fn route_packet(&mut self, seg: &Segment, buf: &[u8], at: Timestamp, now: Timestamp) {
        if self.is_early(seg, now) {
            let packet = EarlyPacket { at, buf: buf.to_vec() };
            return self.early.keep(seg.flow, PacketId::from(seg), packet, now);
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
                if self.admit(seg, copies, service, route, buf, now) {
                    self.open(seg, copies, service, buf, now).await;
                }
            }
            SegmentKind::Accept => self.counters.dropped.inc(),
            SegmentKind::Data | SegmentKind::Finish | SegmentKind::Reset => {
                let service = route.shares.first().map_or(ServiceTag(0), |(s, _)| *s);
                let upload_ended = self.admission.note(seg, now);
                self.forward(seg, service, &route.services(), buf, now).await;
                if upload_ended {
                    self.open_waiting(now).await;
                }
            }
        }
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

    /// Returns whether a new flow may begin; if not, its opening packet waits until the link can carry it.
    fn admit(
        &mut self,
        seg: &Segment,
        copies: u32,
        service: ServiceTag,
        route: &RouteEntry,
        buf: &[u8],
        now: Timestamp,
    ) -> bool {
        if self.admission.note_copy(&seg.flow, copies) {
            return false;
        }
        if copies > 0 && self.owners.get(&seg.flow, now).is_some() {
            return true;
        }
        let patience = patience::assumed(route.timeout, route.repeatable);
        let terms = LinkAdmission::terms(copies, route.latency_aim, now)
            .patience(patience)
            .timeout(route.timeout.unwrap_or(patience));
        if self.admission.admits(seg.flow.route(), &terms, self.uplink.queued(), now) {
            return true;
        }
        let (under_way, waiting) = (self.admission.under_way(), self.admission.waiting());
        self.log.flow(now, &seg.flow, "waits", || {
            format!("uploads under way bring {under_way} bytes over the link, {waiting} wait")
        });
        let errand = Errand::Place { passed: Vec::new() };
        let envelope = self.envelope(service, errand);
        let open = WaitingOpen { flow: seg.flow, packet: buf.to_vec(), envelope, terms };
        // One that finds no place waits for its caller's copy.
        if self.admission.wait(open).is_some() {
            self.counters.dropped.inc();
        }
        false
    }

    /// Opens the flows that have waited for the link and have their turn.
    async fn open_waiting(&mut self, now: Timestamp) {
        for open in self.admission.take_lost(now) {
            self.counters.refused.inc();
            self.log.flow(now, &open.flow, "refused", || "waited for the link in vain".to_owned());
            self.reset(&open.flow, 0).await;
        }
        while let Some(open) = self.admission.next(self.uplink.queued(), now) {
            let Ok(seg) = packet::decode(&open.packet, Sender::Caller) else { continue };
            let routes = self.routes.clone();
            let service = routes.get(seg.flow.route()).and_then(|route| route.service(&seg.flow));
            let Some(service) = service else {
                self.no_route(&seg, now).await;
                continue;
            };
            self.open(&seg, open.terms.copies, service, &open.packet, now).await;
        }
    }

    /// Gives a new flow to an agent; a copy goes to the same one unless that is silent.
    async fn open(
        &mut self,
        seg: &Segment,
        copies: u32,
        service: ServiceTag,
        buf: &[u8],
        now: Timestamp,
    ) {
        let before = self.owners.get(&seg.flow, now).filter(|_| copies > 0);
        let again = before.filter(|owner| {
            !self.placement.silent(owner.process, now)
                && self.agents.taking_new(service).any(|a| a.data == owner.data)
        });
        let (owner, near) = if let Some(owner) = again {
            (owner, true)
        } else {
            let not = before.map(|owner| owner.process);
            let Some(agent) = self.placement.place(&seg.flow, service, &self.agents, not, now)
            else {
                return self.refuse(seg, service, now).await;
            };
            (Owner { process: agent.process, data: agent.data }, agent.near)
        };
        self.counters.placed.inc();
        if !near {
            self.counters.placed_far.inc();
        }
        let revision = self.routes.revision;
        self.log.flow(now, &seg.flow, format_args!("placed at {}", owner.process), || {
            format!("service {service}, revision {revision}, copies {copies}, near {near}")
        });
        if before.is_none() {
            self.admission.begin(seg.flow, now);
        }
        self.owners.set(seg.flow, owner, now);
        self.send(seg, service, Errand::Place { passed: Vec::new() }, buf, owner.data, now).await;
    }

    /// Refuses a new flow that no agent can take, so that the caller's next try comes soon. A
    /// balancer that has only just started may not know all agents yet, and waits for the copy.
    async fn refuse(&mut self, seg: &Segment, service: ServiceTag, now: Timestamp) {
        if now.since(self.started) < YOUNG {
            return self.counters.dropped.inc();
        }
        self.counters.refused.inc();
        self.log.flow(now, &seg.flow, "refused", || format!("no agent of service {service}"));
        self.reset(&seg.flow, 0).await;
    }

    /// Sends a packet of an open flow to its owner, or has the owner searched.
    async fn forward(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        services: &[ServiceTag],
        buf: &[u8],
        now: Timestamp,
    ) {
        self.placement.count_bytes(service, u64::from(seg.len));
        let known = self.owners.get(&seg.flow, now);
        if let Some(owner) = known.filter(|owner| self.agents.at(owner.data).is_some()) {
            return self.send(seg, service, Errand::Deliver, buf, owner.data, now).await;
        }
        self.search(seg, service, services, buf, now).await;
    }

    /// Has the owner of a flow searched, and keeps the packet until that is done.
    async fn search(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        services: &[ServiceTag],
        buf: &[u8],
        now: Timestamp,
    ) {
        if seg.wants_answer() && !self.searches.begin(seg.flow, buf, now) {
            return;
        }
        let scope = SearchScope::All;
        self.send_search(seg, service, services, buf, scope, now).await;
    }

    async fn send_search(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        services: &[ServiceTag],
        buf: &[u8],
        scope: SearchScope,
        now: Timestamp,
    ) {
        self.counters.searched.inc();
        let Some((place, first)) =
            self.agents.next_in_search(&seg.flow, services, None, None).map(|(p, a)| (p, a.data))
        else {
            return self.counters.dropped.inc();
        };
        self.log.flow(now, &seg.flow, format_args!("searched from {first}"), || {
            format!("owner not known or gone, {} agents", self.agents.iter().count())
        });
        let place = Some(place);
        let errand = Errand::Search(Search { place, steps: 1, sure: true, scope });
        self.send(seg, service, errand, buf, first, now).await;
    }

    async fn send(
        &mut self,
        seg: &Segment,
        service: ServiceTag,
        errand: Errand,
        packet: &[u8],
        to: SocketAddrV4,
        now: Timestamp,
    ) {
        let kind = match errand {
            Errand::Search(_) => TrafficKind::Search,
            Errand::Place { .. } | Errand::Deliver | Errand::Directed { .. } => traffic_kind(seg),
        };
        let mut buf = Vec::with_capacity(packet.len() + 48);
        seal_envelope(&self.envelope(service, errand), packet, &mut buf);
        let departure = Departure { flow: seg.flow, packet: seg.into(), buf, to };
        if let Some(flow) = self.uplink.send(kind, departure, now).await {
            self.log.flow(now, &flow, "dropped", || "too much waits for the link".to_owned());
        }
    }

    fn envelope(&self, service: ServiceTag, errand: Errand) -> Envelope {
        Envelope { service, revision: self.routes.revision, origin: self.control, errand }
    }

    async fn reset(&self, flow: &FlowTuple, seq: u32) {
        let to = SocketAddrV4::new(*flow.caller().ip(), self.caller_port);
        let reset = packet::reset(flow, seq).to_vec();
        self.uplink.send_at_once(TrafficKind::Reset, reset, to).await;
    }

    /// Has a search that found nobody repeated: the caller's own next try may come too late.
    fn search_later(&self, flow: FlowTuple) {
        let again = self.again.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(MISSING_AGAIN).await;
            // Fails only when the task has ended.
            let _ = again.send(flow);
        })
        .detach();
    }

    async fn search_again(&mut self, flow: FlowTuple, scope: SearchScope, now: Timestamp) {
        let owner = self.owners.get(&flow, now);
        if owner.is_some_and(|owner| self.agents.at(owner.data).is_some()) {
            self.searches.end(&flow);
            return;
        }
        let routes = self.routes.clone();
        let Some(route) = routes.get(flow.route()) else {
            self.searches.end(&flow);
            return;
        };
        let Some(buf) = self.searches.repeat(&flow, now) else { return };
        let Ok(seg) = packet::decode(&buf, Sender::Caller) else { return };
        let service = route.shares.first().map_or(ServiceTag(0), |(s, _)| *s);
        self.send_search(&seg, service, &route.services(), &buf, scope, now).await;
    }

    /// Remembers the owner of a flow, and sends it the packets that have waited for that.
    async fn found(&mut self, flow: FlowTuple, owner: Owner, now: Timestamp) {
        self.owners.set(flow, owner, now);
        let agent = self.agents.at(owner.data).map(|agent| agent.service);
        for buf in self.searches.end(&flow) {
            if let Some(service) = agent {
                let Ok(seg) = packet::decode(&buf, Sender::Caller) else { continue };
                self.send(&seg, service, Errand::Deliver, &buf, owner.data, now).await;
            }
        }
    }

    async fn message(&mut self, message: FlowMessage, now: Timestamp) {
        match message {
            FlowMessage::Owner { flow, owner, data } => {
                self.found(flow, Owner { process: owner, data }, now).await;
            }
            FlowMessage::Missing { flow, caller_expects } => {
                if !self.owners.missing(flow, now) {
                    self.search_later(flow);
                    return;
                }
                self.searches.end(&flow);
                self.counters.missing.inc();
                self.log.flow(now, &flow, "reset", || "no agent holds it, twice".to_owned());
                self.reset(&flow, caller_expects).await;
            }
            FlowMessage::Refused { flow, placed } => {
                let owner = self.owners.get(&flow, now).map(|owner| owner.process);
                if owner == Some(placed) {
                    self.counters.refused.inc();
                    self.log.flow(now, &flow, "reset", || format!("refused behind {placed}"));
                    self.owners.forget(&flow);
                    self.reset(&flow, 0).await;
                }
            }
            FlowMessage::Records(_) | FlowMessage::AskLoad => {}
        }
    }
}
