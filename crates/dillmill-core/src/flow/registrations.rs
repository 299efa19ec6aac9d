//! Sends records of a target's flows to their directories, and sends them again until they are
//! acknowledged.
//!
//! A search relies on the statement of a directory that an agent does not hold a flow, so no record
//! may get lost.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::{AgentTable, FlowRecord, ProcessId, Timestamp};

/// Number of records in one datagram, some 35 bytes each.
const RECORDS_PER_BATCH: usize = 32;
/// Time until an unacknowledged batch is sent again. It doubles with each attempt.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// Number of times that a batch is sent, over some 6 s: longer than most pauses of a process.
const MAX_ATTEMPTS: u32 = 6;
/// Maximum number of batches that wait for an acknowledgement. The oldest are given up first.
const MAX_UNACKNOWLEDGED: usize = 4096;

/// A batch of records for one directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordBatch {
    /// Control address of the directory.
    pub to: SocketAddrV4,
    /// Number of the batch, which the directory acknowledges.
    pub number: u32,
    /// The records.
    pub records: Vec<FlowRecord>,
}

#[derive(Debug)]
struct Unacknowledged {
    batch: RecordBatch,
    due: Timestamp,
    attempts: u32,
}

/// The records of an agent's flows that their directories have not acknowledged yet.
#[derive(Debug, Default)]
pub struct Registrations {
    pending: Vec<FlowRecord>,
    unacknowledged: VecDeque<Unacknowledged>,
    last_number: u32,
}

impl Registrations {
    /// Adds the record of a new flow.
    pub fn push(&mut self, record: FlowRecord) {
        self.pending.push(record);
    }

    /// Adds the records of open flows whose directories differ between two tables.
    pub fn push_moved(&mut self, open: Vec<FlowRecord>, before: &AgentTable, after: &AgentTable) {
        let directories_changed = |record: &FlowRecord| {
            let [before, after] = [before, after].map(|t| t.directory(&record.flow));
            !before.map(|a| a.process).eq(after.map(|a| a.process))
        };
        self.pending.extend(open.into_iter().filter(directories_changed));
    }

    /// Returns the new records in batches for their directories, `me` left out.
    pub fn take_new(
        &mut self,
        agents: &AgentTable,
        me: ProcessId,
        now: Timestamp,
    ) -> Vec<RecordBatch> {
        let mut by_directory: BTreeMap<SocketAddrV4, Vec<FlowRecord>> = BTreeMap::new();
        for record in self.pending.drain(..) {
            for agent in agents.directory(&record.flow).filter(|a| a.process != me) {
                by_directory.entry(agent.control).or_default().push(record);
            }
        }
        let mut batches = Vec::new();
        for (to, records) in by_directory {
            batches.extend(self.batches(to, &records, now));
        }
        batches
    }

    /// Returns the records of those `accepted` flows that the directory at `to` records or may be
    /// asked for.
    pub fn records_for(
        &mut self,
        accepted: Vec<FlowRecord>,
        agents: &AgentTable,
        to: SocketAddrV4,
        now: Timestamp,
    ) -> Vec<RecordBatch> {
        let its = accepted.into_iter().filter(|record| agents.may_be_asked(&record.flow, to));
        let its: Vec<FlowRecord> = its.collect();
        self.batches(to, &its, now)
    }

    fn batches(
        &mut self,
        to: SocketAddrV4,
        records: &[FlowRecord],
        now: Timestamp,
    ) -> Vec<RecordBatch> {
        let mut batches = Vec::new();
        for chunk in records.chunks(RECORDS_PER_BATCH) {
            self.last_number = self.last_number.wrapping_add(1);
            let batch = RecordBatch { to, number: self.last_number, records: chunk.to_vec() };
            batches.push(batch.clone());
            let due = now + RESEND_DELAY;
            self.unacknowledged.push_back(Unacknowledged { batch, due, attempts: 1 });
        }
        let over = self.unacknowledged.len().saturating_sub(MAX_UNACKNOWLEDGED);
        self.unacknowledged.drain(..over);
        batches
    }

    /// Returns the batches that are due to be sent again, and gives up those that were sent too
    /// often.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<RecordBatch> {
        let mut batches = Vec::new();
        self.unacknowledged.retain_mut(|waiting| {
            if waiting.due > now {
                return true;
            }
            if waiting.attempts >= MAX_ATTEMPTS {
                return false;
            }
            waiting.due = now + RESEND_DELAY * 2_u32.pow(waiting.attempts);
            waiting.attempts += 1;
            batches.push(waiting.batch.clone());
            true
        });
        batches
    }

    /// Notes that the directory at `from` has acknowledged the batch `number`.
    pub fn acknowledged(&mut self, from: SocketAddrV4, number: u32) {
        self.unacknowledged.retain(|w| w.batch.number != number || w.batch.to != from);
    }

    /// Returns the number of batches that wait for an acknowledgement.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        self.unacknowledged.len()
    }
}
