//! Hands records over from one agent to others.

use std::collections::BTreeMap;

use super::{ClaimLedger, Record, RecordState};
use crate::Timestamp;
use crate::claims::answer::{HandoverRecord, HandoverState, Phase};
use crate::claims::ring::{RingMember, ranked};

impl ClaimLedger {
    /// Returns the records that this agent hands over, grouped by receiver.
    ///
    /// Each record goes to two other agents, first to its authority, so that it survives the loss of one
    /// of them. Must be called after this agent has adopted the ring whose authorities are to get the
    /// records. If this agent is `leaving`, that is a ring without it.
    #[must_use]
    pub fn hand_over(&self, leaving: bool) -> BTreeMap<RingMember, Vec<HandoverRecord>> {
        let mut batches: BTreeMap<RingMember, Vec<HandoverRecord>> = BTreeMap::new();
        for (key, record) in &self.records {
            let state = match record.state {
                RecordState::Granted(epoch) => HandoverState::Granted(epoch),
                // The outcome of a request still in flight when the agent leaves will never be known.
                RecordState::Dispatched(Phase::InFlight) if leaving => {
                    HandoverState::DispatchedByLeaver(Phase::Unknown)
                }
                RecordState::Dispatched(phase) if leaving => {
                    HandoverState::DispatchedByLeaver(phase)
                }
                RecordState::Dispatched(_) | RecordState::DispatchedElsewhere => {
                    HandoverState::Dispatched
                }
            };
            let mut successors = ranked(&self.ring.members, *key);
            successors.retain(|m| m.process != self.me.process);
            let Some(first) = successors.first().copied() else { continue };
            let handed = HandoverRecord { key: *key, holder: record.holder, state };
            batches.entry(first).or_default().push(handed);
            if let Some(second) = successors.get(1) {
                let copy = match state {
                    HandoverState::DispatchedByLeaver(_) => {
                        HandoverRecord { holder: first, state: HandoverState::Dispatched, ..handed }
                    }
                    HandoverState::Granted(_) | HandoverState::Dispatched => handed,
                };
                batches.entry(*second).or_default().push(copy);
            }
        }
        batches
    }

    /// Takes over records from another agent.
    pub fn take_over(&mut self, records: &[HandoverRecord], now: Timestamp) {
        for handed in records {
            let (holder, state) = match handed.state {
                HandoverState::Granted(epoch) => (handed.holder, RecordState::Granted(epoch)),
                HandoverState::Dispatched => (handed.holder, RecordState::DispatchedElsewhere),
                HandoverState::DispatchedByLeaver(phase) => {
                    (self.me, RecordState::Dispatched(phase))
                }
            };
            let known = self.records.get(&handed.key);
            let replaces = match handed.state {
                // This agent's record of its own dispatch is the most reliable one.
                _ if self.phase(handed.key).is_some() => false,
                HandoverState::Granted(epoch) => known.is_none_or(|r| r.state.is_before(epoch)),
                HandoverState::Dispatched | HandoverState::DispatchedByLeaver(_) => {
                    known.is_none_or(|r| r.holder == handed.holder || !r.state.is_dispatched())
                }
            };
            if replaces {
                self.records.insert(handed.key, Record { holder, state, at: now });
            }
        }
    }
}
