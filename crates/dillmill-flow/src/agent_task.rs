//! Takes packets for a target and from it, and carries out what the gate decides.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use dillmill_core::flow_gate::{Known, TargetPresence, TargetStanding, Verdict};
use dillmill_core::flow_placement::REPORT_EVERY;
use dillmill_core::open_queue::{self, WaitingOpen};
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    AgentTable, Envelope, Errand, EventKind, FlowGate, FlowTuple, OpenQueue, PauseWatch, Role,
    RouteTable, Segment, SegmentKind, ServiceName, ServiceTag, Slots, Timestamp, Weight, ZoneName,
};
use dillmill_node::{NodeHandle, View, Views};
use dillmill_platform::endpoint::Accepted;
use dillmill_platform::packet::{self, Sender};
use dillmill_platform::{EndpointCall, Heartbeat, ProcessSettings, TargetCall, TargetState};
use dillmill_wire::{FlowMessage, Message, open_envelope, seal_envelope};
use futures_util::stream::{self, StreamExt};

use crate::decision_log::DecisionLog;
use crate::flow_metrics::AgentCounters;
use crate::presence;
use crate::registrations::Registrations;
use crate::sockets::{self, datagrams, ticks};

/// Time between two looks at what is due to be sent. Each wake-up costs; what can't wait is sent at once.
const TICK: Duration = Duration::from_millis(100);
/// A balancer that has sent no new flow for this long gets no more reports.
const REPORT_WHILE: Duration = Duration::from_secs(2);
/// Reports without a new flow since the last one come this much further apart.
const REPORT_IDLE: Duration = Duration::from_millis(200);
/// A stop waits at least this long, so that all balancers have heard of it.
const STOP_MIN: Duration = Duration::from_millis(300);

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
    Tick,
}

/// A run of the target.
#[derive(Debug)]
struct TargetRun {
    id: String,
    last_number: u64,
}

/// A balancer that sends new flows here.
#[derive(Debug, Clone, Copy)]
struct Origin {
    last_flow: Timestamp,
    last_report: Timestamp,
    reported: LoadReport,
    due: bool,
}

/// Owns both sockets of an agent and the gate before its target.
pub struct AgentTask {
    handle: NodeHandle,
    views: Views,
    packets: UdpSocket,
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
    origins: HashMap<SocketAddrV4, Origin>,
    run: Option<TargetRun>,
    silent: bool,
    /// Opening packets that wait for the target.
    opens: OpenQueue,
    /// The others have been told that no flow is here.
    empty: bool,
    pauses: PauseWatch,
    stopping: Option<(StopRequest, Timestamp)>,
}

