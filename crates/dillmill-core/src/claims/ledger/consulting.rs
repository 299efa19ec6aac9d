//! Selects the agents to consult before the first grant of a key, and decides from their answers.

use std::collections::BTreeSet;

use super::{ClaimLedger, Record, RecordState};
use crate::claims::answer::{Claim, ClaimAnswer, Finding, Inquiry};
use crate::claims::ring::{ClaimKey, Epoch, RingMember, ranked};
use crate::{ProcessId, Timestamp};

impl ClaimLedger {
    /// Returns the other agents that were authorities for `key` in past rings with live records.
    pub(super) fn earlier_authorities(
        &self,
        key: ClaimKey,
        now: Timestamp,
    ) -> BTreeSet<RingMember> {
        let mut asked = BTreeSet::new();
        for past in self.ring.past.iter().take_while(|past| self.is_live(past, now)) {
            // An agent that handed over its records need not be asked. The authority in the ring that
            // followed its departure has them, and is either asked too or is this agent.
            asked.extend(ranked(&past.members, key).first().copied());
        }
        asked
            .into_iter()
            .filter(|m| m.process != self.me.process && !self.ring.handed_over.contains(&m.process))
            .collect()
    }

    /// Decides a claim once the agents named in [`Claim::Consult`] were asked.
    ///
    /// If this returns [`Claim::Consult`] again, it must be called again with the additional findings.
    pub fn consulted(
        &mut self,
        key: ClaimKey,
        epoch: Epoch,
        by: RingMember,
        findings: &[Finding],
        now: Timestamp,
    ) -> Claim {
        if epoch != self.ring.epoch {
            return Claim::Answer(ClaimAnswer::OtherEpoch(self.ring.clone()));
        }
        if self.conclusive_record(key).is_some() {
            return self.claim(key, epoch, by, now);
        }
        if let Some(holder) = confirmed_dispatcher(findings) {
            let state = RecordState::DispatchedElsewhere;
            self.records.insert(key, Record { holder, state, at: now });
            return self.claim(key, epoch, by, now);
        }
        if self.named_holder_unreachable(key, findings) {
            // This answer is not recorded: the holder may come back, and it may not be the agent that
            // dispatched the key.
            return Claim::Answer(ClaimAnswer::Unknown);
        }
        let holders = self.unasked_holders(key, findings);
        if !holders.is_empty() {
            return Claim::Consult(holders);
        }
        let unreachable_agents: BTreeSet<ProcessId> =
            findings.iter().filter(|f| f.answer.is_none()).map(|f| f.asked.process).collect();
        if unreachable_agents.is_empty() {
            return Claim::Answer(self.grant(key, by, now));
        }
        if unreachable_agents.len() > 1 || self.lost_sole_member(&unreachable_agents, now) {
            return Claim::Answer(ClaimAnswer::Unknown);
        }
        let rest = self.remaining_members(findings, now);
        if rest.is_empty() {
            return Claim::Answer(self.grant(key, by, now));
        }
        Claim::Consult(rest)
    }

    fn named_holder_unreachable(&self, key: ClaimKey, findings: &[Finding]) -> bool {
        let unreachable = |holder: &RingMember| {
            findings.iter().any(|f| f.asked.process == holder.process && f.answer.is_none())
        };
        self.named_holders(key, findings).iter().any(unreachable)
    }

    fn named_holders(&self, key: ClaimKey, findings: &[Finding]) -> BTreeSet<RingMember> {
        let mut holders: BTreeSet<RingMember> = findings
            .iter()
            .filter_map(|f| match &f.answer {
                Some(Inquiry::Held(holder)) => Some(*holder),
                _ => None,
            })
            .collect();
        holders.extend(self.hinted_holder(key));
        holders.retain(|holder| holder.process != self.me.process);
        holders
    }

    fn unasked_holders(&self, key: ClaimKey, findings: &[Finding]) -> Vec<RingMember> {
        let asked: BTreeSet<ProcessId> = findings.iter().map(|f| f.asked.process).collect();
        let named = self.named_holders(key, findings);
        named.into_iter().filter(|holder| !asked.contains(&holder.process)).collect()
    }

    /// Returns whether an unreachable agent was the only member of a past ring, so that no other agent
    /// could keep copies.
    fn lost_sole_member(&self, unreachable_agents: &BTreeSet<ProcessId>, now: Timestamp) -> bool {
        self.ring.past.iter().take_while(|past| self.is_live(past, now)).any(|past| {
            past.members.len() == 1 && unreachable_agents.contains(&past.members[0].process)
        })
    }

    fn remaining_members(&self, findings: &[Finding], now: Timestamp) -> Vec<RingMember> {
        let asked: BTreeSet<ProcessId> = findings.iter().map(|f| f.asked.process).collect();
        let past = self.ring.past.iter().take_while(|past| self.is_live(past, now));
        let rest: BTreeSet<RingMember> = past
            .flat_map(|ring| ring.members.iter().copied())
            .filter(|m| {
                m.process != self.me.process
                    && !asked.contains(&m.process)
                    && !self.ring.handed_over.contains(&m.process)
            })
            .collect();
        rest.into_iter().collect()
    }
}

/// Returns the agent that has certainly dispatched the key, or that answers for its dispatch.
fn confirmed_dispatcher(findings: &[Finding]) -> Option<RingMember> {
    findings.iter().find_map(|f| match f.answer {
        Some(Inquiry::Dispatched(_)) => Some(f.asked),
        Some(Inquiry::DispatchedBy(holder)) => Some(holder),
        _ => None,
    })
}
