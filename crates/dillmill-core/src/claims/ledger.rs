//! The records of one agent, and what it decides from them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::answer::{
    BeginError, Claim, ClaimAnswer, Finding, HandedRecord, HandedStanding, Inquiry, Phase,
};
use super::ring::{ClaimKey, Epoch, PastRing, Ring, RingMember, ranked};
use crate::{ProcessId, Timestamp};

/// What a record says of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Granted to the holder in this epoch; in a later one only a hint to ask the holder.
    Granted(Epoch),
    /// This agent is the holder and has dispatched it.
    Dispatched(Phase),
    /// The holder has dispatched it, by its own word.
    DispatchedElsewhere,
}

impl Standing {
    fn is_dispatched(self) -> bool {
        !matches!(self, Self::Granted(_))
    }

    fn is_before(self, epoch: Epoch) -> bool {
        matches!(self, Self::Granted(own) if own < epoch)
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    holder: RingMember,
    standing: Standing,
    at: Timestamp,
}

/// The records of one agent.
#[derive(Debug)]
pub struct ClaimLedger {
    me: RingMember,
    ring: Ring,
    adopted: BTreeMap<Epoch, Timestamp>,
    records: HashMap<ClaimKey, Record>,
    window: Duration,
}

impl ClaimLedger {
    /// Creates a ledger that keeps records for `window`.
    #[must_use]
    pub fn new(me: RingMember, window: Duration) -> Self {
        Self {
            me,
            ring: Ring::default(),
            adopted: BTreeMap::new(),
            records: HashMap::new(),
            window,
        }
    }

    /// Returns the ring in force here.
    #[must_use]
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Returns the number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Changes how long records are kept.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Takes a ring into force if it is newer; returns whether it was.
    pub fn adopt(&mut self, ring: Ring, now: Timestamp) -> bool {
        if ring.epoch <= self.ring.epoch {
            return false;
        }
        self.adopted.insert(ring.epoch, now);
        self.ring = ring;
        true
    }

    /// Returns the epoch from which on rings may still have live records, by this agent's own time.
    ///
    /// A ring that was replaced before this agent looked counts from when it looked.
    #[must_use]
    pub fn live_since(&self, now: Timestamp) -> Epoch {
        let live = self.ring.past.iter().take_while(|past| self.is_live(past, now));
        live.last().map_or(self.ring.epoch, |past| past.epoch)
    }

    fn is_live(&self, past: &PastRing, now: Timestamp) -> bool {
        let replaced = self.adopted.range(Epoch(past.epoch.0 + 1)..).next();
        replaced.is_none_or(|(_, at)| now.since(*at) < self.window)
    }

    /// Returns the authority of `key`, or `None` in an empty ring.
    #[must_use]
    pub fn authority(&self, key: ClaimKey) -> Option<RingMember> {
        ranked(&self.ring.members, key).first().copied()
    }

    /// Returns the agent that keeps a copy for an authority that dispatches itself.
    #[must_use]
    pub fn copy_keeper(&self, key: ClaimKey) -> Option<RingMember> {
        ranked(&self.ring.members, key).into_iter().find(|m| m.process != self.me.process)
    }

    /// Returns how far this agent has got with `key`, if it has dispatched it.
    #[must_use]
    pub fn phase(&self, key: ClaimKey) -> Option<Phase> {
        match self.records.get(&key)?.standing {
            Standing::Dispatched(phase) => Some(phase),
            Standing::Granted(_) | Standing::DispatchedElsewhere => None,
        }
    }

