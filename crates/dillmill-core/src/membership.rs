//! Which processes are serving, leaving, suspect or down.
//!
//! A probing protocol after SWIM (Das, Gupta and Motivala, 2002): each process probes one other at
//! a time, asks two more to probe when no answer comes, then suspects, and after a delay declares
//! the silent one down. Records spread as rumours: a record that is new to a process is passed at
//! once to [`FANOUT`] others, and every probe and answer carries a digest so that two processes
//! find out that they differ. What a comparison brings is no news: others compare as well.
//!
//! | Part | Holds |
//! |---|---|
//! | `peer_table` | all records, found by address, standing and data centre, or drawn at random |
//! | `records` | which of two records holds, and which is news |
//! | `probing` | who is asked, and what no answer means |
//! | `unconfirmed_downs` | who was held for down by silence just now, and may object |
//! | `joining` | how a process finds others and compares records with them |
//! | `settling` | whether all processes are known |
//!
//! Silence removes new work and nothing else: flows are pinned by their connection ids, and a
//! process that speaks again raises its version and is served again.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Member, MemberStatus, PauseDetector, ProcessId, Revision, Role, ServiceName, Timestamp,
};

mod fleet_size;
mod joining;
mod peer_table;
mod probe;
mod probing;
mod record_buckets;
mod records;
mod sampling_set;
mod settling;
mod unconfirmed_downs;

use peer_table::PeerTable;
use unconfirmed_downs::UnconfirmedDowns;

pub use fleet_size::{FleetSize, StoredSize};
pub use probe::{Digest, MemberChange, Outgoing, Probe, RandomIndex};
pub use record_buckets::RecordBuckets;

/// Others to which a new record is passed at once.
pub const FANOUT: usize = 4;
/// Records in one datagram; about 70 bytes each.
pub const RECORDS_PER_DATAGRAM: usize = 12;
/// A tick that comes this late means that this process was paused, not that others were silent.
const PAUSE: Duration = Duration::from_millis(800);
/// Number of pings that tell a process what is held of it; no probe waits for their answer.
const ABOUT_SEQ: u32 = 0;

#[derive(Debug, Clone, Copy)]
struct Pending {
    subject: ProcessId,
    seq: u32,
    sent: Timestamp,
    asked_helpers: bool,
}

/// A ping made for another process.
#[derive(Debug, Clone, Copy)]
struct Relay {
    seq: u32,
    for_addr: SocketAddrV4,
    for_seq: u32,
    sent: Timestamp,
}

/// Whom to compare all records with.
#[derive(Debug, Clone, Copy)]
enum SyncPeer {
    This(SocketAddrV4),
    Any,
}

/// The view that one process has of all.
#[derive(Debug)]
pub struct Membership {
    me: Arc<Member>,
    others: PeerTable,
    unconfirmed_downs: UnconfirmedDowns,
    seq: u32,
    pending: Option<Pending>,
    relays: Vec<Relay>,
    fresh: VecDeque<ProcessId>,
    is_fresh: HashSet<ProcessId>,
    changes: Vec<MemberChange>,
    next_probe: Timestamp,
    next_revive: Timestamp,
    next_forget: Timestamp,
    next_sync: Timestamp,
    first_tick: Option<Timestamp>,
    /// The last peer that was compared with held the same records.
    agrees: bool,
    /// When a process became known that was not known before.
    last_newcomer: Option<Timestamp>,
    /// When a peer last showed which records it holds.
    last_compared: Option<Timestamp>,
    pauses: PauseDetector,
    revision: Revision,
    evacuations: Revision,
    stored_size: StoredSize,
    /// Too many ask this process for what is new to them: it shows newcomers no revision for a moment.
    busy: bool,
    /// Peers to compare all records with.
    wants_sync: VecDeque<SyncPeer>,
    /// Seeds to ask.
    joins: Vec<SocketAddrV4>,
    generation: u64,
    seeds: Vec<SocketAddrV4>,
    next_seed: Timestamp,
}

