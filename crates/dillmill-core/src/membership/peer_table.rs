//! Stores the records of all other processes, with indexes that avoid a scan over all of them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::sampling_set::SamplingSet;
use super::{RandomIndex, record_hash};
use crate::{Member, MemberStatus, ProcessId, Timestamp, ZoneName};

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) member: Arc<Member>,
    /// When the process got its current status.
    pub(super) since: Timestamp,
}

/// The records of all other processes, indexed by id, address, status and data centre.
#[derive(Debug)]
pub(super) struct PeerTable {
    zone: ZoneName,
    entries: BTreeMap<ProcessId, Entry>,
    by_address: HashMap<SocketAddrV4, Vec<ProcessId>>,
    /// Processes that are not down.
    up: SamplingSet<ProcessId>,
    /// Processes in this process's own data centre that are not down.
    same_zone: SamplingSet<ProcessId>,
    suspect: SamplingSet<ProcessId>,
    /// Processes that are down, except those whose address another process has taken over.
    lost: SamplingSet<ProcessId>,
    hash: u64,
}

impl PeerTable {
    /// Creates the table of a process in data centre `zone`.
    pub(super) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            entries: BTreeMap::new(),
            by_address: HashMap::new(),
            up: SamplingSet::default(),
            same_zone: SamplingSet::default(),
            suspect: SamplingSet::default(),
            lost: SamplingSet::default(),
            hash: 0,
        }
    }

    /// Returns a hash over all records.
    pub(super) fn hash(&self) -> u64 {
        self.hash
    }

    pub(super) fn get(&self, process: ProcessId) -> Option<&Entry> {
        self.entries.get(&process)
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns the number of all records.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of processes that are not down.
    pub(super) fn up(&self) -> usize {
        self.up.len()
    }

    /// Returns the processes whose control address is `addr`.
    pub(super) fn at(&self, addr: SocketAddrV4) -> impl Iterator<Item = &Arc<Member>> {
        let there = self.by_address.get(&addr).map_or(&[][..], Vec::as_slice);
        there.iter().filter_map(|process| self.entries.get(process)).map(|entry| &entry.member)
    }

    /// Returns up to `n` random processes that are not down.
    pub(super) fn sample(&self, n: usize, draw: &mut RandomIndex<'_>) -> Vec<&Arc<Member>> {
        self.look_up(&self.up.sample(n, draw))
    }

    /// Returns up to `n` random processes of this process's own data centre that are not down.
    pub(super) fn sample_same_zone(
        &self,
        n: usize,
        draw: &mut RandomIndex<'_>,
    ) -> Vec<&Arc<Member>> {
        self.look_up(&self.same_zone.sample(n, draw))
    }

    /// Returns a random process that is not down.
    pub(super) fn sample_one(&self, draw: &mut RandomIndex<'_>) -> Option<ProcessId> {
        self.up.sample_one(draw)
    }

    /// Returns a random process that is down and may come back.
    pub(super) fn sample_lost(&self, draw: &mut RandomIndex<'_>) -> Option<ProcessId> {
        self.lost.sample_one(draw)
    }

    fn look_up(&self, sampled: &[ProcessId]) -> Vec<&Arc<Member>> {
        sampled.iter().filter_map(|process| self.entries.get(process)).map(|e| &e.member).collect()
    }

    /// Returns the processes that have been suspect for `limit`.
    pub(super) fn suspect_for(&self, limit: Duration, now: Timestamp) -> Vec<ProcessId> {
        let long = |process: &&ProcessId| {
            self.entries.get(process).is_some_and(|entry| now.since(entry.since) >= limit)
        };
        self.suspect.iter().filter(long).copied().collect()
    }

    /// Restarts the suspicion timeout of all suspect processes at `now`.
    pub(super) fn restart_suspicion(&mut self, now: Timestamp) {
        for process in self.suspect.iter() {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.since = now;
            }
        }
    }

    /// Inserts a record, replacing the stored record of the same process.
    pub(super) fn upsert(&mut self, member: Arc<Member>, now: Timestamp) {
        let process = member.process;
        let old = self.remove_entry(process);
        let since = match &old {
            Some(old) if old.member.status == member.status => old.since,
            _ => now,
        };
        self.hash ^= record_hash(&member);
        let (addr, status) = (member.control, member.status);
        let is_up = status != MemberStatus::Down;
        self.up.set(process, is_up);
        self.same_zone.set(process, is_up && member.zone == self.zone);
        self.suspect.set(process, status == MemberStatus::Suspect);
        self.by_address.entry(addr).or_default().push(process);
        self.entries.insert(process, Entry { member, since });
        self.update_lost(addr);
    }

    /// Removes the processes that have been down for `limit`.
    pub(super) fn forget_down(&mut self, limit: Duration, now: Timestamp) {
        let long = |(_, e): &(&ProcessId, &Entry)| {
            e.member.status == MemberStatus::Down && now.since(e.since) >= limit
        };
        let long: Vec<ProcessId> = self.entries.iter().filter(long).map(|(p, _)| *p).collect();
        for process in long {
            self.forget(process);
        }
    }

    fn forget(&mut self, process: ProcessId) {
        for set in [&mut self.up, &mut self.same_zone, &mut self.suspect, &mut self.lost] {
            set.set(process, false);
        }
        if let Some(old) = self.remove_entry(process) {
            self.update_lost(old.member.control);
        }
    }

    fn remove_entry(&mut self, process: ProcessId) -> Option<Entry> {
        let old = self.entries.remove(&process)?;
        self.hash ^= record_hash(&old.member);
        if let Some(there) = self.by_address.get_mut(&old.member.control) {
            there.retain(|other| *other != process);
            if there.is_empty() {
                self.by_address.remove(&old.member.control);
            }
        }
        Some(old)
    }

    /// Updates which processes at `addr` are lost: none if one of them is up, otherwise all.
    fn update_lost(&mut self, addr: SocketAddrV4) {
        let Some(there) = self.by_address.get(&addr) else { return };
        let is_up = |process: &ProcessId| {
            self.entries.get(process).is_some_and(|e| e.member.status != MemberStatus::Down)
        };
        let none_up = !there.iter().any(is_up);
        for process in there {
            self.lost.set(*process, none_up);
        }
    }
}
