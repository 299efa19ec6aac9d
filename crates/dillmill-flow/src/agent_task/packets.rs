//! Passes packets through an agent, and applies the verdict of the flow gate on each.

use std::net::SocketAddrV4;

use dillmill_core::flow_gate::{GateContext, RefuseReason, Verdict};
use dillmill_core::{
    Envelope, FlowTuple, OutboundDatagram, PacketPurpose, Segment, SegmentKind, Timestamp,
};
use dillmill_node::TrafficKind;
use dillmill_platform::packet::{self, Sender};
use dillmill_wire::{FlowMessage, Message, RefusalDetail, open_envelope, seal_envelope};

use super::AgentTask;
use crate::sockets;
use crate::uplink::traffic_kind;

impl AgentTask {
    pub(super) async fn handle_network_packet(&mut self, buf: Vec<u8>, now: Timestamp) {
        let Ok((envelope, packet)) = open_envelope(&buf) else {
            return self.counters.dropped.inc();
        };
        let Ok(seg) = packet::decode(packet, Sender::Caller) else {
            return self.counters.dropped.inc();
        };
        self.handle
            .metrics
            .traffic
            .received(purpose_traffic_kind(&envelope.purpose, &seg), buf.len());
        self.handle_caller_packet(&seg, packet, envelope, now).await;
    }

    /// Gets the flow gate's verdict on a caller's packet and applies it.
    pub(super) async fn handle_caller_packet(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        envelope: Envelope,
        now: Timestamp,
    ) {
        match envelope.purpose {
            PacketPurpose::Place { .. } => self.subscribe_to_reports(envelope.origin, now),
            PacketPurpose::Moved { .. } => self.counters.moved_in.inc(),
            _ => {}
        }
        let context = GateContext {
            agents: &self.agents,
            routes: &self.routes,
            settled: self.settled,
            told: self.catch_up.is_complete(),
            siblings: &self.siblings,
        };
        let verdict = self.gate.arrived(seg, &envelope, context, now);
        self.apply_verdict(verdict, seg, packet.to_vec(), now).await;
    }

    pub(super) async fn handle_target_packet(&mut self, buf: Vec<u8>, now: Timestamp) {
        let returned = packet::decode(&buf, Sender::Caller).ok().filter(|seg| seg.returned);
        if let Some(seg) = returned {
            self.counters.returned.inc();
            let context = GateContext {
                agents: &self.agents,
                routes: &self.routes,
                settled: self.settled,
                told: self.catch_up.is_complete(),
                siblings: &self.siblings,
            };
            let verdict = self.gate.returned(&seg, context, now);
            return self.apply_verdict(verdict, &seg, buf, now).await;
        }
        let Ok(seg) = packet::decode(&buf, Sender::Target) else {
            return self.counters.dropped.inc();
        };
        let observed = self.gate.answered(&seg, now);
        if let Some(record) = observed.record {
            // The flow is registered before the caller can send its next packet, which may come through a
            // balancer that does not know the owner.
            self.registrations.push(record);
            self.register_new(now);
        }
        if let Some(wait) = observed.answered {
            self.counters.answer_seconds.observe(wait.as_secs_f64());
        }
        if seg.kind == SegmentKind::Reset {
            let decided = if observed.stray_reset { "reset held back" } else { "reset passed on" };
            self.log.flow(now, &seg.flow, decided, || "the target's own".to_owned());
        }
        if observed.stray_reset {
            return self.counters.dropped.inc();
        }
        self.counters.answered.inc();
        self.send_to_caller(&seg, buf, now).await;
    }

    pub(super) async fn apply_verdict(
        &mut self,
        verdict: Verdict,
        seg: &Segment,
        packet: Vec<u8>,
        now: Timestamp,
    ) {
        match verdict {
            Verdict::Deliver { mark, tell } => {
                self.remove_from_queue(seg);
                self.log_delivery(seg, mark, now);
                self.caller_packets.keep(seg, &packet, now);
                self.deliver(packet, mark).await;
                self.notify_owner(tell, &seg.flow);
            }
            Verdict::Try { onward } => {
                self.deliver(packet.clone(), 0).await;
                Box::pin(self.apply_verdict(*onward, seg, packet, now)).await;
            }
            Verdict::Pass { to, envelope, reason } => {
                self.remove_from_queue(seg);
                match envelope.purpose {
                    PacketPurpose::Place { .. } => self.counters.passed_on.inc(),
                    PacketPurpose::Moved { .. } => self.counters.moved_out.inc(),
                    _ => self.counters.searched.inc(),
                }
                self.note_passed(&seg.flow, to, reason, &envelope.purpose, now);
                self.forward(&envelope, seg, packet, to, now).await;
                self.exchange_loads(now);
            }
            Verdict::Wait { terms, envelope, tell } => {
                self.enqueue_open(seg, packet, envelope, terms, now);
                self.notify_owner(tell, &seg.flow);
                self.exchange_loads(now);
            }
            Verdict::Missing { origin } => {
                self.log.flow(now, &seg.flow, "missing", || "no agent holds it".to_owned());
                // Only a caller that waits for an answer needs to be notified.
                if seg.wants_answer() {
                    let message = FlowMessage::Missing { flow: seg.flow, caller_expects: seg.ack };
                    self.handle.send(origin, Message::Flow(message));
                }
            }
            Verdict::Ended { caller_expects } => {
                self.log.flow(now, &seg.flow, "reset", || "its target has ended".to_owned());
                let reset = packet::reset(&seg.flow, caller_expects).to_vec();
                let to = self.caller_address(&seg.flow);
                self.uplink.send_at_once(TrafficKind::Reset, reset, to).await;
            }
            refused @ Verdict::Refuse { .. } => self.refuse(&seg.flow, &packet, &refused, now),
            Verdict::Drop => self.counters.dropped.inc(),
        }
    }