    /// Answers an agent that wants to dispatch `key`.
    pub fn claim(&mut self, key: ClaimKey, epoch: Epoch, by: RingMember, now: Timestamp) -> Claim {
        if epoch != self.ring.epoch {
            return Claim::Answer(ClaimAnswer::OtherEpoch(self.ring.clone()));
        }
        let is_authority = self.authority(key).is_some_and(|m| m.process == self.me.process);
        if !is_authority || !self.ring.contains(by.process) {
            return Claim::Answer(ClaimAnswer::NotAuthority);
        }
        if let Some(record) = self.settled(key) {
            // A holder that is gone is not asked here: the asking agent tries to reach it and
            // answers "unknown" when it can't.
            let answer = match (record.holder.process == by.process, record.standing) {
                (false, _) => ClaimAnswer::Held(record.holder),
                (true, Standing::Granted(_)) => ClaimAnswer::Granted,
                // It was to answer for a dispatch of another, and has not heard of it.
                (true, _) => ClaimAnswer::Unknown,
            };
            return Claim::Answer(answer);
        }
        let mut consult = self.earlier_authorities(key, now);
        consult.extend(self.hinted_holder(key));
        if consult.is_empty() {
            return Claim::Answer(self.grant(key, by, now));
        }
        Claim::Consult(consult.into_iter().collect())
    }

    /// Returns the record of `key` if it answers a claim without asking anyone.
    fn settled(&self, key: ClaimKey) -> Option<Record> {
        let record = self.records.get(&key)?;
        match record.standing {
            Standing::Granted(epoch) if epoch < self.ring.epoch => None,
            _ => Some(*record),
        }
    }

    /// Returns the other agent that a grant of an earlier epoch names.
    fn hinted_holder(&self, key: ClaimKey) -> Option<RingMember> {
        let holder = self.records.get(&key)?.holder;
        (holder.process != self.me.process).then_some(holder)
    }

    fn grant(&mut self, key: ClaimKey, by: RingMember, now: Timestamp) -> ClaimAnswer {
        self.records.insert(
            key,
            Record { holder: by, standing: Standing::Granted(self.ring.epoch), at: now },
        );
        ClaimAnswer::Granted
    }

