//! Exchange of flow records: an agent stores records for other agents, and registers its own flows with
//! them.

use std::net::SocketAddrV4;

use dillmill_core::{RecordBatch, Timestamp};
use dillmill_wire::{FlowMessage, Message};

use super::AgentTask;

impl AgentTask {
    pub(super) fn handle_flow_message(
        &mut self,
        from: SocketAddrV4,
        message: FlowMessage,
        now: Timestamp,
    ) {
        match message {
            FlowMessage::Records { number, records } => {
                for record in records {
                    self.gate.register(record, now);
                }
                self.handle.send(from, Message::Flow(FlowMessage::RecordsAck { number }));
            }
            FlowMessage::RecordsAck { number } => self.registrations.acknowledged(from, number),
            FlowMessage::AskRecords { .. } => {
                let accepted = self.gate.records();
                let batches = self.registrations.records_for(accepted, &self.agents, from, now);
                self.send_records(batches);
                let process = self.handle.process;
                self.handle.send(from, Message::Flow(FlowMessage::RecordsComplete { process }));
            }
            FlowMessage::RecordsComplete { process } => self.catch_up.answered(process),
            FlowMessage::AskLoad => self.answer_load_request(from, now),
            FlowMessage::Owner { .. }
            | FlowMessage::LoadExchange { .. }
            | FlowMessage::Missing { .. }
            | FlowMessage::Refused { .. } => {}
        }
    }

    /// Requests from agents the records that this agent should hold but has not received, because it
    /// became a directory after those flows began.
    pub(super) fn catch_up(&mut self, now: Timestamp) {
        if self.settled {
            self.catch_up.begin(&self.agents, self.handle.process, self.directory_since);
        }
        for to in self.catch_up.take_due(&self.agents, now) {
            self.handle.ask_records(to);
        }
    }

    /// Sends to the directories the records of flows that are new, or new to a directory.
    pub(super) fn register_new(&mut self, now: Timestamp) {
        let new = self.registrations.take_new(&self.agents, self.handle.process, now);
        self.send_records(new);
    }

    pub(super) fn send_records(&self, batches: Vec<RecordBatch>) {
        for RecordBatch { to, number, records } in batches {
            self.handle.send(to, Message::Flow(FlowMessage::Records { number, records }));
        }
    }
}
