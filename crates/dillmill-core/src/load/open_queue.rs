//! Holds the opening packets that wait for an overloaded target, and chooses which one is served
//! next.
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
//! A queue that always served the oldest packet would never recover once its delay had reached
//! the callers' attempt timeout: all its work would go to callers that had just given up, and
//! each of them would be back with another attempt. Under a load that stays at the targets'
//! capacity it would also make every answer late in order to save a few.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::attempt_timeout::{AttemptTimeoutEstimator, MAX_ATTEMPT_TIMEOUT};
use crate::{Envelope, FlowTuple, Timestamp};

/// How long before its caller may give up a packet becomes urgent. Covers the network transit and
/// callers with a shorter timeout than most.
const URGENT_MARGIN: Duration = Duration::from_millis(150);
/// Minimum time for which callers have been without an agent when this one starts: a process that
/// was killed or lost power needs a second or more to come back.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// A retransmission that is this late was never sent: the caller has given up.
const RETRANSMIT_SLACK: Duration = Duration::from_millis(60);
/// Maximum number of queued opening packets, some 200 bytes each. No packet is refused in favour
/// of another before its caller gives up, because a refusal only uses up one of the caller's
/// attempts.
const MAX_WAITING: usize = 1000;

/// Time since the start of the attempt at which a caller sends its opening packet and each
/// retransmission.
const RETRANSMIT_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];

/// Returns when the caller's attempt began, for an opening packet that arrived at `now` as
/// retransmission number `copies`.
#[must_use]
pub fn waiting_since(copies: u32, now: Timestamp) -> Timestamp {
    let i = usize::try_from(copies).unwrap_or(usize::MAX).min(RETRANSMIT_TIMES.len() - 1);
    now - RETRANSMIT_TIMES[i]
}

/// Percentage of a route's latency objective that the work ahead of a new request may take.
/// Beyond it the answer would be late in any case and would delay everything behind it, so the
/// packet is queued, where later packets may overtake it. The rest is for network transit, the
/// caller's own processing, and work that takes longer than average.
const QUEUEING_PERCENT: u32 = 55;

/// Returns how long a request with this latency objective may take for queueing and the work
/// ahead of it together.
#[must_use]
pub fn wait_limit(objective: Duration) -> Duration {
    objective * QUEUEING_PERCENT / 100
}

/// The time limits of a waiting opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTerms {
    /// When the caller's current attempt began.
    pub since: Timestamp,
    /// Time from `since` that the packet may spend in the queue and behind the target's other
    /// requests and still be answered in time.
    pub limit: Duration,
    /// Attempt timeout assumed for callers of the route.
    pub attempt_timeout: Duration,
    /// Time after which callers abandon the request, all attempts included.
    pub timeout: Duration,
    /// Number of retransmissions received.
    pub copies: u32,
    /// Whether the packet is a request on an open flow. Its caller waits for the answer and
    /// retransmits the request.
    pub open_flow: bool,
}

/// Urgency of a waiting packet at a given moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitState {
    /// The caller may soon end its current attempt.
    Urgent,
    /// The caller still has time left.
    Pending,
    /// The caller has probably given up.
    Abandoned,
}

impl WaitTerms {
    /// Creates the limits of a packet that arrived at `now` as retransmission number `copies`.
    #[must_use]
    pub fn new(copies: u32, limit: Duration, now: Timestamp) -> Self {
        let since = waiting_since(copies, now);
        Self {
            since,
            limit,
            attempt_timeout: MAX_ATTEMPT_TIMEOUT,
            timeout: MAX_ATTEMPT_TIMEOUT,
            copies,
            open_flow: false,
        }
    }

    /// Sets the attempt timeout assumed for callers of the route.
    #[must_use]
    pub fn attempt_timeout(mut self, attempt_timeout: Duration) -> Self {
        self.attempt_timeout = attempt_timeout;
        self
    }

    /// Marks the packet as a request on an open flow.
    #[must_use]
    pub fn of_open_flow(mut self) -> Self {
        self.open_flow = true;
        self
    }

    /// Sets the time after which callers abandon a request.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns whether the answer can still be in time if the target has `ahead` of work to do
    /// first.
    #[must_use]
    pub fn in_time(&self, ahead: Duration, now: Timestamp) -> bool {
        now.since(self.since) + ahead <= self.limit
    }

    /// Returns the urgency of the packet at an agent that has run for `age`, given the callers'
    /// `attempt_timeout`.
    fn wait_state(&self, attempt_timeout: Duration, age: Duration, now: Timestamp) -> WaitState {
        let waited = now.since(self.since);
        if self.open_flow {
            let gives_up = waited + URGENT_MARGIN >= self.attempt_timeout;
            return if gives_up { WaitState::Abandoned } else { WaitState::Pending };
        }
        let ends =
            waited + URGENT_MARGIN >= attempt_timeout && self.last_attempt(attempt_timeout, age);
        if waited >= attempt_timeout || self.retransmission_missing(waited) {
            WaitState::Abandoned
        } else if ends {
            WaitState::Urgent
        } else {
            WaitState::Pending
        }
    }

