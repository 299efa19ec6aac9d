//! Probes: who is asked, who has not answered, what an answer tells.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{
    ABOUT_SEQ, Digest, Membership, Outgoing, Pending, Probe, RECORDS_PER_DATAGRAM, RandomIndex,
    Relay,
};
use crate::{Member, MemberStatus, ProcessId, Revision, Timestamp};

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two pings to processes that are held for down. One that was cut off for a while must be known
/// again well before callers have used up their patience: its flows run on.
const REVIVE_INTERVAL: Duration = Duration::from_secs(1);
const FORGET_AFTER: Duration = Duration::from_mins(30);
const FORGET_INTERVAL: Duration = Duration::from_mins(1);
/// Records that a newcomer is told by whoever it joins through. It compares with some of these processes next, so that
/// not all newcomers take all records from a few seeds.
const SAMPLE: usize = RECORDS_PER_DATAGRAM - 1;
const YOUNG_PROBE_INTERVAL: Duration = Duration::from_millis(100);
const HELPERS: usize = 2;

impl Membership {
    /// Advances timers and returns what is to be sent; call it every 50 ms or so.
    pub fn tick(&mut self, now: Timestamp, draw: &mut RandomIndex<'_>) -> Vec<Outgoing> {
        self.forgive_pause(now);
        let mut out = Vec::new();
        self.check_pending(now, draw, &mut out);
        self.expire(now);
        if now >= self.next_probe && self.pending.is_none() {
            let young = self.is_young(now);
            self.next_probe = now + if young { YOUNG_PROBE_INTERVAL } else { PROBE_INTERVAL };
            self.probe_next(now, draw, &mut out);
        }
        if now >= self.next_revive {
            self.next_revive = now + REVIVE_INTERVAL;
            self.probe_down(draw, &mut out);
        }
        self.try_seed(now, draw);
        out.extend(self.take_join_messages());
        self.spread(draw, &mut out);
        out
    }

    pub(super) fn forgive_pause(&mut self, now: Timestamp) {
        self.first_tick.get_or_insert(now);
        if self.pauses.was_paused(now) {
            self.pending = None;
            self.others.suspect_since(now);
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
            for to in self.random_peers(HELPERS, draw) {
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
        let Some(subject) = self.others.draw_one(draw) else { return };
        self.seq = self.seq.wrapping_add(1).max(ABOUT_SEQ + 1);
        self.pending = Some(Pending { subject, seq: self.seq, sent: now, asked_helpers: false });
        out.extend(self.ping(subject, self.seq));
    }

    /// Pings a process that is held for down, other than one whose address another run has taken over.
    pub(super) fn probe_down(&self, draw: &mut RandomIndex<'_>, out: &mut Vec<Outgoing>) {
        let lost = self.others.draw_lost(draw);
        out.extend(lost.and_then(|process| self.ping(process, ABOUT_SEQ)));
    }

    pub(super) fn ping(&self, subject: ProcessId, seq: u32) -> Option<Outgoing> {
        let member = &self.others.get(subject)?.member;
        let receiver_record =
            (member.status != MemberStatus::Serving).then(|| Member::clone(member));
        let probe = Probe::Ping { seq, digest: self.digest(), receiver_record };
        Some(Outgoing { to: member.control, probe })
    }

    /// Takes in a message that came from `from`.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        probe: Probe,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Vec<Outgoing> {
        match probe {
            Probe::Ping { seq, digest, receiver_record } => {
                self.pinged(from, seq, digest, receiver_record, now, draw)
            }
            Probe::Ack { seq, digest } => {
                self.compare(from, digest, seq, now);
                self.acknowledge(from, seq)
            }
            Probe::PingReq { seq, subject } => {
                self.seq = self.seq.wrapping_add(1).max(ABOUT_SEQ + 1);
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

    pub(super) fn pinged(
        &mut self,
        from: SocketAddrV4,
        seq: u32,
        digest: Digest,
        receiver_record: Option<Member>,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let stranger = self.others.at(from).next().is_none();
        let newcomer = seq == ABOUT_SEQ && self.is_newcomer(digest.process, now);
        if receiver_record.is_some() || stranger || newcomer {
            if let Some(member) = receiver_record {
                self.learn(member, now);
            }
            let me = Member::clone(&self.me);
            out.push(Outgoing { to: from, probe: Probe::Records(vec![me]) });
        }
        if stranger || newcomer {
            let some = self.others.draw(SAMPLE, draw).into_iter().filter(|m| m.control != from);
            let sample = some.map(|m| Member::clone(m)).collect();
            out.push(Outgoing { to: from, probe: Probe::Sample(sample) });
        }
        self.compare(from, digest, seq, now);
        let mut digest = self.digest();
        if self.busy && (stranger || newcomer) {
            // It hears of the routes from one of those that it is told of.
            digest.revision = Revision::default();
        }
        out.push(Outgoing { to: from, probe: Probe::Ack { seq, digest } });
        out
    }

    pub(super) fn acknowledge(&mut self, from: SocketAddrV4, seq: u32) -> Vec<Outgoing> {
        if self.pending.is_some_and(|pending| pending.seq == seq) {
            self.pending = None;
        }
        // An answer to a ping that was itself about a wrong record is not followed by another.
        let speaks_again: Vec<Member> = self
            .others
            .at(from)
            .filter(|m| seq != ABOUT_SEQ && m.status >= MemberStatus::Suspect)
            .map(|m| Member::clone(m))
            .collect();
        let mut out: Vec<Outgoing> = speaks_again
            .into_iter()
            .map(|m| {
                let probe =
                    Probe::Ping { seq: ABOUT_SEQ, digest: self.digest(), receiver_record: Some(m) };
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