impl Membership {
    /// Creates a view that holds only `me`.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            fresh: VecDeque::from([me.process]),
            is_fresh: HashSet::from([me.process]),
            others: PeerTable::new(me.zone.clone()),
            unconfirmed_downs: UnconfirmedDowns::default(),
            me: Arc::new(me),
            seq: 0,
            pending: None,
            relays: Vec::new(),
            changes: Vec::new(),
            next_probe: Timestamp::default(),
            next_revive: Timestamp::default(),
            next_forget: Timestamp::default(),
            next_sync: Timestamp::default(),
            first_tick: None,
            agrees: false,
            last_newcomer: None,
            last_compared: None,
            pauses: PauseDetector::new(PAUSE),
            revision: Revision::default(),
            evacuations: Revision::default(),
            stored_size: StoredSize::default(),
            busy: false,
            wants_sync: VecDeque::new(),
            joins: Vec::new(),
            generation: 0,
            seeds: Vec::new(),
            next_seed: Timestamp::default(),
        }
    }

    /// Returns this process's own record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns all records but this process's own.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.members().map(Arc::as_ref)
    }

    /// Returns all records.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(self.me.as_ref()).chain(self.others())
    }

    /// Returns all records, shared with this view: who is down by silence only just now is shown as suspect.
    #[must_use]
    pub fn shared(&self) -> Vec<Arc<Member>> {
        let shown = |member: &Arc<Member>| {
            if self.unconfirmed_downs.contains(member.process) {
                Arc::new(Member { status: MemberStatus::Suspect, ..Member::clone(member) })
            } else {
                member.clone()
            }
        };
        std::iter::once(self.me.clone()).chain(self.others.members().map(shown)).collect()
    }

    /// Returns the number of processes not known to be down, this one included.
    #[must_use]
    pub fn fleet(&self) -> usize {
        self.others.up() + usize::from(self.me.status != MemberStatus::Down)
    }

    /// Returns the agents of `service` that take new work.
    pub fn serving(&self, service: &ServiceName) -> impl Iterator<Item = &Member> {
        self.all().filter(move |m| {
            m.status == MemberStatus::Serving
                && matches!(&m.role, Role::Agent(name) if name == service)
        })
    }

    /// Returns how long `process` has had its standing, `None` if it is not known.
    #[must_use]
    pub fn standing(&self, process: ProcessId, now: Timestamp) -> Option<(MemberStatus, Duration)> {
        self.others.get(process).map(|e| (e.member.status, now.since(e.since)))
    }

    /// Returns a number that grows with every change of the view.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets the settings revision that the digest shows.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Sets the revision of the evacuation orders that the digest shows.
    pub fn set_evacuations(&mut self, revision: Revision) {
        self.evacuations = revision;
    }

    /// Sets whether too many ask this process for what is new to them.
    pub fn set_busy(&mut self, busy: bool) {
        self.busy = busy;
    }

    /// Returns this process's digest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            process: self.me.process,
            revision: self.revision,
            evacuations: self.evacuations,
            stored_size: self.stored_size,
            known: u32::try_from(self.fleet()).unwrap_or(u32::MAX),
            members: self.hash(),
        }
    }

    fn hash(&self) -> u64 {
        self.others.hash() ^ record_hash(&self.me)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns a ping that shows this process's digest; no answer to it is waited for.
    #[must_use]
    pub fn announcement(&self) -> Probe {
        Probe::Ping { seq: ABOUT_SEQ, digest: self.digest(), receiver_record: None }
    }

    /// Returns a random peer that is not down.
    pub fn random_peer(&self, draw: &mut RandomIndex<'_>) -> Option<SocketAddrV4> {
        self.random_peers(1, draw).first().copied()
    }

    /// Returns up to `n` random peers that are not down.
    pub fn random_peers(&self, n: usize, draw: &mut RandomIndex<'_>) -> Vec<SocketAddrV4> {
        self.others.draw(n, draw).into_iter().map(|m| m.control).collect()
    }
}

fn record_hash(member: &Member) -> u64 {
    xxh3_64(&record_bytes(member))
}

/// What tells two versions of a record apart.
fn record_bytes(member: &Member) -> [u8; 13] {
    let mut bytes = [0; 13];
    bytes[..8].copy_from_slice(&member.process.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&member.version.to_le_bytes());
    bytes[12] = member.status as u8;
    bytes
}
