//! Fleet membership: tracks which processes are serving, leaving, suspect or down.
//!
//! The failure detector follows SWIM (Das, Gupta and Motivala, 2002). Each process probes one peer
//! at a time. If the peer does not answer, the process asks two others to probe it, then marks the
//! peer as suspect, and after a further delay declares it down.
//!
//! Records spread by gossip: a process sends each record that is new to it to [`FANOUT`] peers at
//! once. Every probe and answer also carries a digest, so that two processes notice when their
//! records differ and can synchronise them. Records learned by synchronisation are not gossiped
//! further, because the other processes synchronise as well.
//!
//! | Module | Responsibility |
//! |---|---|
//! | `peer_table` | stores all records; looks them up by address, status and data centre, or at random |
//! | `records` | decides which of two records wins and which records are gossiped |
//! | `probing` | selects the peers to probe and handles missing answers |
//! | `unconfirmed_downs` | tracks processes just declared down for silence, which may still refute it |
//! | [`member`] | a process's member record and status |
//! | `joining` | finds other processes and synchronises records with them |
//! | `settling` | decides whether all processes are known |
//!
//! A process that stops answering only stops getting new work. Existing flows stay with it, as they are
//! pinned by their connection ids. When it answers again, it raises the version of its record and
//! gets new work again.

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
pub mod member;
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

/// Number of peers to which a new record is gossiped at once.
pub const FANOUT: usize = 4;
/// Maximum number of records in one datagram; a record takes about 70 bytes.
pub const RECORDS_PER_DATAGRAM: usize = 12;
/// A longer gap between two ticks means that this process was paused, not that its peers were silent.
const PAUSE: Duration = Duration::from_millis(800);
/// Sequence number of pings whose answers are not tracked by a pending probe, such as those that tell a
/// process which record of it the sender holds.
const UNTRACKED_SEQ: u32 = 0;

/// The probe that awaits an answer.
#[derive(Debug, Clone, Copy)]
struct Pending {
    subject: ProcessId,
    seq: u32,
    sent: Timestamp,
    asked_helpers: bool,
}

/// A ping sent on behalf of another process.
#[derive(Debug, Clone, Copy)]
struct Relay {
    seq: u32,
    for_addr: SocketAddrV4,
    for_seq: u32,
    sent: Timestamp,
}

/// The peer to synchronise all records with.
#[derive(Debug, Clone, Copy)]
enum SyncPeer {
    This(SocketAddrV4),
    Any,
}

/// One process's view of the whole fleet.
#[derive(Debug)]
pub struct Membership {
    me: Arc<Member>,
    others: PeerTable,
    unconfirmed_downs: UnconfirmedDowns,
    seq: u32,
    pending: Option<Pending>,
    relays: Vec<Relay>,
    gossip_queue: VecDeque<ProcessId>,
    gossip_queued: HashSet<ProcessId>,
    changes: Vec<MemberChange>,
    next_probe: Timestamp,
    next_down_probe: Timestamp,
    next_forget: Timestamp,
    next_sync: Timestamp,
    first_tick: Option<Timestamp>,
    /// Whether the last digest received showed the same records as this view.
    last_digest_matched: bool,
    /// When a previously unknown process was last added.
    last_newcomer_at: Option<Timestamp>,
    /// When a peer's digest last arrived.
    last_digest_at: Option<Timestamp>,
    pauses: PauseDetector,
    revision: Revision,
    evacuations: Revision,
    stored_size: StoredSize,
    /// This process is answering too many synchronisations. While this is set, the digests that it sends
    /// to newcomers show no settings revision, so that they fetch the routes from another process.
    busy: bool,
    /// Peers to synchronise all records with.
    pending_syncs: VecDeque<SyncPeer>,
    /// Seeds to contact next.
    seeds_to_contact: Vec<SocketAddrV4>,
    generation: u64,
    seeds: Vec<SocketAddrV4>,
    next_seed: Timestamp,
}

impl Membership {
    /// Creates a view that contains only `me`.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            gossip_queue: VecDeque::from([me.process]),
            gossip_queued: HashSet::from([me.process]),
            others: PeerTable::new(me.zone.clone()),
            unconfirmed_downs: UnconfirmedDowns::default(),
            me: Arc::new(me),
            seq: 0,
            pending: None,
            relays: Vec::new(),
            changes: Vec::new(),
            next_probe: Timestamp::default(),
            next_down_probe: Timestamp::default(),
            next_forget: Timestamp::default(),
            next_sync: Timestamp::default(),
            first_tick: None,
            last_digest_matched: false,
            last_newcomer_at: None,
            last_digest_at: None,
            pauses: PauseDetector::new(PAUSE),
            revision: Revision::default(),
            evacuations: Revision::default(),
            stored_size: StoredSize::default(),
            busy: false,
            pending_syncs: VecDeque::new(),
            seeds_to_contact: Vec::new(),
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

    /// Returns all records except this process's own.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.members().map(Arc::as_ref)
    }

    /// Returns all records, starting with this process's own.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(self.me.as_ref()).chain(self.others())
    }

    /// Returns all records, shared with this view.
    ///
    /// A process that was declared down for silence only a moment ago is shown as suspect.
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

    /// Returns the number of processes that are not known to be down, including this one.
    #[must_use]
    pub fn fleet(&self) -> usize {
        self.others.up() + usize::from(self.me.status != MemberStatus::Down)
    }

    /// Returns the agents of `service` that accept new work.
    pub fn serving(&self, service: &ServiceName) -> impl Iterator<Item = &Member> {
        self.all().filter(move |m| {
            m.status == MemberStatus::Serving
                && matches!(&m.role, Role::Agent(name) if name == service)
        })
    }

    /// Returns the status of `process` and how long it has had it, or `None` for an unknown process.
    #[must_use]
    pub fn standing(&self, process: ProcessId, now: Timestamp) -> Option<(MemberStatus, Duration)> {
        self.others.get(process).map(|e| (e.member.status, now.since(e.since)))
    }

    /// Returns a counter that increases with every change of the view.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets the settings revision to advertise in digests.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Sets the revision of the evacuation orders to advertise in digests.
    pub fn set_evacuations(&mut self, revision: Revision) {
        self.evacuations = revision;
    }

    /// Sets whether this process is answering too many synchronisations.
    ///
    /// While it is, digests sent to newcomers show no settings revision.
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

    /// Returns the status changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns a ping that announces this process's digest and needs no answer.
    #[must_use]
    pub fn announcement(&self) -> Probe {
        Probe::Ping { seq: UNTRACKED_SEQ, digest: self.digest(), receiver_record: None }
    }

    /// Returns a random peer that is not down.
    pub fn random_peer(&self, draw: &mut RandomIndex<'_>) -> Option<SocketAddrV4> {
        self.random_peers(1, draw).first().copied()
    }

    /// Returns up to `n` random peers that are not down.
    pub fn random_peers(&self, n: usize, draw: &mut RandomIndex<'_>) -> Vec<SocketAddrV4> {
        self.others.sample(n, draw).into_iter().map(|m| m.control).collect()
    }
}

fn record_hash(member: &Member) -> u64 {
    xxh3_64(&record_bytes(member))
}

/// Returns the bytes that distinguish the versions of a record.
fn record_bytes(member: &Member) -> [u8; 13] {
    let mut bytes = [0; 13];
    bytes[..8].copy_from_slice(&member.process.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&member.version.to_le_bytes());
    bytes[12] = member.status as u8;
    bytes
}
