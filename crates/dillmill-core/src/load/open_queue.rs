//! Holds the packets that wait for an overloaded target, and chooses which one is served next.
//!
//! A caller that is refused retries at once, a few times in a row, and then abandons its request.
//! An opening packet that is queued instead is served as soon as there is capacity. An unserved
//! request is worse than a late one, so packets are served in this order:
//!
//! 1. Packets whose callers may soon end their current attempt, oldest first; new packets queue
//!    behind them. This applies only while callers that were waiting before the agent started may
//!    have no attempts left. At any other time a caller that ends an attempt returns with a new
//!    packet, which is then the newest and is served no later.
//! 2. Packets that can still be answered in time, newest first.
//! 3. Late packets, oldest first, only if the target would otherwise be idle.
//! 4. Packets whose callers have probably given up, only if nothing else waits.
//!
//! That is the order while all requests to the target have the same priority, or with priority
//! order off. If requests of several priorities compete for the target's slots, no packet is taken
//! without room, and the order is:
//!
//! 1. The urgent packets above, then packets of which little of the request's whole timeout
//!    remains, oldest first.
//! 2. Packets that can still be answered in time, by priority; within one priority, those that have
//!    the least time left for it.
//! 3. Late packets, by priority, oldest first within one priority.
//! 4. Packets whose callers have probably given up.
//!
//! A packet with little of the request's timeout left is at its *last chance*. While packets of 2
//! wait, last chances get only a share of the turns, which they may save up for a short overload.
//! Under a lasting one every surplus request comes to its last chance, and would take the turn of
//! one that can be in time.
//!
//! A share of the turns of 2 and 3 goes to the first packet with a lower priority than the packet
//! whose turn it would be. Priority applies only within each of the groups above: late packets ahead
//! of others that can be in time would make those late as well.
//!
//! A queue that always served the oldest packet would never recover once its delay had reached
//! the callers' attempt timeout: all its work would go to callers that had just given up, and
//! each of them would be back with another attempt. Under a load that stays at the targets'
//! capacity it would also make every answer late in order to save a few.
//!
//! | Part | Responsibility |
//! |---|---|
//! | `choice` | which packet is next, by time or by priority |
//! | `serving_order` | rank of a packet in the order by priority |
//! | `last_chance_turns` | turns of last chances ahead of packets that can be answered in time |
//! | `wait_terms` | time limits of a waiting packet, and whether its caller is still there |
//! | `following` | further packets of a request that waits |
//! | `moving` | which waiting packets are served by a sibling |

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::attempt_timeout::{AttemptTimeoutEstimator, MAX_ATTEMPT_TIMEOUT};
use crate::{Envelope, FlowTuple, PRIORITY_CLASSES, Timestamp};

mod choice;
mod following;
mod last_chance_turns;
mod moving;
mod serving_order;
mod wait_terms;

use following::FollowingPackets;
use last_chance_turns::LastChanceTurns;
pub use serving_order::TakeReason;
use serving_order::TurnShare;
use wait_terms::WaitState;
pub use wait_terms::{WaitTerms, wait_limit, waiting_since};

/// Maximum number of queued opening packets, some 200 bytes each. No packet is refused in favour
/// of another before its caller gives up, because a refusal only uses up one of the caller's
/// attempts.
const MAX_WAITING: usize = 1000;

/// A waiting opening packet, or a request on an open flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingOpen {
    /// The flow of the packet.
    pub flow: FlowTuple,
    /// The packet's bytes.
    pub packet: Vec<u8>,
    /// The envelope that the packet arrived in.
    pub envelope: Envelope,
    /// The time limits of its wait.
    pub terms: WaitTerms,
}

/// The queue of opening packets of one agent.
#[derive(Debug)]
pub struct OpenQueue {
    waiting: Vec<WaitingOpen>,
    started: Timestamp,
    /// Learned attempt timeout of the callers of each route.
    estimators: HashMap<SocketAddrV4, AttemptTimeoutEstimator>,
    following: FollowingPackets,
    low_priority: TurnShare,
    last_chance: LastChanceTurns,
    taken: [u64; TakeReason::ALL.len()],
    last_taken: Option<TakeReason>,
}

