//! The records of all other processes, with what finds them without a walk over all.

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
    /// Since when the process has its standing.
    pub(super) since: Timestamp,
}

/// The records of all other processes.
#[derive(Debug)]
pub(super) struct PeerTable {
    zone: ZoneName,
    entries: BTreeMap<ProcessId, Entry>,
    by_address: HashMap<SocketAddrV4, Vec<ProcessId>>,
    /// Those that are not down, and those of them in the own data centre.
    up: SamplingSet<ProcessId>,
    near: SamplingSet<ProcessId>,
    suspect: SamplingSet<ProcessId>,
    /// Those that are down, other than those whose address another run has taken over.
    lost: SamplingSet<ProcessId>,
    hash: u64,
}

impl PeerTable {
    /// Creates the roster of a process in data centre `zone`.
    pub(super) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            entries: BTreeMap::new(),
            by_address: HashMap::new(),
            up: SamplingSet::default(),
            near: SamplingSet::default(),
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

    /// Returns up to `n` processes that are not down.
    pub(super) fn draw(&self, n: usize, draw: &mut RandomIndex<'_>) -> Vec<&Arc<Member>> {
        self.look_up(&self.up.draw(n, draw))
    }

    /// Returns up to `n` processes of the own data centre that are not down.
    pub(super) fn draw_near(&self, n: usize, draw: &mut RandomIndex<'_>) -> Vec<&Arc<Member>> {
        self.look_up(&self.near.draw(n, draw))
    }

    /// Returns a process that is not down.
    pub(super) fn draw_one(&self, draw: &mut RandomIndex<'_>) -> Option<ProcessId> {
        self.up.draw_one(draw)
    }

    /// Returns a process that is down and may come back.
    pub(super) fn draw_lost(&self, draw: &mut RandomIndex<'_>) -> Option<ProcessId> {
        self.lost.draw_one(draw)
    }

    fn look_up(&self, drawn: &[ProcessId]) -> Vec<&Arc<Member>> {
        drawn.iter().filter_map(|process| self.entries.get(process)).map(|e| &e.member).collect()
    }

    /// Returns the processes that have been suspect for `limit`.
    pub(super) fn suspect_for(&self, limit: Duration, now: Timestamp) -> Vec<ProcessId> {
        let long = |process: &&ProcessId| {
            self.entries.get(process).is_some_and(|entry| now.since(entry.since) >= limit)
        };
        self.suspect.iter().filter(long).copied().collect()
    }

    /// Counts the time of all suspects from `now` on.
    pub(super) fn suspect_since(&mut self, now: Timestamp) {
        for process in self.suspect.iter() {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.since = now;
            }
        }
    }

    /// Puts a record in the place of what is held of its process.
    pub(super) fn put(&mut self, member: Arc<Member>, now: Timestamp) {
        let process = member.process;
        let old = self.take(process);
        let since = match &old {
            Some(old) if old.member.status == member.status => old.since,
            _ => now,
        };
        self.hash ^= record_hash(&member);
        let (addr, status) = (member.control, member.status);
        let is_up = status != MemberStatus::Down;
        self.up.set(process, is_up);
        self.near.set(process, is_up && member.zone == self.zone);
        self.suspect.set(process, status == MemberStatus::Suspect);
        self.by_address.entry(addr).or_default().push(process);
        self.entries.insert(process, Entry { member, since });
        self.note_lost(addr);
    }

    /// Forgets the processes that have been down for `limit`.
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
        for set in [&mut self.up, &mut self.near, &mut self.suspect, &mut self.lost] {
            set.set(process, false);
        }
        if let Some(old) = self.take(process) {
            self.note_lost(old.member.control);
        }
    }

    fn take(&mut self, process: ProcessId) -> Option<Entry> {
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

    /// Notes which processes at `addr` are lost: all, or none where one of them is up.
    fn note_lost(&mut self, addr: SocketAddrV4) {
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
