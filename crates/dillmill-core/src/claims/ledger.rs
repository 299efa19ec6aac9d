//! The claim records of one agent, and the decisions made from them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::answer::{BeginError, Claim, ClaimAnswer, Inquiry, Phase};
use super::ring::{ClaimKey, Epoch, PastRing, Ring, RingMember, ranked};
use crate::{ProcessId, Timestamp};

mod consulting;
mod handing_over;
mod record;

use record::{Record, RecordState};

/// The claim records of one agent.
#[derive(Debug)]
pub struct ClaimLedger {
    me: RingMember,
    ring: Ring,
    adopted_at: BTreeMap<Epoch, Timestamp>,
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
            adopted_at: BTreeMap::new(),
            records: HashMap::new(),
            window,
        }
    }

    /// Returns the ring that this agent has adopted.
    #[must_use]
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Sets how long records are kept.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Adopts a ring if it is newer than the current one; returns whether it was.
    pub fn adopt(&mut self, ring: Ring, now: Timestamp) -> bool {
        if ring.epoch <= self.ring.epoch {
            return false;
        }
        self.adopted_at.insert(ring.epoch, now);
        self.ring = ring;
        true
    }

    /// Returns the epoch of the oldest ring that may still have live records, by this agent's own clock.
    ///
    /// A ring counts as replaced at the time when this agent first adopted a newer one, even if it was
    /// replaced earlier.
    #[must_use]
    pub fn live_since(&self, now: Timestamp) -> Epoch {
        let live = self.ring.past.iter().take_while(|past| self.is_live(past, now));
        live.last().map_or(self.ring.epoch, |past| past.epoch)
    }

    fn is_live(&self, past: &PastRing, now: Timestamp) -> bool {
        let replaced = self.adopted_at.range(Epoch(past.epoch.0 + 1)..).next();
        replaced.is_none_or(|(_, at)| now.since(*at) < self.window)
    }

    /// Returns the authority for `key`, or `None` if the ring is empty.
    #[must_use]
    pub fn authority(&self, key: ClaimKey) -> Option<RingMember> {
        ranked(&self.ring.members, key).first().copied()
    }

    /// Returns the agent that keeps a copy of the claim when this agent is both authority and dispatcher.
    #[must_use]
    pub fn copy_keeper(&self, key: ClaimKey) -> Option<RingMember> {
        ranked(&self.ring.members, key).into_iter().find(|m| m.process != self.me.process)
    }

    /// Returns the progress of `key`, if this agent has dispatched it.
    #[must_use]
    pub fn phase(&self, key: ClaimKey) -> Option<Phase> {
        match self.records.get(&key)?.state {
            RecordState::Dispatched(phase) => Some(phase),
            RecordState::Granted(_) | RecordState::DispatchedElsewhere => None,
        }
    }

    /// Decides, as the authority, whether `by` may dispatch `key`.
    pub fn claim(&mut self, key: ClaimKey, epoch: Epoch, by: RingMember, now: Timestamp) -> Claim {
        if epoch != self.ring.epoch {
            return Claim::Answer(ClaimAnswer::OtherEpoch(self.ring.clone()));
        }
        let is_authority = self.authority(key).is_some_and(|m| m.process == self.me.process);
        if !is_authority || !self.ring.contains(by.process) {
            return Claim::Answer(ClaimAnswer::NotAuthority);
        }
        if let Some(record) = self.conclusive_record(key) {
            // The authority does not check whether the holder is alive. The asking agent tries to reach
            // the holder and answers "unknown" if that fails.
            let answer = match (record.holder.process == by.process, record.state) {
                (false, _) => ClaimAnswer::Held(record.holder),
                (true, RecordState::Granted(_)) => ClaimAnswer::Granted,
                // The asking agent was to answer for a dispatch that it took over from another, but has no
                // record of it.
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

    /// Returns the record of `key` if it decides a claim without consulting other agents.
    fn conclusive_record(&self, key: ClaimKey) -> Option<Record> {
        let record = self.records.get(&key)?;
        match record.state {
            RecordState::Granted(epoch) if epoch < self.ring.epoch => None,
            _ => Some(*record),
        }
    }

    /// Returns the holder of the key in this agent's record, such as a grant of an earlier epoch, unless
    /// it is this agent.
    fn hinted_holder(&self, key: ClaimKey) -> Option<RingMember> {
        let holder = self.records.get(&key)?.holder;
        (holder.process != self.me.process).then_some(holder)
    }

    fn grant(&mut self, key: ClaimKey, by: RingMember, now: Timestamp) -> ClaimAnswer {
        self.records.insert(
            key,
            Record { holder: by, state: RecordState::Granted(self.ring.epoch), at: now },
        );
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
            RecordState::Dispatched(phase) => Inquiry::Dispatched(phase),
            RecordState::DispatchedElsewhere => Inquiry::DispatchedBy(record.holder),
            RecordState::Granted(_) if record.holder.process == self.me.process => Inquiry::Free,
            RecordState::Granted(_) => Inquiry::Held(record.holder),
        }
    }

    /// Keeps a copy of a claim for an authority that dispatches the request itself.
    ///
    /// Returns false, without keeping a copy, if `epoch` is not the current one.
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
        let copy = Record { holder, state: RecordState::Granted(epoch), at: now };
        if self.phase(key).is_none() {
            self.records.insert(key, copy);
        }
        true
    }

    /// Records that this agent now hands the request of `key` to its target.
    ///
    /// # Errors
    ///
    /// Fails if the grant is from an earlier epoch or this agent has already dispatched the key.
    pub fn begin(&mut self, key: ClaimKey, grant: Epoch, now: Timestamp) -> Result<(), BeginError> {
        if grant != self.ring.epoch {
            return Err(BeginError::StaleGrant);
        }
        if self.phase(key).is_some() {
            return Err(BeginError::Dispatched);
        }
        let state = RecordState::Dispatched(Phase::InFlight);
        let record = Record { holder: self.me, state, at: now };
        self.records.insert(key, record);
        Ok(())
    }

    /// Records the outcome of a dispatch.
    pub fn end(&mut self, key: ClaimKey, phase: Phase, now: Timestamp) {
        let state = RecordState::Dispatched(phase);
        let record = Record { holder: self.me, state, at: now };
        self.records.insert(key, record);
    }

    /// Removes the record of a dispatch that the target refused before it ran anything.
    pub fn not_run(&mut self, key: ClaimKey) {
        self.records.remove(&key);
    }

    /// Releases a key that was granted to `by` and that `by` has not dispatched.
    pub fn release(&mut self, key: ClaimKey, by: ProcessId) {
        let unused =
            |r: &Record| r.holder.process == by && matches!(r.state, RecordState::Granted(_));
        if self.records.get(&key).is_some_and(unused) {
            self.records.remove(&key);
        }
    }

    /// Removes records older than the window, except those in flight, and returns their keys.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ClaimKey> {
        let window = self.window;
        let old: Vec<ClaimKey> = self
            .records
            .iter()
            .filter(|(_, r)| {
                now.since(r.at) >= window && r.state != RecordState::Dispatched(Phase::InFlight)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in &old {
            self.records.remove(key);
        }
        old
    }
}