impl OpenQueue {
    /// Creates the queue of an agent that starts at `now`.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            waiting: Vec::new(),
            started: now,
            estimators: HashMap::new(),
            following: FollowingPackets::default(),
            low_priority: TurnShare::default(),
            last_chance: LastChanceTurns::default(),
            taken: [0; TakeReason::ALL.len()],
            last_taken: None,
        }
    }

    /// Returns whether a request on the open flow `flow` is queued, or a packet of one.
    #[must_use]
    pub fn holds_request(&self, flow: &FlowTuple) -> bool {
        let request = |open: &WaitingOpen| open.terms.open_flow && open.flow == *flow;
        self.waiting.iter().any(request) || self.following.holds(flow)
    }

    /// Returns whether a packet of `flow` is queued.
    #[must_use]
    pub fn contains(&self, flow: &FlowTuple) -> bool {
        self.waiting.iter().any(|open| open.flow == *flow)
    }

    /// Queues a packet, or returns it if the queue is full. A copy of a queued packet is dropped. A
    /// further packet of a queued request follows the request.
    pub fn push(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        if let Some(queued) = self.waiting.iter().find(|queued| queued.flow == open.flow) {
            let request = queued.terms.open_flow && open.terms.open_flow;
            if request && queued.terms.seq != open.terms.seq {
                return self.following.push(open);
            }
            self.note_copy(&open.flow, open.terms.copies);
            return None;
        }
        if self.following.holds(&open.flow) {
            return self.following.push(open);
        }
        if self.waiting.len() >= MAX_WAITING {
            return Some(open);
        }
        self.waiting.push(open);
        None
    }

    /// Records a retransmission of the opening packet of `flow`; returns whether the packet is
    /// queued here.
    pub fn note_copy(&mut self, flow: &FlowTuple, copies: u32) -> bool {
        let waiting = self.waiting.iter_mut().find(|open| open.flow == *flow);
        let Some(open) = waiting else { return false };
        open.terms.copies = open.terms.copies.max(copies);
        true
    }

    /// Records whether the caller opened its flow after an opening packet of `route` that the
    /// target took after `waited`.
    pub fn note_outcome(
        &mut self,
        route: SocketAddrV4,
        waited: Duration,
        opened: bool,
        now: Timestamp,
    ) {
        self.estimators.entry(route).or_default().note(waited, opened, now);
    }

    /// Returns how long the caller of `flow` is expected to wait for the answer to its opening
    /// packet.
    #[must_use]
    pub fn attempt_timeout(&self, flow: &FlowTuple, terms: &WaitTerms, now: Timestamp) -> Duration {
        let learned = self.estimators.get(&flow.route());
        learned.map_or(terms.attempt_timeout, |learned| learned.refine(terms.attempt_timeout, now))
    }

    fn wait_state(&self, open: &WaitingOpen, now: Timestamp) -> WaitState {
        let attempt_timeout = self.attempt_timeout(&open.flow, &open.terms, now);
        open.terms.wait_state(attempt_timeout, now.since(self.started), now)
    }

    /// Removes the packets of `flow`, which is routed elsewhere or has ended.
    pub fn remove(&mut self, flow: &FlowTuple) {
        self.waiting.retain(|open| open.flow != *flow);
        self.following.remove(flow);
    }

    /// Returns whether any queued packet's caller may soon end its attempt.
    #[must_use]
    pub fn any_urgent(&self, now: Timestamp) -> bool {
        // This is asked for each new packet, and the state takes longer to find out than the age.
        let age = now.since(self.started);
        let mut recent = self.waiting.iter().filter(|open| age < open.terms.timeout);
        recent.any(|open| self.wait_state(open, now) == WaitState::Urgent)
    }

    /// Removes and returns the next packet that may be served. `ahead` is the time that the
    /// target's requests will take; with `room` the target can take a packet at once.
    pub fn take(&mut self, ahead: Duration, room: bool, now: Timestamp) -> Option<WaitingOpen> {
        if let Some(packet) = self.take_following() {
            return Some(packet);
        }
        let ordered = self.waiting.iter().any(|open| open.terms.policy.priority_order);
        let (i, reason) = match (ordered, room) {
            (true, true) => self.next_by_priority(ahead, now)?,
            (true, false) => return None,
            (false, _) => self.next_by_time(ahead, room, now)?,
        };
        self.taken[reason.index()] += 1;
        self.last_taken = Some(reason);
        let open = self.waiting.swap_remove(i);
        self.following.release(&open.flow);
        Some(open)
    }

    /// Removes and returns the next packet of a request whose first packet has been taken. The
    /// target's load doesn't matter, as the request is already counted.
    pub fn take_following(&mut self) -> Option<WaitingOpen> {
        self.following.take()
    }

    /// Returns the queued packets in the order in which the target would get them from now on.
    #[must_use]
    pub fn in_order(&self, ahead: Duration, now: Timestamp) -> Vec<&WaitingOpen> {
        let mut order: Vec<&WaitingOpen> = self.waiting.iter().collect();
        order.sort_by_cached_key(|open| self.rank(open, ahead, now));
        order
    }

    /// Returns whether the caller of a queued packet may have no further attempt.
    #[must_use]
    pub fn last_attempt(&self, open: &WaitingOpen, now: Timestamp) -> bool {
        let attempt_timeout = self.attempt_timeout(&open.flow, &open.terms, now);
        open.terms.last_attempt(attempt_timeout, now.since(self.started))
    }

    /// Removes and returns the packets whose callers have certainly given up, or will before an
    /// answer could reach them.
    pub fn take_abandoned(&mut self, now: Timestamp) -> Vec<WaitingOpen> {
        let lost = |open: &mut WaitingOpen| {
            let terms = &open.terms;
            let longest = if terms.open_flow { terms.attempt_timeout } else { MAX_ATTEMPT_TIMEOUT };
            now.since(terms.since) >= longest
        };
        let lost: Vec<WaitingOpen> = self.waiting.extract_if(.., lost).collect();
        for open in &lost {
            self.following.remove(&open.flow);
        }
        lost
    }

    /// Returns any one of the queued packets.
    #[must_use]
    pub fn first(&self) -> Option<&WaitingOpen> {
        self.waiting.first()
    }

    /// Removes and returns any opening packet, as waiting here no longer serves a purpose.
    /// Requests on open flows stay queued.
    pub fn take_any_open(&mut self) -> Option<WaitingOpen> {
        let i = self.waiting.iter().rposition(|open| !open.terms.open_flow)?;
        self.last_taken = None;
        Some(self.waiting.swap_remove(i))
    }

    /// Returns the number of queued packets by the class of their priority, without those whose
    /// callers have probably given up: they take no time of the target while others wait.
    #[must_use]
    pub fn waiting_by_class(&self, now: Timestamp) -> [u16; PRIORITY_CLASSES] {
        let mut waiting = [0_u16; PRIORITY_CLASSES];
        let there = |open: &&WaitingOpen| self.wait_state(open, now) != WaitState::Abandoned;
        for open in self.waiting.iter().filter(there) {
            let class = &mut waiting[open.terms.priority.class()];
            *class = class.saturating_add(1);
        }
        waiting
    }

    /// Returns how many packets have been taken, by the reason in the order of
    /// [`TakeReason::ALL`].
    #[must_use]
    pub fn taken(&self) -> [u64; TakeReason::ALL.len()] {
        self.taken
    }

    /// Returns why the latest packet was taken; `None` if there is none, or if it left the queue
    /// because the target takes no new flows.
    #[must_use]
    pub fn last_taken(&self) -> Option<TakeReason> {
        self.last_taken
    }

    /// Returns the number of queued packets, without those that follow the first of their request.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
