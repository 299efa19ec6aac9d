//! Probes peers, detects those that do not answer, and handles probe messages.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{
    Digest, Membership, Outgoing, Pending, Probe, RECORDS_PER_DATAGRAM, RandomIndex, Relay,
    UNTRACKED_SEQ,
};
use crate::{Member, MemberStatus, ProcessId, Revision, Timestamp};

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between pings to processes that are declared down. A process that was cut off for a while
/// must be found again well before callers time out, because its flows continue.
const DOWN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
const FORGET_AFTER: Duration = Duration::from_mins(30);
const FORGET_INTERVAL: Duration = Duration::from_mins(1);
/// Number of records in the sample that a newcomer gets from the process through which it joins. The
/// newcomer synchronises with some of these processes next, so that not all newcomers fetch all records
/// from a few seeds.
const SAMPLE_RECORDS: usize = RECORDS_PER_DATAGRAM - 1;
const STARTUP_PROBE_INTERVAL: Duration = Duration::from_millis(100);
const INDIRECT_PROBERS: usize = 2;

impl Membership {
    /// Advances timers and returns the messages to send; to be called about every 50 ms.
    pub fn tick(&mut self, now: Timestamp, draw: &mut RandomIndex<'_>) -> Vec<Outgoing> {
        self.reset_after_pause(now);
        let mut out = Vec::new();
        self.check_pending(now, draw, &mut out);
        self.expire(now);
        if now >= self.next_probe && self.pending.is_none() {
            let starting = self.is_starting(now);
            self.next_probe = now + if starting { STARTUP_PROBE_INTERVAL } else { PROBE_INTERVAL };
            self.probe_next(now, draw, &mut out);
        }
        if now >= self.next_down_probe {
            self.next_down_probe = now + DOWN_PROBE_INTERVAL;
            self.probe_down(draw, &mut out);
        }
        self.try_seed(now, draw);
        out.extend(self.take_join_messages());
        self.send_gossip(draw, &mut out);
        out
    }

    pub(super) fn reset_after_pause(&mut self, now: Timestamp) {
        self.first_tick.get_or_insert(now);
        if self.pauses.was_paused(now) {
            self.pending = None;
            self.others.restart_suspicion(now);
        }
    }

    pub(super) fn check_pending(
        &mut self,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(pending) = self.pending else { return };
        let waited = now.since(pending.sent);
        if waited >= PROBE_TIMEOUT {
            self.pending = None;
            if self
                .others
                .get(pending.subject)
                .is_some_and(|e| e.member.status < MemberStatus::Suspect)
            {
                self.set_status(pending.subject, MemberStatus::Suspect, now);
            }
        } else if waited >= DIRECT_TIMEOUT && !pending.asked_helpers {
            self.pending = Some(Pending { asked_helpers: true, ..pending });
            let Some(entry) = self.others.get(pending.subject) else { return };
            let subject = entry.member.control;
            for to in self.random_peers(INDIRECT_PROBERS, draw) {
                if to != subject {
                    let probe = Probe::PingReq { seq: pending.seq, subject };
                    out.push(Outgoing { to, probe });
                }
            }
        }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        for process in self.others.suspect_for(SUSPECT_TIMEOUT, now) {
            self.set_status(process, MemberStatus::Down, now);
        }
        if self.unconfirmed_downs.expire(now) {
            self.generation += 1;
        }
        if now >= self.next_forget {
            self.next_forget = now + FORGET_INTERVAL;
            self.others.forget_down(FORGET_AFTER, now);
        }
        self.relays.retain(|relay| now.since(relay.sent) < PROBE_TIMEOUT);
    }

    pub(super) fn probe_next(
        &mut self,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(subject) = self.others.sample_one(draw) else { return };
        self.seq = self.seq.wrapping_add(1).max(UNTRACKED_SEQ + 1);
        self.pending = Some(Pending { subject, seq: self.seq, sent: now, asked_helpers: false });
        out.extend(self.ping(subject, self.seq));
    }