    /// Returns whether the caller may have no further attempt, at an agent that has run for `age`.
    fn last_attempt(&self, attempt_timeout: Duration, age: Duration) -> bool {
        age < self.timeout && MIN_OUTAGE + age + attempt_timeout >= self.timeout
    }

    fn retransmission_missing(&self, waited: Duration) -> bool {
        let next = usize::try_from(self.copies).unwrap_or(usize::MAX).saturating_add(1);
        RETRANSMIT_TIMES.get(next).is_some_and(|due| waited >= *due + RETRANSMIT_SLACK)
    }
}

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
}

impl OpenQueue {
    /// Creates the queue of an agent that starts at `now`.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self { waiting: Vec::new(), started: now, estimators: HashMap::new() }
    }

    /// Returns whether an opening packet of `flow` is queued.
    #[must_use]
    pub fn contains(&self, flow: &FlowTuple) -> bool {
        self.waiting.iter().any(|open| open.flow == *flow)
    }

    /// Queues a packet, or returns it if the queue is full.
    pub fn push(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        if self.contains(&open.flow) {
            self.note_copy(&open.flow, open.terms.copies);
            return None;
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

    /// Removes the opening packet of `flow`, a copy of which was routed elsewhere.
    pub fn remove(&mut self, flow: &FlowTuple) {
        self.waiting.retain(|open| open.flow != *flow);
    }

    /// Returns whether any queued packet's caller may soon end its attempt.
    #[must_use]
    pub fn any_urgent(&self, now: Timestamp) -> bool {
        self.waiting.iter().any(|open| self.wait_state(open, now) == WaitState::Urgent)
    }

    /// Removes and returns the next packet that may be served. `ahead` is the time that the
    /// target's requests will take; with `room` the target can take a packet at once.
    pub fn take(&mut self, ahead: Duration, room: bool, now: Timestamp) -> Option<WaitingOpen> {
        let next = match self.first_to_give_up(WaitState::Urgent, now) {
            Some(urgent) => room.then_some(urgent),
            None => self.newest_in_time(ahead, now).or_else(|| {
                let late = || self.first_to_give_up(WaitState::Pending, now);
                room.then(|| late().or_else(|| self.newest()))?
            }),
        };
        next.map(|i| self.waiting.swap_remove(i))
    }

    /// Returns the queued packets in the order in which the target would get them from now on.
    #[must_use]
    pub fn in_order(&self, ahead: Duration, now: Timestamp) -> Vec<&WaitingOpen> {
        let mut order: Vec<&WaitingOpen> = self.waiting.iter().collect();
        order.sort_by_cached_key(|open| {
            let since = open.terms.since;
            let gives_up = since + self.attempt_timeout(&open.flow, &open.terms, now);
            match self.wait_state(open, now) {
                WaitState::Urgent => (0, gives_up, Reverse(since)),
                _ if open.terms.in_time(ahead, now) => (1, Timestamp::default(), Reverse(since)),
                WaitState::Pending => (2, gives_up, Reverse(since)),
                WaitState::Abandoned => (3, Timestamp::default(), Reverse(since)),
            }
        });
        order
    }

    /// Returns whether the caller of a queued packet may have no further attempt.
    #[must_use]
    pub fn last_attempt(&self, open: &WaitingOpen, now: Timestamp) -> bool {
        let attempt_timeout = self.attempt_timeout(&open.flow, &open.terms, now);
        open.terms.last_attempt(attempt_timeout, now.since(self.started))
    }

    /// Returns the packet in this state whose caller gives up first.
    fn first_to_give_up(&self, wait_state: WaitState, now: Timestamp) -> Option<usize> {
        let all = self.waiting.iter().enumerate();
        let such = all.filter(|(_, open)| self.wait_state(open, now) == wait_state);
        let attempt_timeout =
            |open: &WaitingOpen| self.attempt_timeout(&open.flow, &open.terms, now);
        let gives_up = |open: &WaitingOpen| open.terms.since + attempt_timeout(open);
        such.min_by_key(|(_, open)| gives_up(open)).map(|(i, _)| i)
    }

    fn newest_in_time(&self, ahead: Duration, now: Timestamp) -> Option<usize> {
        let in_time = self.waiting.iter().enumerate().filter(|(_, o)| o.terms.in_time(ahead, now));
        in_time.max_by_key(|(_, open)| open.terms.since).map(|(i, _)| i)
    }

    fn newest(&self) -> Option<usize> {
        let all = self.waiting.iter().enumerate();
        all.max_by_key(|(_, open)| open.terms.since).map(|(i, _)| i)
    }

    /// Removes and returns the packets whose callers have certainly given up, or will before an
    /// answer could reach them.
    pub fn take_abandoned(&mut self, now: Timestamp) -> Vec<WaitingOpen> {
        let lost = |open: &mut WaitingOpen| {
            let terms = &open.terms;
            let longest = if terms.open_flow { terms.attempt_timeout } else { MAX_ATTEMPT_TIMEOUT };
            now.since(terms.since) >= longest
        };
        self.waiting.extract_if(.., lost).collect()
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
        Some(self.waiting.swap_remove(i))
    }

    /// Returns the number of queued packets.
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
