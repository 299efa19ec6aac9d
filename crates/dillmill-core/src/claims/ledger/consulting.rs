//! Which other agents are asked before a first grant, and what follows from their answers.

use std::collections::BTreeSet;

use super::{ClaimLedger, Record, Standing};
use crate::claims::answer::{Claim, ClaimAnswer, Finding, Inquiry};
use crate::claims::ring::{ClaimKey, Epoch, RingMember, ranked};
use crate::{ProcessId, Timestamp};

impl ClaimLedger {
    pub(super) fn earlier_authorities(
        &self,
        key: ClaimKey,
        now: Timestamp,
    ) -> BTreeSet<RingMember> {
        let mut asked = BTreeSet::new();
        for past in self.ring.past.iter().take_while(|past| self.is_live(past, now)) {
            // One that passed its records on needs no asking: they are with the authority of the
            // ring that it left to, which is asked or is this agent.
            asked.extend(ranked(&past.members, key).first().copied());
        }
        asked
            .into_iter()
            .filter(|m| m.process != self.me.process && !self.ring.handed_over.contains(&m.process))
            .collect()
    }

    /// Decides after the agents that [`Claim::Consult`] named were asked.
    ///
    /// Called a second time with more findings when it returns [`Claim::Consult`] again.
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
        if self.settled(key).is_some() {
            return self.claim(key, epoch, by, now);
        }
        if let Some(holder) = dispatcher(findings) {
            let state = Standing::DispatchedElsewhere;
            self.records.insert(key, Record { holder, state, at: now });
            return self.claim(key, epoch, by, now);
        }
        if self.named_holder_is_lost(key, findings) {
            // Not put on record: the holder may come back, and it need not be the one that
            // dispatched the key.
            return Claim::Answer(ClaimAnswer::Unknown);
        }
        let holders = self.unasked_holders(key, findings);
        if !holders.is_empty() {
            return Claim::Consult(holders);
        }
        let lost: BTreeSet<ProcessId> =
            findings.iter().filter(|f| f.answer.is_none()).map(|f| f.asked.process).collect();
        if lost.is_empty() {
            return Claim::Answer(self.grant(key, by, now));
        }
        if lost.len() > 1 || self.was_alone(&lost, now) {
            return Claim::Answer(ClaimAnswer::Unknown);
        }
        let rest = self.not_yet_asked(findings, now);
        if rest.is_empty() {
            return Claim::Answer(self.grant(key, by, now));
        }
        Claim::Consult(rest)
    }

    fn named_holder_is_lost(&self, key: ClaimKey, findings: &[Finding]) -> bool {
        let is_lost = |holder: &RingMember| {
            findings.iter().any(|f| f.asked.process == holder.process && f.answer.is_none())
        };
        self.named_holders(key, findings).iter().any(is_lost)
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

    /// An agent that was alone in its ring had nobody to keep copies.
    fn was_alone(&self, lost: &BTreeSet<ProcessId>, now: Timestamp) -> bool {
        self.ring
            .past
            .iter()
            .take_while(|past| self.is_live(past, now))
            .any(|past| past.members.len() == 1 && lost.contains(&past.members[0].process))
    }

    fn not_yet_asked(&self, findings: &[Finding], now: Timestamp) -> Vec<RingMember> {
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

/// Returns the agent that has dispatched the key for certain.
fn dispatcher(findings: &[Finding]) -> Option<RingMember> {
    findings.iter().find_map(|f| match f.answer {
        Some(Inquiry::Dispatched(_)) => Some(f.asked),
        Some(Inquiry::DispatchedBy(holder)) => Some(holder),
        _ => None,
    })
}
