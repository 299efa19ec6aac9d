//! Shares the load of the target with the agents of the same service: exchanges loads with siblings, and
//! moves waiting opening packets to them.
//!
//! | Message | Sent |
//! |---|---|
//! | `AskLoad` | by an agent under pressure to a sibling that has not exchanged loads before, as earlier versions know it |
//! | `LoadExchange` with `reply` | by an agent under pressure, and to a sibling that has sent `AskLoad` |
//! | `LoadExchange` without `reply` | in answer to one with `reply` |

use std::net::SocketAddrV4;

use dillmill_core::flow_gate::{GateContext, PassReason};
use dillmill_core::placement::LoadReport;
use dillmill_core::{AgentLoad, ExchangePeer, FlowTuple, PacketPurpose, Timestamp};
use dillmill_platform::packet::{self, Sender};
use dillmill_wire::{FlowMessage, Message};
use rand::Rng;

use super::AgentTask;
use crate::decision_log::format_millis;

impl AgentTask {
    /// Sends the agent's load to two siblings, if the agent is under pressure and an exchange is due.
    pub(super) fn exchange_loads(&mut self, now: Timestamp) {
        let service = self.gate.service();
        if !self.exchanges.due(now)
            || !self.gate.under_pressure(now)
            || !self.routes.shares_load(service)
        {
            return;
        }
        let me = self.handle.process;
        let mut draw = |below: usize| rand::rng().random_range(0..below);
        for peer in self.exchanges.begin(me, service, &self.agents, now, &mut draw) {
            self.contact_sibling(peer, now);
        }
    }

    fn contact_sibling(&mut self, peer: ExchangePeer, now: Timestamp) {
        if peer.known {
            self.send_load(peer.control, true, now);
        } else {
            self.handle.send(peer.control, Message::Flow(FlowMessage::AskLoad));
        }
    }

    fn send_load(&mut self, to: SocketAddrV4, reply: bool, now: Timestamp) {
        let report = self.current_load(now);
        self.counters.exchanges.inc();
        self.handle.send(to, Message::Flow(FlowMessage::LoadExchange { reply, report }));
    }

    /// Answers a request for the load. An agent that asks knows load exchanges, a balancer gets a report.
    pub(super) fn answer_load_request(&mut self, from: SocketAddrV4, now: Timestamp) {
        if self.agents.iter().any(|agent| agent.control == from) {
            if self.exchanges.may_reply(now) {
                self.send_load(from, true, now);
            }
            return;
        }
        let report = self.current_load(now);
        self.handle.send(from, Message::Load(report));
    }

    /// Records the load of a sibling, replies if asked, and moves packets that the sibling serves sooner.
    pub(super) async fn handle_load_exchange(
        &mut self,
        from: SocketAddrV4,
        report: LoadReport,
        reply: bool,
        now: Timestamp,
    ) {
        if self.agents.get(report.process).is_none_or(|agent| agent.control != from) {
            return;
        }
        let first = self.exchanges.note_known(report.process);
        self.siblings.record(report, now);
        if reply && (first || self.exchanges.may_reply(now)) {
            self.send_load(from, false, now);
        }
        self.move_waiting(now).await;
    }

    async fn move_waiting(&mut self, now: Timestamp) {
        loop {
            let context = GateContext {
                agents: &self.agents,
                routes: &self.routes,
                settled: self.settled,
                told: self.catch_up.is_complete(),
                siblings: &self.siblings,
            };
            let Some((open, verdict)) = self.gate.next_moved(context, now) else { return };
            let Ok(seg) = packet::decode(&open.packet, Sender::Caller) else { continue };
            self.apply_verdict(verdict, &seg, open.packet, now).await;
        }
    }

    /// Logs that a packet goes to another agent. An opening packet that goes to a sibling because of the
    /// target's load is added to the load of the sibling.
    pub(super) fn note_passed(
        &mut self,
        flow: &FlowTuple,
        to: SocketAddrV4,
        reason: PassReason,
        purpose: &PacketPurpose,
        now: Timestamp,
    ) {
        let by_load = matches!(reason, PassReason::Full | PassReason::Crowded | PassReason::Moved);
        let process = self.agents.at(to).map(|agent| agent.process).filter(|_| by_load);
        let known = process.and_then(|process| self.siblings.get(process, now)).copied();
        match (reason, known) {
            (PassReason::Full | PassReason::Crowded, Some(_)) => self.counters.passed_by_load.inc(),
            (PassReason::Full | PassReason::Crowded, None) => self.counters.passed_blind.inc(),
            _ => {}
        }
        let decided = if reason == PassReason::Moved { "moved" } else { "passed" };
        let gate = &self.gate;
        self.log.flow(now, flow, format_args!("{decided} to {to}"), || match known {
            Some(known) => {
                let waits = waits(&gate.agent_load(now), &known.load(), known.at(), now);
                format!("{reason:?}, {purpose:?}, {waits}")
            }
            None => format!("{reason:?}, {purpose:?}"),
        });
        if let Some(process) = process {
            self.siblings.note_sent(process);
        }
    }
}

fn waits(own: &AgentLoad, sibling: &AgentLoad, reported: Timestamp, now: Timestamp) -> String {
    format!(
        "wait here {}, at the sibling {}, reported {} ago",
        format_millis(own.wait_of_next()),
        format_millis(sibling.wait_of_next()),
        format_millis(now.since(reported)),
    )
}
