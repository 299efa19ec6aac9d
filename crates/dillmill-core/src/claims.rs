//! Whether a request that may not be repeated may be dispatched.
//!
//! Every request with an idempotency key needs a *claim* before an agent hands it to its target.
//! The agents of a service form a *ring*, a list with an epoch that lives in the platform and
//! changes only by compare-and-swap. The ring names one *authority* for each key, by rendezvous
//! hash. The authority grants a key to one agent and names that agent to everyone else who asks.
//!
//! No lease is needed, and nothing here needs the platform between two ring changes:
//!
//! 1. A grant counts only in the epoch it was made in. An agent that has adopted a newer epoch
//!    never dispatches under an older grant, however late it wakes.
//! 2. Each dispatch is on record at two agents before it happens: the authority and the dispatcher,
//!    or, where these are the same, one more agent that keeps a copy.
//! 3. After a ring change the authority of a key asks the earlier authorities before its first
//!    grant. One that can't be asked is replaced by all other agents of its ring: by point 2 these
//!    know of every dispatch unless two of them are lost. Whoever answers has adopted the new
//!    epoch, so by point 1 its answer "not dispatched" stays true.
//! 4. If two are lost, the answer is "unknown", never "not run".

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Home, HomeTable, ProcessId, Timestamp, Weight};

/// An idempotency key with its service and group, hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub [u8; 16]);

/// Number of a ring; a later ring has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// One agent of a ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RingMember {
    /// The agent's process.
    pub process: ProcessId,
    /// Its control address.
    pub control: SocketAddrV4,
}

/// A ring that was in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRing {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its agents.
    pub members: Vec<RingMember>,
}

impl PastRing {
    /// Returns whether `process` was the only agent.
    #[must_use]
    pub fn is_alone(&self, process: ProcessId) -> bool {
        self.members.len() == 1 && self.members[0].process == process
    }
}

/// The ring of a service as the platform holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ring {
    /// Epoch in force.
    pub epoch: Epoch,
    /// Agents in force.
    pub members: Vec<RingMember>,
    /// Rings that may still have live records, newest first.
    pub past: Vec<PastRing>,
    /// Agents that left and first passed all their records on; nobody needs to ask them.
    pub handed_over: BTreeSet<ProcessId>,
}

impl Ring {
    /// Returns the next ring, with `add` and without `remove`.
    ///
    /// `keep_past` is the number of past rings that may still have live records.
    #[must_use]
    pub fn changed(&self, add: &[RingMember], remove: &[ProcessId], keep_past: usize) -> Self {
        let mut next = self.clone();
        next.past.insert(0, PastRing { epoch: self.epoch, members: self.members.clone() });
        next.past.truncate(keep_past + 1);
        next.epoch = Epoch(self.epoch.0 + 1);
        next.members.retain(|m| !remove.contains(&m.process));
        for member in add {
            if !next.members.iter().any(|m| m.process == member.process) {
                next.members.push(*member);
            }
        }
        let known: BTreeSet<ProcessId> =
            next.past.iter().flat_map(|r| r.members.iter().map(|m| m.process)).collect();
        next.handed_over.retain(|p| known.contains(p));
        next
    }

    /// Returns this ring without its past rings in which `process` was alone.
    ///
    /// Only `process` may do this, after it has passed all its records to the authorities of this
    /// ring: until then nobody else has copies, and its loss would leave every key unknown.
    #[must_use]
    pub fn with_covered(&self, process: ProcessId) -> Self {
        let mut next = self.changed(&[], &[], self.past.len());
        next.past.retain(|past| !past.is_alone(process));
        next
    }

    /// Returns this ring with `process` marked as having passed on its records.
    #[must_use]
    pub fn with_handed_over(&self, process: ProcessId) -> Self {
        let mut next = self.changed(&[], &[process], self.past.len());
        next.handed_over.insert(process);
        next
    }

    /// Returns whether `process` is in force.
    #[must_use]
    pub fn contains(&self, process: ProcessId) -> bool {
        self.members.iter().any(|m| m.process == process)
    }
}

fn ranked(members: &[RingMember], key: ClaimKey) -> Vec<RingMember> {
    let homes = members.iter().map(|m| Home {
        process: m.process,
        data: m.control,
        control: m.control,
        weight: Weight(1),
    });
    let table = HomeTable::new(homes);
    table
        .ranked(&key.0)
        .into_iter()
        .map(|home| RingMember { process: home.process, control: home.control })
        .collect()
}

/// Returns the agent that has dispatched the key for certain.
fn dispatcher(findings: &[Finding]) -> Option<RingMember> {
    findings.iter().find_map(|f| match f.answer {
        Some(Inquiry::Dispatched(_)) => Some(f.asked),
        Some(Inquiry::DispatchedBy(holder)) => Some(holder),
        _ => None,
    })
}

/// How far this agent has got with a request that it dispatches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Handed to the target, no whole answer yet.
    InFlight,
    /// The whole answer came.
    Done,
    /// The target's answer did not come, or only in part: nobody knows whether it ran.
    Unknown,
}

/// Answer of an authority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The asking agent may dispatch in this epoch.
    Granted,
    /// The named agent holds the key.
    Held(RingMember),
    /// The authority is in another epoch; its ring is given.
    OtherEpoch(Ring),
    /// Too many agents are lost to tell whether the key was dispatched.
    Unknown,
    /// The answering agent is not the authority, or the asking one not in the ring.
    NotAuthority,
}

/// What an authority has to do before it can answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The answer is known.
    Answer(ClaimAnswer),
    /// Ask these first, then call [`ClaimLedger::consulted`].
    Consult(Vec<RingMember>),
}

/// Answer of an agent that an authority asks about a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Inquiry {
    /// Not dispatched here and, in an earlier epoch than the given one, never to be.
    Free,
    /// The named agent holds the key, to this agent's knowledge.
    Held(RingMember),
    /// This agent has dispatched it.
    Dispatched(Phase),
    /// The named agent, or one that it stands for, has dispatched it for certain.
    DispatchedBy(RingMember),
    /// This agent is in an older epoch and needs the ring first.
    OldEpoch,
    /// This agent is in a newer epoch; its ring is given.
    NewerEpoch(Ring),
}

/// What came of one inquiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The agent asked.
    pub asked: RingMember,
    /// Its answer, or `None` if it could not be reached.
    pub answer: Option<Inquiry>,
}

/// Why a dispatch may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginError {
    /// The grant is of an older epoch than the one adopted.
    #[error("the grant is of an earlier epoch")]
    StaleGrant,
    /// The key was dispatched here before.
    #[error("the key was dispatched before")]
    Dispatched,
}

/// A record that a leaving agent passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedRecord {
    /// The key.
    pub key: ClaimKey,
    /// The agent that held it.
    pub holder: RingMember,
    /// What is passed on.
    pub standing: HandedStanding,
}

/// What a leaving agent knows of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandedStanding {
    /// The holder was granted it in this epoch.
    Granted(Epoch),
    /// The holder, another agent or the one that passes this on and stays, has dispatched it.
    Dispatched,
    /// The agent that passes this on and leaves has dispatched it; whoever takes it over answers
    /// for it from now on.
    Left(Phase),
}

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

    /// Returns how many past rings may still have live records, by this agent's own time.
    ///
    /// A ring that was replaced before this agent looked counts from when it looked.
    #[must_use]
    pub fn live_past(&self, now: Timestamp) -> usize {
        self.ring.past.iter().take_while(|past| self.is_live(past, now)).count()
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
