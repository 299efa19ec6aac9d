//! Records passed from one agent to others.

use std::collections::BTreeMap;

use super::{ClaimLedger, Record, Standing};
use crate::Timestamp;
use crate::claims::answer::{HandoverRecord, HandoverState, Phase};
use crate::claims::ring::{RingMember, ranked};

impl ClaimLedger {
    /// Returns what this agent passes on, by the agent that takes it.
    ///
    /// Each record goes to two others, its authority first, as it must outlive the loss of one.
    /// Call it after the ring was adopted whose authorities are to have the records: one without
    /// this agent if it is `leaving`.
    #[must_use]
    pub fn hand_over(&self, leaving: bool) -> BTreeMap<RingMember, Vec<HandoverRecord>> {
        let mut parts: BTreeMap<RingMember, Vec<HandoverRecord>> = BTreeMap::new();
        for (key, record) in &self.records {
            let state = match record.state {
                Standing::Granted(epoch) => HandoverState::Granted(epoch),
                // What is still in flight when the agent leaves will never be known.
                Standing::Dispatched(Phase::InFlight) if leaving => {
                    HandoverState::DispatchedByLeaver(Phase::Unknown)
                }
                Standing::Dispatched(phase) if leaving => HandoverState::DispatchedByLeaver(phase),
                Standing::Dispatched(_) | Standing::DispatchedElsewhere => {
                    HandoverState::Dispatched
                }
            };
            let mut heirs = ranked(&self.ring.members, *key);
            heirs.retain(|m| m.process != self.me.process);
            let Some(first) = heirs.first().copied() else { continue };
            let handed = HandoverRecord { key: *key, holder: record.holder, state };
            parts.entry(first).or_default().push(handed);
            if let Some(second) = heirs.get(1) {
                let copy = match state {
                    HandoverState::DispatchedByLeaver(_) => {
                        HandoverRecord { holder: first, state: HandoverState::Dispatched, ..handed }
                    }
                    HandoverState::Granted(_) | HandoverState::Dispatched => handed,
                };
                parts.entry(*second).or_default().push(copy);
            }
        }
        parts
    }

    /// Takes over records of another agent.
    pub fn take_over(&mut self, records: &[HandoverRecord], now: Timestamp) {
        for handed in records {
            let (holder, state) = match handed.state {
                HandoverState::Granted(epoch) => (handed.holder, Standing::Granted(epoch)),
                HandoverState::Dispatched => (handed.holder, Standing::DispatchedElsewhere),
                HandoverState::DispatchedByLeaver(phase) => (self.me, Standing::Dispatched(phase)),
            };
            let known = self.records.get(&handed.key);
            let replaces = match handed.state {
                // What this agent did itself it knows best.
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
