//! Records of processes: taken in, told apart by version and address, passed on as news.

use std::net::SocketAddrV4;
use std::sync::Arc;

use super::{FANOUT, MemberChange, Membership, Outgoing, Probe, RECORDS_PER_DATAGRAM, RandomIndex};
use crate::{Member, MemberStatus, ProcessId, Timestamp};

/// How many of them are in any data centre; the rest are in the own one, as bytes between data centres cost. Each
/// process that hears of a record passes it on, so each data centre still gets it from many sides.
const FANOUT_ANYWHERE: usize = 2;

impl Membership {
    /// Changes this process's own record, raising its version.
    pub fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        let me = Arc::make_mut(&mut self.me);
        change(me);
        me.version += 1;
        self.generation += 1;
        self.mark_fresh(self.me.process);
    }

    /// Takes in a record, if it is newer than the one held; then it is passed on.
    pub fn learn(&mut self, member: Member, now: Timestamp) {
        let process = member.process;
        if self.take_in(member, now) {
            self.mark_fresh(process);
        }
    }

    /// Takes in records that a comparison has brought: they are held by others who compare too, and if all passed on
    /// all that they learn when everything starts, it would go to everybody many times over.
    pub fn learn_from_sync(&mut self, members: impl IntoIterator<Item = Member>, now: Timestamp) {
        for member in members {
            self.take_in(member, now);
        }
    }

    /// Returns whether the record was newer.
    pub(super) fn take_in(&mut self, member: Member, now: Timestamp) -> bool {
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
        // The word of the process itself comes with a higher version.
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

    /// A process found at the address of an earlier run of itself proves that the run has ended.
    pub(super) fn retire_predecessors(&mut self, newcomer: &Member, now: Timestamp) {
        let ended = |m: &Member| m.process != newcomer.process && m.started < newcomer.started;
        self.retire(newcomer.control, ended, now);
    }

    /// Whoever speaks from an address is the only one there, whatever the clocks of both say.
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
            self.mark_fresh(process);
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
            self.last_newcomer = Some(now);
        }
        let member = Arc::new(member);
        if before != Some(member.status) {
            self.changes.push(MemberChange { member: member.clone(), before });
        }
        self.others.put(member, now);
        self.generation += 1;
    }

    pub(super) fn mark_fresh(&mut self, process: ProcessId) {
        if self.is_fresh.insert(process) {
            self.fresh.push_back(process);
        }
    }

    pub(super) fn set_status(&mut self, process: ProcessId, status: MemberStatus, now: Timestamp) {
        if let Some(entry) = self.others.get(process) {
            let mut member = Member::clone(&entry.member);
            member.status = status;
            self.learn(member, now);
        }
    }

    pub(super) fn spread(&mut self, draw: &mut RandomIndex<'_>, out: &mut Vec<Outgoing>) {
        while !self.fresh.is_empty() {
            let n = self.fresh.len().min(RECORDS_PER_DATAGRAM);
            let processes: Vec<ProcessId> = self.fresh.drain(..n).collect();
            for process in &processes {
                self.is_fresh.remove(process);
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

    /// Returns the peers to which news are passed.
    pub fn gossip_peers(&self, draw: &mut RandomIndex<'_>) -> Vec<SocketAddrV4> {
        let near = self.others.draw_near(FANOUT - FANOUT_ANYWHERE, draw);
        let near: Vec<_> = near.into_iter().map(|m| m.control).collect();
        let mut peers = self.random_peers(FANOUT, draw);
        peers.retain(|peer| !near.contains(peer));
        peers.truncate(FANOUT - near.len());
        peers.extend(near);
        peers
    }
}
