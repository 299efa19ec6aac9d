//! Joins the fleet through seeds and synchronises records with peers whose digests differ.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{
    Digest, Membership, Outgoing, Probe, RandomIndex, RecordBuckets, SyncPeer, UNTRACKED_SEQ,
};
use crate::{Member, MemberStatus, ProcessId, Timestamp};

const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// Number of new seeds to contact at once, as one or two of them may be gone.
const SEEDS_AT_ONCE: usize = 3;
const REJOIN_INTERVAL: Duration = Duration::from_secs(3);
const SYNC_INTERVAL: Duration = Duration::from_secs(20);
const STARTUP_SYNC_INTERVAL: Duration = Duration::from_millis(100);

impl Membership {
    /// Sets the control addresses through which this process joins.
    ///
    /// Seeds are retried for as long as the process runs. Otherwise processes that joined through each
    /// other while the rest of the fleet was unreachable would stay partitioned from it for good.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddrV4>) -> Self {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.me.control);
        self
    }

    /// Adds control addresses through which this process joins, and schedules contact with the first new
    /// ones.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddrV4>) {
        let first = self.seeds.len();
        for seed in seeds {
            if seed != self.me.control && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
        self.seeds_to_contact.extend(self.seeds.iter().skip(first).take(SEEDS_AT_ONCE));
    }

    pub(super) fn try_seed(&mut self, now: Timestamp, draw: &mut RandomIndex<'_>) {
        if self.seeds.is_empty() || now < self.next_seed {
            return;
        }
        let joining = self.fleet() <= 1 || self.is_starting(now);
        self.next_seed = now + if joining { JOIN_INTERVAL } else { REJOIN_INTERVAL };
        let seed = self.seeds[draw(self.seeds.len())];
        let known = self.others.at(seed).any(|m| m.status != MemberStatus::Down);
        if !known {
            self.seeds_to_contact.push(seed);
        }
    }

    /// Returns messages that introduce this process to the pending seeds.
    ///
    /// The seeds' answers tell this process of some other members.
    pub fn take_join_messages(&mut self) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for to in std::mem::take(&mut self.seeds_to_contact) {
            out.push(Outgoing { to, probe: Probe::Records(vec![Member::clone(&self.me)]) });
            out.push(Outgoing { to, probe: self.announcement() });
        }
        out
    }

    /// Returns whether the status of `process` was set less than [`JOIN_INTERVAL`] ago, as for a process
    /// that has only just become known.
    pub(super) fn is_newcomer(&self, process: ProcessId, now: Timestamp) -> bool {
        self.others.get(process).is_some_and(|e| now.since(e.since) < JOIN_INTERVAL)
    }

    pub(super) fn handle_digest(
        &mut self,
        from: SocketAddrV4,
        digest: Digest,
        seq: u32,
        now: Timestamp,
    ) {
        self.retire_others_at(from, digest.process, now);
        self.set_stored_size(digest.stored_size);
        self.last_digest_matched = digest.members == self.hash();
        self.last_digest_at = Some(now);
        if self.last_digest_matched || now < self.next_sync {
            return;
        }
        // While the whole fleet starts, all digests differ. A peer that knows more processes is worth a
        // synchronisation, unless it only answered an untracked ping: seeds get those from every process,
        // and would have to synchronise with all of them.
        let knows_more = usize::try_from(digest.known).is_ok_and(|known| known > self.fleet());
        let (pause, peer) = match self.is_starting(now) {
            true if knows_more && seq != UNTRACKED_SEQ => {
                (STARTUP_SYNC_INTERVAL, SyncPeer::This(from))
            }
            true => (STARTUP_SYNC_INTERVAL, SyncPeer::Any),
            false => (SYNC_INTERVAL, SyncPeer::This(from)),
        };
        self.next_sync = now + pause;
        self.pending_syncs.push_back(peer);
    }

    /// Allows a synchronisation with another peer at once, because the last one failed.
    ///
    /// This applies only while this process is starting.
    pub fn retry_sync(&mut self, now: Timestamp) {
        if self.is_starting(now) {
            self.next_sync = now;
        }
    }

    /// Returns the next peer to synchronise all records with.
    pub fn next_sync_peer(&mut self, draw: &mut RandomIndex<'_>) -> Option<SocketAddrV4> {
        match self.pending_syncs.pop_front()? {
            SyncPeer::This(peer) => Some(peer),
            SyncPeer::Any => self.random_peer(draw),
        }
    }

    /// Returns hashes by which a peer finds the records that differ; `salt` must be new for each
    /// comparison.
    #[must_use]
    pub fn buckets(&self, salt: u64) -> RecordBuckets {
        RecordBuckets::new(self.all(), self.others.len() + 1, salt)
    }

    /// Returns all records in the buckets whose hashes differ from the peer's.
    #[must_use]
    pub fn differing(&self, theirs: &RecordBuckets) -> Vec<Member> {
        let ours = theirs.with_same_buckets(self.all());
        self.all().filter(|m| ours.differs(theirs, m)).cloned().collect()
    }
}
