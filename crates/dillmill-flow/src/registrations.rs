//! Records of a target's flows on their way to the directories.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use dillmill_core::{AgentTable, FlowRecord, ProcessId};
use dillmill_node::NodeHandle;
use dillmill_wire::{FlowMessage, Message};

/// Records in one datagram: some 35 bytes each.
const RECORDS_PER_DATAGRAM: usize = 32;

/// Collects records between two ticks.
#[derive(Debug, Default)]
pub struct Registrations {
    pending: Vec<FlowRecord>,
}

impl Registrations {
    /// Adds the record of a new flow.
    pub fn push(&mut self, record: FlowRecord) {
        self.pending.push(record);
    }

    /// Adds the records of open flows whose directories differ between two tables.
    pub fn moved(&mut self, open: Vec<FlowRecord>, before: &AgentTable, after: &AgentTable) {
        let directories = |table: &AgentTable, record: &FlowRecord| -> Vec<ProcessId> {
            table.directory(&record.flow).iter().map(|a| a.process).collect()
        };
        let moved = |record: &FlowRecord| directories(before, record) != directories(after, record);
        self.pending.extend(open.into_iter().filter(moved));
    }

    /// Sends what has been collected.
    pub fn flush(&mut self, agents: &AgentTable, handle: &NodeHandle) {
        let mut by_directory: BTreeMap<SocketAddrV4, Vec<FlowRecord>> = BTreeMap::new();
        for record in self.pending.drain(..) {
            for agent in agents.directory(&record.flow) {
                if agent.process != handle.process {
                    by_directory.entry(agent.control).or_default().push(record);
                }
            }
        }
        for (to, records) in by_directory {
            for chunk in records.chunks(RECORDS_PER_DATAGRAM) {
                handle.send(to, Message::Flow(FlowMessage::Records(chunk.to_vec())));
            }
        }
    }
}