    /// Pings a random process that is declared down, unless another process has taken over its address.
    pub(super) fn probe_down(&self, draw: &mut RandomIndex<'_>, out: &mut Vec<Outgoing>) {
        let lost = self.others.sample_lost(draw);
        out.extend(lost.and_then(|process| self.ping(process, UNTRACKED_SEQ)));
    }

    pub(super) fn ping(&self, subject: ProcessId, seq: u32) -> Option<Outgoing> {
        let member = &self.others.get(subject)?.member;
        let receiver_record =
            (member.status != MemberStatus::Serving).then(|| Member::clone(member));
        let probe = Probe::Ping { seq, digest: self.digest(), receiver_record };
        Some(Outgoing { to: member.control, probe })
    }

    /// Handles a message from `from` and returns the messages to send.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        probe: Probe,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Vec<Outgoing> {
        match probe {
            Probe::Ping { seq, digest, receiver_record } => {
                self.handle_ping(from, seq, digest, receiver_record, now, draw)
            }
            Probe::Ack { seq, digest } => {
                self.handle_digest(from, digest, seq, now);
                self.handle_ack(from, seq)
            }
            Probe::PingReq { seq, subject } => {
                self.seq = self.seq.wrapping_add(1).max(UNTRACKED_SEQ + 1);
                self.relays.push(Relay { seq: self.seq, for_addr: from, for_seq: seq, sent: now });
                let probe =
                    Probe::Ping { seq: self.seq, digest: self.digest(), receiver_record: None };
                vec![Outgoing { to: subject, probe }]
            }
            Probe::Records(members) => {
                for member in members {
                    self.learn(member, now);
                }
                Vec::new()
            }
            Probe::Sample(members) => {
                self.learn_from_sync(members, now);
                Vec::new()
            }
        }
    }

    pub(super) fn handle_ping(
        &mut self,
        from: SocketAddrV4,
        seq: u32,
        digest: Digest,
        receiver_record: Option<Member>,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let unknown_sender = self.others.at(from).next().is_none();
        let newcomer = seq == UNTRACKED_SEQ && self.is_newcomer(digest.process, now);
        if receiver_record.is_some() || unknown_sender || newcomer {
            if let Some(member) = receiver_record {
                self.learn(member, now);
            }
            let me = Member::clone(&self.me);
            out.push(Outgoing { to: from, probe: Probe::Records(vec![me]) });
        }
        if unknown_sender || newcomer {
            let some =
                self.others.sample(SAMPLE_RECORDS, draw).into_iter().filter(|m| m.control != from);
            let sample = some.map(|m| Member::clone(m)).collect();
            out.push(Outgoing { to: from, probe: Probe::Sample(sample) });
        }
        self.handle_digest(from, digest, seq, now);
        let mut digest = self.digest();
        if self.busy && (unknown_sender || newcomer) {
            // The newcomer gets the routes from one of the processes in its sample instead.
            digest.revision = Revision::default();
        }
        out.push(Outgoing { to: from, probe: Probe::Ack { seq, digest } });
        out
    }

    pub(super) fn handle_ack(&mut self, from: SocketAddrV4, seq: u32) -> Vec<Outgoing> {
        if self.pending.is_some_and(|pending| pending.seq == seq) {
            self.pending = None;
        }
        // An answer to an untracked ping, which may itself have carried the wrong record, causes no
        // further ping.
        let speaks_again: Vec<Member> = self
            .others
            .at(from)
            .filter(|m| seq != UNTRACKED_SEQ && m.status >= MemberStatus::Suspect)
            .map(|m| Member::clone(m))
            .collect();
        let mut out: Vec<Outgoing> = speaks_again
            .into_iter()
            .map(|m| {
                let probe = Probe::Ping {
                    seq: UNTRACKED_SEQ,
                    digest: self.digest(),
                    receiver_record: Some(m),
                };
                Outgoing { to: from, probe }
            })
            .collect();
        if let Some(i) = self.relays.iter().position(|relay| relay.seq == seq) {
            let relay = self.relays.swap_remove(i);
            let probe = Probe::Ack { seq: relay.for_seq, digest: self.digest() };
            out.push(Outgoing { to: relay.for_addr, probe });
        }
        out
    }
}