    fn earlier_authorities(&self, key: ClaimKey, now: Timestamp) -> BTreeSet<RingMember> {
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
            let standing = Standing::DispatchedElsewhere;
            self.records.insert(key, Record { holder, standing, at: now });
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

    /// Answers an authority that asks about `key` in `epoch`.
    #[must_use]
    pub fn inquire(&self, key: ClaimKey, epoch: Epoch) -> Inquiry {
        if self.ring.epoch < epoch {
            return Inquiry::OldEpoch;
        }
        if self.ring.epoch > epoch {
            return Inquiry::NewerEpoch(self.ring.clone());
        }
        let Some(record) = self.records.get(&key) else { return Inquiry::Free };
        match record.standing {
            Standing::Dispatched(phase) => Inquiry::Dispatched(phase),
            Standing::DispatchedElsewhere => Inquiry::DispatchedBy(record.holder),
            Standing::Granted(_) if record.holder.process == self.me.process => Inquiry::Free,
            Standing::Granted(_) => Inquiry::Held(record.holder),
        }
    }

    /// Keeps a copy for an authority that dispatches itself; returns whether the epoch is the same.
    pub fn keep_copy(
        &mut self,
        key: ClaimKey,
        epoch: Epoch,
        holder: RingMember,
        now: Timestamp,
    ) -> bool {
        if epoch != self.ring.epoch {
            return false;
        }
        let copy = Record { holder, standing: Standing::Granted(epoch), at: now };
        if self.phase(key).is_none() {
            self.records.insert(key, copy);
        }
        true
    }

    /// Records that this agent hands `key` to its target now.
    ///
    /// # Errors
    ///
    /// Refuses a grant of an earlier epoch and a key that was dispatched before.
    pub fn begin(&mut self, key: ClaimKey, grant: Epoch, now: Timestamp) -> Result<(), BeginError> {
        if grant != self.ring.epoch {
            return Err(BeginError::StaleGrant);
        }
        if self.phase(key).is_some() {
            return Err(BeginError::Dispatched);
        }
        let standing = Standing::Dispatched(Phase::InFlight);
        let record = Record { holder: self.me, standing, at: now };
        self.records.insert(key, record);
        Ok(())
    }

    /// Records how a dispatch ended.
    pub fn end(&mut self, key: ClaimKey, phase: Phase, now: Timestamp) {
        let standing = Standing::Dispatched(phase);
        let record = Record { holder: self.me, standing, at: now };
        self.records.insert(key, record);
    }

    /// Takes back a dispatch that the target refused before it ran anything.
    pub fn not_run(&mut self, key: ClaimKey) {
        self.records.remove(&key);
    }

    /// Frees a key that `by` was granted and never dispatched.
    pub fn release(&mut self, key: ClaimKey, by: ProcessId) {
        let unused =
            |r: &Record| r.holder.process == by && matches!(r.standing, Standing::Granted(_));
        if self.records.get(&key).is_some_and(unused) {
            self.records.remove(&key);
        }
    }

    /// Drops records older than the window and returns the dropped keys.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ClaimKey> {
        let window = self.window;
        let old: Vec<ClaimKey> = self
            .records
            .iter()
            .filter(|(_, r)| {
                now.since(r.at) >= window && r.standing != Standing::Dispatched(Phase::InFlight)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in &old {
            self.records.remove(key);
        }
        old
    }

    /// Returns what this agent passes on, by the agent that takes it.
    ///
    /// Each record goes to two others, its authority first, as it must outlive the loss of one.
    /// Call it after the ring was adopted whose authorities are to have the records: one without
    /// this agent if it is `leaving`.
    #[must_use]
    pub fn hand_over(&self, leaving: bool) -> BTreeMap<RingMember, Vec<HandedRecord>> {
        let mut parts: BTreeMap<RingMember, Vec<HandedRecord>> = BTreeMap::new();
        for (key, record) in &self.records {
            let standing = match record.standing {
                Standing::Granted(epoch) => HandedStanding::Granted(epoch),
                // What is still in flight when the agent leaves will never be known.
                Standing::Dispatched(Phase::InFlight) if leaving => {
                    HandedStanding::Left(Phase::Unknown)
                }
                Standing::Dispatched(phase) if leaving => HandedStanding::Left(phase),
                Standing::Dispatched(_) | Standing::DispatchedElsewhere => {
                    HandedStanding::Dispatched
                }
            };
            let mut heirs = ranked(&self.ring.members, *key);
            heirs.retain(|m| m.process != self.me.process);
            let Some(first) = heirs.first().copied() else { continue };
            let handed = HandedRecord { key: *key, holder: record.holder, standing };
            parts.entry(first).or_default().push(handed);
            if let Some(second) = heirs.get(1) {
                let copy = match standing {
                    HandedStanding::Left(_) => HandedRecord {
                        holder: first,
                        standing: HandedStanding::Dispatched,
                        ..handed
                    },
                    HandedStanding::Granted(_) | HandedStanding::Dispatched => handed,
                };
                parts.entry(*second).or_default().push(copy);
            }
        }
        parts
    }

    /// Takes over records of another agent.
    pub fn take_over(&mut self, records: &[HandedRecord], now: Timestamp) {
        for handed in records {
            let (holder, standing) = match handed.standing {
                HandedStanding::Granted(epoch) => (handed.holder, Standing::Granted(epoch)),
                HandedStanding::Dispatched => (handed.holder, Standing::DispatchedElsewhere),
                HandedStanding::Left(phase) => (self.me, Standing::Dispatched(phase)),
            };
            let known = self.records.get(&handed.key);
            let replaces = match handed.standing {
                // What this agent did itself it knows best.
                _ if self.phase(handed.key).is_some() => false,
                HandedStanding::Granted(epoch) => known.is_none_or(|r| r.standing.is_before(epoch)),
                HandedStanding::Dispatched | HandedStanding::Left(_) => {
                    known.is_none_or(|r| r.holder == handed.holder || !r.standing.is_dispatched())
                }
            };
            if replaces {
                self.records.insert(handed.key, Record { holder, standing, at: now });
            }
        }
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