impl AgentTask {
    /// Creates the task of an agent.
    #[must_use]
    pub fn new(
        handle: NodeHandle,
        packets: UdpSocket,
        outbound: UdpSocket,
        target: SocketAddrV4,
        service: ServiceName,
        settings: &ProcessSettings,
        counters: AgentCounters,
    ) -> Self {
        let now = handle.clock.now();
        let tag = ServiceTag::from(&service);
        Self {
            gate: FlowGate::new(handle.process, settings.packets, tag, now)
                .heartbeat_every(settings.heartbeat_every),
            log: DecisionLog::new(handle.journal.clone(), now),
            views: handle.views(),
            handle,
            packets,
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
            origins: HashMap::new(),
            run: None,
            silent: false,
            opens: OpenQueue::default(),
            empty: false,
            pauses: PauseWatch::new(TICK * 2),
            stopping: None,
        }
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
            stream::once(presence::look(self.target)).map(Event::Presence).boxed_local(),
            ticks(TICK).map(|()| Event::Tick).boxed_local(),
        ]);
        while let Some(event) = events.next().await {
            let now = self.handle.clock.now();
            if self.pauses.was_paused(now) {
                // What the target has answered meanwhile waits in the socket.
                self.gate.heard();
            }
            if let Some(view) = self.views.newer() {
                self.take_view(&view);
            }
            match event {
                Event::FromNetwork(buf) => self.take_from_network(buf, now).await,
                Event::FromTarget(buf) => self.take_from_target(buf, now).await,
                Event::Flow(from, message) => self.message(from, message, now),
                Event::Call(call) => self.call(call, now).await,
                Event::Stop(request) => self.stop(request, now),
                Event::Presence(presence) => self.take_presence(presence),
                Event::Tick => {
                    self.serve_waiting(now).await;
                    self.tick(now);
                }
            }
        }
    }

    fn take_view(&mut self, view: &View) {
        self.settled = view.settled;
        let agents = AgentTable::new(view.members.iter(), &self.zone);
        if agents != self.agents {
            self.registrations.moved(self.gate.records(), &self.agents, &agents);
            self.agents = agents;
        }
        if let Some(routes) = &view.routes
            && routes.revision() > self.routes.revision
        {
            self.routes = Arc::new(routes.table().after(&self.routes));
        }
    }

    async fn take_from_network(&mut self, buf: Vec<u8>, now: Timestamp) {
        let Ok((envelope, packet)) = open_envelope(&buf) else {
            return self.counters.dropped.inc();
        };
        let Ok(seg) = packet::decode(packet, Sender::Caller) else {
            return self.counters.dropped.inc();
        };
        if matches!(envelope.errand, Errand::Place { .. }) {
            self.note_origin(envelope.origin, now);
        }
        let known = Known { agents: &self.agents, routes: &self.routes, settled: self.settled };
        let verdict = self.gate.arrived(&seg, &envelope, known, now);
        self.carry_out(verdict, &seg, packet.to_vec(), now).await;
    }

    async fn take_from_target(&mut self, buf: Vec<u8>, now: Timestamp) {
        let returned = packet::decode(&buf, Sender::Caller).ok().filter(|seg| seg.returned);
        if let Some(seg) = returned {
            self.counters.returned.inc();
            let known = Known { agents: &self.agents, routes: &self.routes, settled: self.settled };
            let verdict = self.gate.returned(&seg, known, now);
            return self.carry_out(verdict, &seg, buf, now).await;
        }
        let Ok(seg) = packet::decode(&buf, Sender::Target) else {
            return self.counters.dropped.inc();
        };
        let noted = self.gate.answered(&seg, now);
        if let Some(record) = noted.record {
            self.registrations.push(record);
        }
        if let Some(wait) = noted.answered {
            self.counters.answer_seconds.observe(wait.as_secs_f64());
        }
        if seg.kind == SegmentKind::Reset {
            let decided = if noted.stray_reset { "reset held back" } else { "reset passed on" };
            self.log.flow(now, &seg.flow, decided, || "the target's own".to_owned());
        }
        if noted.stray_reset {
            return self.counters.dropped.inc();
        }
        self.counters.answered.inc();
        self.send_to_caller(&seg.flow, buf).await;
        self.serve_waiting(now).await;
    }

    async fn carry_out(
        &mut self,
        verdict: Verdict,
        seg: &Segment,
        packet: Vec<u8>,
        now: Timestamp,
    ) {
        match verdict {
            Verdict::Deliver { mark, tell } => {
                self.no_longer_waits(seg);
                self.log_delivery(seg, mark, now);
                self.deliver(packet, mark).await;
                if let Some(balancer) = tell {
                    let (owner, data) = (self.handle.process, self.gate.data());
                    let message = FlowMessage::Owner { flow: seg.flow, owner, data };
                    self.handle.send(balancer, Message::Flow(message));
                }
            }
            Verdict::Try { onward } => {
                self.deliver(packet.clone(), 0).await;
                Box::pin(self.carry_out(*onward, seg, packet, now)).await;
            }
            Verdict::Pass { to, envelope, reason } => {
                self.no_longer_waits(seg);
                if matches!(envelope.errand, Errand::Place { .. }) {
                    self.counters.passed_on.inc();
                } else {
                    self.counters.searched.inc();
                }
                self.log.flow(now, &seg.flow, format_args!("passed to {to}"), || {
                    format!("{reason:?}, {:?}", envelope.errand)
                });
                self.pass(&envelope, packet, to).await;
            }
            Verdict::Wait { limit, envelope } => self.wait(seg, packet, envelope, limit, now),
            Verdict::Missing { origin } => {
                self.log.flow(now, &seg.flow, "missing", || "no agent holds it".to_owned());
                // Only a caller that waits for something needs to know.
                if seg.wants_answer() {
                    let message = FlowMessage::Missing { flow: seg.flow, caller_expects: seg.ack };
                    self.handle.send(origin, Message::Flow(message));
                }
            }
            refused @ Verdict::Refuse { .. } => self.refuse(&seg.flow, &refused, now),
            Verdict::Drop => self.counters.dropped.inc(),
        }
    }

    fn refuse(&mut self, flow: &FlowTuple, verdict: &Verdict, now: Timestamp) {
        let Verdict::Refuse { reason, origin, placed } = *verdict else { return };
        self.counters.refused.inc();
        let standing = self.gate.standing();
        self.log.flow(now, flow, "refused", || {
            format!("{reason:?}, target {standing:?}, placed at {placed}")
        });
        self.handle.send(origin, Message::Flow(FlowMessage::Refused { flow: *flow, placed }));
    }

    /// Lets an opening packet wait for the target.
    fn wait(
        &mut self,
        seg: &Segment,
        packet: Vec<u8>,
        envelope: Envelope,
        limit: Duration,
        now: Timestamp,
    ) {
        let SegmentKind::Open { copies } = seg.kind else { return };
        let (waiting, load) = (self.opens.len(), self.gate.load(now));
        self.log.flow(now, &seg.flow, "waits", || {
            format!("{} requests at the target, {waiting} wait, copies {copies}", load.requests)
        });
        let since = open_queue::waiting_since(copies, now);
        let open = WaitingOpen { flow: seg.flow, packet, envelope, limit, since };
        if let Some(refused) = self.opens.push(open) {
            self.give_up(&refused, now);
        }
    }

    fn no_longer_waits(&mut self, seg: &Segment) {
        if matches!(seg.kind, SegmentKind::Open { .. }) && !self.opens.is_empty() {
            self.opens.remove(&seg.flow);
        }
    }

    /// Refuses an opening packet that has waited: it has not reached the target.
    fn give_up(&mut self, open: &WaitingOpen, now: Timestamp) {
        let verdict = self.gate.refuse_waiting(&open.envelope);
        self.refuse(&open.flow, &verdict, now);
    }

    /// Takes on what waits and has its turn, or passes all of it on when the target takes nothing new.
    async fn serve_waiting(&mut self, now: Timestamp) {
        if self.opens.is_empty() {
            return;
        }
        for open in self.opens.take_expired(now) {
            self.give_up(&open, now);
        }
        if !self.gate.takes_new(now) {
            for open in self.opens.take_all() {
                self.place_again(open, now).await;
            }
            return;
        }
        loop {
            let (ahead, idle) = (self.gate.work_ahead(now), self.gate.has_idle_slot(now));
            let Some(open) = self.opens.take(ahead, idle, now) else { return };
            let waiting = self.opens.len();
            self.place_again(open, now).await;
            if self.opens.len() > waiting {
                return;
            }
        }
    }

    /// Decides anew on an opening packet that has waited, by what is known now.
    async fn place_again(&mut self, open: WaitingOpen, now: Timestamp) {
        let Ok(seg) = packet::decode(&open.packet, Sender::Caller) else { return };
        let known = Known { agents: &self.agents, routes: &self.routes, settled: self.settled };
        let verdict = self.gate.arrived(&seg, &open.envelope, known, now);
        Box::pin(self.carry_out(verdict, &seg, open.packet, now)).await;
    }

    async fn deliver(&mut self, mut packet: Vec<u8>, mark: u32) {
        packet::set_mark(&mut packet, mark);
        self.counters.delivered.inc();
        if !sockets::send(&self.outbound, packet, self.target).await {
            self.counters.dropped.inc();
        }
    }

    fn log_delivery(&mut self, seg: &Segment, mark: u32, now: Timestamp) {
        if mark == 0 {
            return;
        }
        let decided = match seg.kind {
            SegmentKind::Open { .. } => "given to the target",
            _ => "tried at the target",
        };
        let load = self.gate.load(now);
        let slots = self.gate.slots();
        self.log.flow(now, &seg.flow, decided, || {
            format!("{} requests in {slots} slots, {} flows", load.requests, load.flows)
        });
    }

    async fn pass(&self, envelope: &Envelope, mut packet: Vec<u8>, to: SocketAddrV4) {
        packet::set_mark(&mut packet, 0);
        let mut buf = Vec::with_capacity(packet.len() + 64);
        seal_envelope(envelope, &packet, &mut buf);
        if !sockets::send(&self.packets, buf, to).await {
            self.counters.dropped.inc();
        }
    }

    async fn send_to_caller(&self, flow: &FlowTuple, packet: Vec<u8>) {
        let to = SocketAddrV4::new(*flow.caller().ip(), self.caller_port);
        if !sockets::send(&self.packets, packet, to).await {
            self.counters.dropped.inc();
        }
    }

    fn message(&mut self, from: SocketAddrV4, message: FlowMessage, now: Timestamp) {
        match message {
            FlowMessage::Records(records) => {
                for record in records {
                    self.gate.register(record, now);
                }
            }
            FlowMessage::AskLoad => {
                self.handle.send(from, Message::Load(self.report(now)));
            }
            FlowMessage::Owner { .. }
            | FlowMessage::Missing { .. }
            | FlowMessage::Refused { .. } => {}
        }
    }

    fn report(&self, now: Timestamp) -> LoadReport {
        let load = self.gate.load(now);
        let slots = if self.gate.takes_new(now) { self.gate.slots() } else { 0 };
        let in_use = load.requests.min(u32::from(self.gate.slots()));
        let count = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            process: self.handle.process,
            slots: Slots(slots),
            in_use: count(in_use),
            queued: count(load.requests - in_use),
            flows: load.flows,
        }
    }

    fn note_origin(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        let idle = LoadReport::idle(self.handle.process, 0);
        let origin = self.origins.entry(balancer).or_insert(Origin {
            last_flow: now,
            last_report: Timestamp::default(),
            reported: idle,
            due: true,
        });
        origin.last_flow = now;
        origin.due = true;
        if now.since(origin.last_report) >= REPORT_EVERY {
            self.report_to(balancer, now);
        }
    }

    fn report_to(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        let report = self.report(now);
        if let Some(origin) = self.origins.get_mut(&balancer) {
            origin.last_report = now;
            origin.reported = report;
            origin.due = false;
        }
        self.handle.send(balancer, Message::Load(report));
    }

    fn tick(&mut self, now: Timestamp) {
        self.registrations.flush(&self.agents, &self.handle);
        let report = self.report(now);
        self.counters.requests.set(i64::from(report.in_use) + i64::from(report.queued));
        self.handle.metrics.flows.set(i64::from(report.flows));
        self.origins.retain(|_, origin| now.since(origin.last_flow) < REPORT_WHILE);
        let due: Vec<SocketAddrV4> = self
            .origins
            .iter()
            .filter(|(_, o)| {
                let age = now.since(o.last_report);
                o.due || (o.reported != report && age >= REPORT_IDLE)
            })
            .map(|(balancer, _)| *balancer)
            .collect();
        for balancer in due {
            self.report_to(balancer, now);
        }
        self.watch_silence(now);
        self.watch_emptiness(now);
        self.finish_stop(now);
    }

    fn take_presence(&mut self, presence: TargetPresence) {
        let standing = self.gate.standing();
        self.gate.set_presence(presence);
        let what = format!("target at {} {presence:?}", self.target);
        let cause = format!("attempt to connect, standing {standing:?}");
        self.handle.journal.record(EventKind::Member, what, cause);
    }

    fn stop(&mut self, request: StopRequest, now: Timestamp) {
        self.gate.stop();
        self.handle.leave();
        self.stopping = Some((request, now));
    }

    fn finish_stop(&mut self, now: Timestamp) {
        let Some((request, since)) = &self.stopping else { return };
        let heard = now.since(*since) >= STOP_MIN || self.gate.standing() == TargetStanding::Gone;
        if heard && self.gate.load(now).requests == 0 {
            let _ = request.done.send(self.gate.has_no_target(now));
            self.stopping = None;
        }
    }

    async fn call(&mut self, call: EndpointCall, now: Timestamp) {
        match call {
            EndpointCall::Ready(tx) => {
                let ready = self.gate.takes_new(now) && !self.routes.is_empty();
                let _ = tx.send(if ready { Accepted::Yes } else { Accepted::No });
            }
            EndpointCall::Target(TargetCall::Heartbeat { id, heartbeat }, tx) => {
                let lost = self.heartbeat(&id, &heartbeat);
                let _ = tx.send(Accepted::Yes);
                self.reset_lost(lost, now).await;
            }
            EndpointCall::Target(TargetCall::Leave { id }, tx) => {
                if self.run.as_ref().is_none_or(|run| run.id == id) {
                    self.set_standing(TargetStanding::Gone, self.gate.slots(), &id, "its own word");
                }
                let _ = tx.send(Accepted::Yes);
            }
            EndpointCall::Malformed { what } => {
                self.handle.journal.record(EventKind::Member, "heartbeat refused", what);
            }
        }
    }

    /// Tells the callers whose flows have ended with a run of the target.
    async fn reset_lost(&mut self, lost: Vec<(FlowTuple, u32)>, now: Timestamp) {
        for (flow, caller_expects) in lost {
            self.log.flow(now, &flow, "reset", || "its target has ended".to_owned());
            self.send_to_caller(&flow, packet::reset(&flow, caller_expects).to_vec()).await;
        }
    }

    /// Takes a heartbeat in; returns the flows that ended with an earlier run of the target.
    fn heartbeat(&mut self, id: &str, heartbeat: &Heartbeat) -> Vec<(FlowTuple, u32)> {
        let same = self.run.as_ref().filter(|run| run.id == id);
        let lost = match same.map(|run| run.last_number) {
            // A late one must not bring an earlier state back.
            Some(last) if heartbeat.number <= last => return Vec::new(),
            Some(_) => Vec::new(),
            None => self.new_run(id, heartbeat),
        };
        self.gate.heard();
        self.run = Some(TargetRun { id: id.to_owned(), last_number: heartbeat.number });
        self.gate.set_cold(heartbeat.cold_ms > 0);
        let standing = match heartbeat.state {
            TargetState::Ready => TargetStanding::Ready,
            TargetState::Draining => TargetStanding::Leaving,
        };
        let cause = format!("heartbeat {}", heartbeat.number);
        self.set_standing(standing, heartbeat.slots, id, &cause);
        lost
    }

    /// Takes in the first heartbeat of a run of the target.
    fn new_run(&mut self, id: &str, heartbeat: &Heartbeat) -> Vec<(FlowTuple, u32)> {
        let first = self.run.is_none();
        let what = format!("target {id} of {}", heartbeat.service);
        let cause = format!("heartbeat {}, first run here: {first}", heartbeat.number);
        self.handle.journal.record(EventKind::Member, what, cause);
        let other_service = heartbeat.service != self.service;
        if other_service {
            let what = format!("service {} -> {}", self.service, heartbeat.service);
            self.handle.journal.record(EventKind::Member, what, format!("heartbeat of {id}"));
            self.service = heartbeat.service.clone();
            let service = self.service.clone();
            self.handle.update_me(move |me| me.role = Role::Agent(service));
        }
        // A target whose first heartbeat came here has started after this agent did.
        if !first || other_service || heartbeat.number <= 1 {
            return self.gate.new_target(ServiceTag::from(&self.service));
        }
        Vec::new()
    }

    /// Says so when the target falls silent, and when it speaks again.
    fn watch_silence(&mut self, now: Timestamp) {
        let silent = self.gate.target_silent(now);
        if silent == self.silent {
            return;
        }
        self.silent = silent;
        let what = if silent { "target silent" } else { "target answers again" };
        let standing = self.gate.standing();
        self.handle.journal.record(EventKind::Member, what, format!("standing {standing:?}"));
        if silent {
            self.handle.leave();
        } else if self.gate.takes_new(now) && standing == TargetStanding::Ready {
            self.handle.serve();
        }
    }

    /// Says so when there is no target, so that nobody searches for flows here.
    fn watch_emptiness(&mut self, now: Timestamp) {
        if !self.empty && self.gate.is_empty(now) {
            self.empty = true;
            self.handle.update_me(|me| me.weight = Weight(0));
            self.handle.empty();
        }
    }

    fn set_standing(&mut self, standing: TargetStanding, slots: u16, id: &str, cause: &str) {
        let before = self.gate.standing();
        let slots_before = self.gate.slots();
        self.gate.set_standing(standing, slots);
        let was_empty = standing != TargetStanding::Gone && std::mem::take(&mut self.empty);
        if slots != slots_before || before == TargetStanding::Unknown || was_empty {
            self.handle.update_me(move |me| me.weight = Weight(slots));
        }
        if before == standing {
            return;
        }
        let what = format!("target {id} {before:?} -> {standing:?}");
        self.handle.journal.record(EventKind::Member, what, cause.to_owned());
        match standing {
            TargetStanding::Ready if self.stopping.is_none() => self.handle.serve(),
            TargetStanding::Leaving | TargetStanding::Gone => self.handle.leave(),
            TargetStanding::Ready | TargetStanding::Unknown => {}
        }
    }
}
