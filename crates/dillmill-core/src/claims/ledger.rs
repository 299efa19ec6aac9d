//! The records of one agent, and what it decides from them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::answer::{BeginError, Claim, ClaimAnswer, Inquiry, Phase};
use super::ring::{ClaimKey, Epoch, PastRing, Ring, RingMember, ranked};
use crate::{ProcessId, Timestamp};

mod consulting;
mod handing_over;
mod record;

use record::{Record, Standing};

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
        match self.records.get(&key)?.state {
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
            let answer = match (record.holder.process == by.process, record.state) {
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
        match record.state {
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
        self.records
            .insert(key, Record { holder: by, state: Standing::Granted(self.ring.epoch), at: now });
        ClaimAnswer::Granted
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
        match record.state {
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
        let copy = Record { holder, state: Standing::Granted(epoch), at: now };
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
        let state = Standing::Dispatched(Phase::InFlight);
        let record = Record { holder: self.me, state, at: now };
        self.records.insert(key, record);
        Ok(())
    }

    /// Records how a dispatch ended.
    pub fn end(&mut self, key: ClaimKey, phase: Phase, now: Timestamp) {
        let state = Standing::Dispatched(phase);
        let record = Record { holder: self.me, state, at: now };
        self.records.insert(key, record);
    }

    /// Takes back a dispatch that the target refused before it ran anything.
    pub fn not_run(&mut self, key: ClaimKey) {
        self.records.remove(&key);
    }

    /// Frees a key that `by` was granted and never dispatched.
    pub fn release(&mut self, key: ClaimKey, by: ProcessId) {
        let unused = |r: &Record| r.holder.process == by && matches!(r.state, Standing::Granted(_));
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
                now.since(r.at) >= window && r.state != Standing::Dispatched(Phase::InFlight)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in &old {
            self.records.remove(key);
        }
        old
    }
}