    /// Notifies a balancer that this agent owns `flow`.
    pub(super) fn notify_owner(&self, balancer: Option<SocketAddrV4>, flow: &FlowTuple) {
        let Some(balancer) = balancer else { return };
        let (owner, data) = (self.handle.process, self.gate.data());
        let message = FlowMessage::Owner { flow: *flow, owner, data };
        self.handle.send(balancer, Message::Flow(message));
    }

    pub(super) fn refuse(
        &mut self,
        flow: &FlowTuple,
        packet: &[u8],
        verdict: &Verdict,
        now: Timestamp,
    ) {
        self.refuse_with(flow, packet, verdict, "", now);
    }

    /// Tells the balancer that the flow which `packet` opens is refused; `detail` is added to the log line.
    pub(super) fn refuse_with(
        &mut self,
        flow: &FlowTuple,
        packet: &[u8],
        verdict: &Verdict,
        detail: &str,
        now: Timestamp,
    ) {
        let Verdict::Refuse { reason, origin, ref tried } = *verdict else { return };
        self.counters.refused.inc();
        let placed = tried.first().copied().unwrap_or(self.handle.process);
        let standing = self.gate.standing();
        self.log.flow(now, flow, "refused", || {
            format!("{reason:?}, target {standing:?}, placed at {placed}{detail}")
        });
        let packet = (reason == RefuseReason::NoTarget).then(|| packet.to_vec());
        let detail = RefusalDetail { tried: tried.clone(), packet };
        let message = FlowMessage::Refused { flow: *flow, placed, detail };
        self.handle.send(origin, Message::Flow(message));
    }

    pub(super) async fn deliver(&mut self, mut packet: Vec<u8>, mark: u32) {
        packet::set_mark(&mut packet, mark);
        self.counters.delivered.inc();
        if !sockets::send(&self.outbound, packet, self.target).await {
            self.counters.dropped.inc();
        }
    }

    pub(super) fn log_delivery(&mut self, seg: &Segment, mark: u32, now: Timestamp) {
        if mark == 0 {
            return;
        }
        let decided = match seg.kind {
            SegmentKind::Open { .. } => "given to the target",
            _ => "tried at the target",
        };
        let gate = &self.gate;
        self.log.flow(now, &seg.flow, decided, || {
            let (load, slots) = (gate.load(now), gate.slots());
            format!("{} requests in {slots} slots, {} flows", load.requests, load.flows)
        });
    }

    pub(super) async fn forward(
        &mut self,
        envelope: &Envelope,
        seg: &Segment,
        mut packet: Vec<u8>,
        to: SocketAddrV4,
        now: Timestamp,
    ) {
        packet::set_mark(&mut packet, 0);
        let mut buf = Vec::with_capacity(packet.len() + 64);
        seal_envelope(envelope, &packet, &mut buf);
        let departure = OutboundDatagram { flow: seg.flow, packet: seg.into(), buf, to };
        self.send_through_uplink(purpose_traffic_kind(&envelope.purpose, seg), departure, now)
            .await;
    }

    pub(super) async fn send_to_caller(&mut self, seg: &Segment, buf: Vec<u8>, now: Timestamp) {
        let to = self.caller_address(&seg.flow);
        let departure = OutboundDatagram { flow: seg.flow, packet: seg.into(), buf, to };
        self.send_through_uplink(traffic_kind(seg), departure, now).await;
    }

    pub(super) async fn send_through_uplink(
        &mut self,
        kind: TrafficKind,
        departure: OutboundDatagram,
        now: Timestamp,
    ) {
        if let Some(flow) = self.uplink.send(kind, departure, now).await {
            self.log.flow(now, &flow, "dropped", || "link queue is full".to_owned());
        }
    }

    pub(super) fn caller_address(&self, flow: &FlowTuple) -> SocketAddrV4 {
        SocketAddrV4::new(*flow.caller().ip(), self.caller_port)
    }
}

fn purpose_traffic_kind(purpose: &PacketPurpose, seg: &Segment) -> TrafficKind {
    match purpose {
        PacketPurpose::Search(_) | PacketPurpose::Directed { .. } => TrafficKind::Search,
        PacketPurpose::Place { .. } | PacketPurpose::Moved { .. } | PacketPurpose::Deliver => {
            traffic_kind(seg)
        }
    }
}
