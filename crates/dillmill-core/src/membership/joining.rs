//! How a process finds the others, and compares its records with theirs.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{ABOUT_SEQ, Digest, Membership, Outgoing, Probe, RandomIndex, RecordBuckets, SyncPeer};
use crate::{Member, MemberStatus, ProcessId, Timestamp};

const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// New seeds that are asked at once: one or two of them may be gone.
const SEEDS_AT_ONCE: usize = 3;
const REJOIN_INTERVAL: Duration = Duration::from_secs(3);
const SYNC_INTERVAL: Duration = Duration::from_secs(20);
const YOUNG_SYNC_INTERVAL: Duration = Duration::from_millis(100);

impl Membership {
    /// Sets the control addresses through which this process joins.
    ///
    /// They are tried again and again, also later: processes that joined through each other while
    /// the rest was out of reach would otherwise stay apart from it for good.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddrV4>) -> Self {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.me.control);
        self
    }

    /// Adds control addresses through which this process joins.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddrV4>) {
        let first = self.seeds.len();
        for seed in seeds {
            if seed != self.me.control && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
        self.joins.extend(self.seeds.iter().skip(first).take(SEEDS_AT_ONCE));
    }

    pub(super) fn try_seed(&mut self, now: Timestamp, draw: &mut RandomIndex<'_>) {
        if self.seeds.is_empty() || now < self.next_seed {
            return;
        }
        let joining = self.fleet() <= 1 || self.is_young(now);
        self.next_seed = now + if joining { JOIN_INTERVAL } else { REJOIN_INTERVAL };
        let seed = self.seeds[draw(self.seeds.len())];
        let known = self.others.at(seed).any(|m| m.status != MemberStatus::Down);
        if !known {
            self.joins.push(seed);
        }
    }

    /// Returns what makes this process known to seeds that are to be asked, whose answers tell of some others.
    pub fn take_join_messages(&mut self) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for to in std::mem::take(&mut self.joins) {
            out.push(Outgoing { to, probe: Probe::Records(vec![Member::clone(&self.me)]) });
            out.push(Outgoing { to, probe: self.announcement() });
        }
        out
    }

    /// Returns whether a process became known only just now.
    pub(super) fn is_newcomer(&self, process: ProcessId, now: Timestamp) -> bool {
        self.others.get(process).is_some_and(|e| now.since(e.since) < JOIN_INTERVAL)
    }

    pub(super) fn compare(&mut self, from: SocketAddrV4, digest: Digest, seq: u32, now: Timestamp) {
        self.retire_others_at(from, digest.process, now);
        self.set_stored_size(digest.stored_size);
        self.agrees = digest.members == self.hash();
        self.last_compared = Some(now);
        if self.agrees || now < self.next_sync {
            return;
        }
        // While everything starts all differ: one that knows more is worth asking, but for the seeds that all ask.
        let knows_more = usize::try_from(digest.known).is_ok_and(|known| known > self.fleet());
        let (pause, peer) = match self.is_young(now) {
            true if knows_more && seq != ABOUT_SEQ => (YOUNG_SYNC_INTERVAL, SyncPeer::This(from)),
            true => (YOUNG_SYNC_INTERVAL, SyncPeer::Any),
            false => (SYNC_INTERVAL, SyncPeer::This(from)),
        };
        self.next_sync = now + pause;
        self.wants_sync.push_back(peer);
    }

    /// Has records compared with another peer soon: one that was asked has not answered.
    pub fn retry_sync(&mut self, now: Timestamp) {
        if self.is_young(now) {
            self.next_sync = now;
        }
    }

    /// Returns a peer to compare all records with.
    pub fn next_sync_peer(&mut self, draw: &mut RandomIndex<'_>) -> Option<SocketAddrV4> {
        match self.wants_sync.pop_front()? {
            SyncPeer::This(peer) => Some(peer),
            SyncPeer::Any => self.random_peer(draw),
        }
    }

    /// Returns hashes by which a peer finds the records that differ; `salt` is another one for each comparison.
    #[must_use]
    pub fn buckets(&self, salt: u64) -> RecordBuckets {
        RecordBuckets::new(self.all(), self.others.len() + 1, salt)
    }

    /// Returns the records of the buckets in which a peer's hashes differ from ours.
    #[must_use]
    pub fn differing(&self, theirs: &RecordBuckets) -> Vec<Member> {
        let ours = theirs.of(self.all());
        self.all().filter(|m| ours.differs(theirs, m)).cloned().collect()
    }
}
