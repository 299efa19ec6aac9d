//! Applies received records, resolves conflicts by version and address, and gossips new records.

use std::net::SocketAddrV4;
use std::sync::Arc;

use super::{FANOUT, MemberChange, Membership, Outgoing, Probe, RECORDS_PER_DATAGRAM, RandomIndex};
use crate::{Member, MemberStatus, ProcessId, Timestamp};

/// Number of gossip peers, out of [`FANOUT`], chosen from any data centre. The rest are in this process's
/// own one, because traffic between data centres is paid for. Each process that learns a record gossips
/// it, so each data centre still gets it from many sources.
const FANOUT_ANYWHERE: usize = 2;

impl Membership {
    /// Changes this process's own record, raising its version.
    pub fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        let me = Arc::make_mut(&mut self.me);
        change(me);
        me.version += 1;
        self.generation += 1;
        self.queue_gossip(self.me.process);
    }

    /// Applies a record if it is newer than the stored one, and then gossips it.
    pub fn learn(&mut self, member: Member, now: Timestamp) {
        let process = member.process;
        if self.apply_record(member, now) {
            self.queue_gossip(process);
        }
    }

    /// Applies records learned by synchronisation, without gossiping them.
    ///
    /// Other processes that hold these records synchronise as well. If all of them gossiped what they
    /// learn while the whole fleet starts, every record would reach every process many times.
    pub fn learn_from_sync(&mut self, members: impl IntoIterator<Item = Member>, now: Timestamp) {
        for member in members {
            self.apply_record(member, now);
        }
    }

    /// Applies a record and returns whether it was newer than the stored one.
    pub(super) fn apply_record(&mut self, member: Member, now: Timestamp) -> bool {
        if member.process == self.me.process {
            self.refute(&member);
            return false;
        }
        let held = self.others.get(member.process).map(|entry| &entry.member);
        let before = match held {
            Some(held) if !member.supersedes(held) => return false,
            Some(held) => Some(held.status),
            None if member.status == MemberStatus::Down => return false,
            None => None,
        };
        // A process that reports its own change raises the version, so an equal version means that others
        // declared the status because the process was silent.
        let by_silence = held.is_some_and(|held| held.version == member.version);
        if by_silence && member.status == MemberStatus::Down {
            self.unconfirmed_downs.note(member.process, now);
        } else {
            self.unconfirmed_downs.clear(member.process);
        }
        self.retire_predecessors(&member, now);
        self.store(member, before, now);
        true
    }

    /// Marks earlier processes at the address of `newcomer` as down: only one process can use an
    /// address, so the one that started later proves that the earlier one has ended.
    pub(super) fn retire_predecessors(&mut self, newcomer: &Member, now: Timestamp) {
        let ended = |m: &Member| m.process != newcomer.process && m.started < newcomer.started;
        self.retire(newcomer.control, ended, now);
    }

    /// Marks all other processes at `addr` as down, if `speaker` is known.
    ///
    /// The process that sends from an address is the only one there, whatever start times the clocks of
    /// both processes gave.
    pub(super) fn retire_others_at(
        &mut self,
        addr: SocketAddrV4,
        speaker: ProcessId,
        now: Timestamp,
    ) {
        if self.others.get(speaker).is_some() {
            self.retire(addr, |m| m.process != speaker, now);
        }
    }

    pub(super) fn retire(
        &mut self,
        addr: SocketAddrV4,
        ended: impl Fn(&Member) -> bool,
        now: Timestamp,
    ) {
        let ended = |m: &&Arc<Member>| m.status != MemberStatus::Down && ended(m);
        let ended: Vec<Member> =
            self.others.at(addr).filter(ended).map(|m| Member::clone(m)).collect();
        for mut member in ended {
            let (process, before) = (member.process, Some(member.status));
            member.status = MemberStatus::Down;
            self.unconfirmed_downs.clear(process);
            self.store(member, before, now);
            self.queue_gossip(process);
        }
    }

    pub(super) fn refute(&mut self, claimed: &Member) {
        let wrong = claimed.version > self.me.version
            || (claimed.version == self.me.version && claimed.status > self.me.status);
        if wrong {
            let version = claimed.version;
            self.update_me(|me| me.version = version);
        }
    }

    pub(super) fn store(&mut self, member: Member, before: Option<MemberStatus>, now: Timestamp) {
        if before.is_none() {
            self.last_newcomer_at = Some(now);
        }
        let member = Arc::new(member);
        if before != Some(member.status) {
            self.changes.push(MemberChange { member: member.clone(), before });
        }
        self.others.upsert(member, now);
        self.generation += 1;
    }

    pub(super) fn queue_gossip(&mut self, process: ProcessId) {
        if self.gossip_queued.insert(process) {
            self.gossip_queue.push_back(process);
        }
    }

    pub(super) fn set_status(&mut self, process: ProcessId, status: MemberStatus, now: Timestamp) {
        if let Some(entry) = self.others.get(process) {
            let mut member = Member::clone(&entry.member);
            member.status = status;
            self.learn(member, now);
        }
    }

    pub(super) fn send_gossip(&mut self, draw: &mut RandomIndex<'_>, out: &mut Vec<Outgoing>) {
        while !self.gossip_queue.is_empty() {
            let n = self.gossip_queue.len().min(RECORDS_PER_DATAGRAM);
            let processes: Vec<ProcessId> = self.gossip_queue.drain(..n).collect();
            for process in &processes {
                self.gossip_queued.remove(process);
            }
            let records: Vec<Member> = processes.iter().filter_map(|p| self.record(*p)).collect();
            for to in self.gossip_peers(draw) {
                out.push(Outgoing { to, probe: Probe::Records(records.clone()) });
            }
        }
    }

    pub(super) fn record(&self, process: ProcessId) -> Option<Member> {
        if process == self.me.process {
            return Some(Member::clone(&self.me));
        }
        self.others.get(process).map(|entry| Member::clone(&entry.member))
    }

    /// Returns random peers to gossip to, some of them in this process's own data centre.
    pub fn gossip_peers(&self, draw: &mut RandomIndex<'_>) -> Vec<SocketAddrV4> {
        let same_zone = self.others.sample_same_zone(FANOUT - FANOUT_ANYWHERE, draw);
        let same_zone: Vec<_> = same_zone.into_iter().map(|m| m.control).collect();
        let mut peers = self.random_peers(FANOUT, draw);
        peers.retain(|peer| !same_zone.contains(peer));
        peers.truncate(FANOUT - same_zone.len());
        peers.extend(same_zone);
        peers
    }
}
