//! Opening packets that wait at an agent, as its target has more to do than it can in time.
//!
//! A refused caller tries again at once, some tries in a row, and then gives its request up. One whose opening
//! packet waits is served as soon as there is room. A request that nobody serves is worse than a late one, so the
//! order is:
//!
//! 1. those whose callers may soon end this try, the oldest first; new ones wait behind them. This only while callers of
//!    the time before the agent's start may be left without another try. At all other times a caller that ends its try
//!    comes back with a new packet, which is the newest then, and is served no later;
//! 2. those that can still be answered in time, the newest first;
//! 3. late ones, when the target would have nothing to do otherwise, the oldest first;
//! 4. those whose callers are probably gone, when nothing else waits.
//!
//! A queue that only served the oldest would do all its work for callers that have just gone, once its wait is as
//! long as their patience, and never recover: each of them would be back with another try. And where the load stays
//! as high as what targets can do, it would make every answer late, to save few.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::attempt_timeout::{AttemptTimeoutEstimator, MAX_ATTEMPT_TIMEOUT};
use crate::{Envelope, FlowTuple, Timestamp};

/// A packet goes first from this long before its caller may be gone: time for its way and for the callers that are
/// less patient than most.
const URGENT_WITHIN: Duration = Duration::from_millis(150);
/// How long callers have waited in vain at the least before an agent starts: a process that was killed, or lost
/// power, is back after a second or more.
const OUTAGE: Duration = Duration::from_secs(1);
/// A copy that has not come this long after it was due was not sent: its caller has gone.
const COPY_SLACK: Duration = Duration::from_millis(60);
/// Opening packets that wait at most, some 200 bytes each. None is refused for the sake of another before its caller
/// gives up: that would only use up one of its tries.
const CAPACITY: usize = 1000;

/// How long a caller has waited when it sends a copy of its opening packet.
const COPIES_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];

/// Returns since when the caller waits whose opening packet came at `now` after so many others.
#[must_use]
pub fn waiting_since(copies: u32, now: Timestamp) -> Timestamp {
    let i = usize::try_from(copies).unwrap_or(usize::MAX).min(COPIES_AFTER.len() - 1);
    now - COPIES_AFTER[i]
}

/// Part of a route's latency aim that the work ahead of a new request may take, in percent. Beyond it the
/// answer would come late in any case, and late for all behind it, so that the packet waits, where
/// those behind it may go first. The rest is for the way, for the caller's own time, and for work that takes longer than the
/// average.
const AIM_SHARE: u32 = 55;

/// Returns the time that a request with this latency aim may wait, together with the work ahead of it.
#[must_use]
pub fn wait_limit(aim: Duration) -> Duration {
    aim * AIM_SHARE / 100
}

/// What the wait of an opening packet is measured by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTerms {
    /// Since when its caller waits, in this try.
    pub since: Timestamp,
    /// Time from then on that it may spend waiting and behind the requests of the target to be answered in time.
    pub limit: Duration,
    /// How long callers of its route are assumed to wait.
    pub attempt_timeout: Duration,
    /// After what time they give the request up, with all its tries.
    pub timeout: Duration,
    /// Copies of it that have come.
    pub copies: u32,
    /// It is the request of a flow that is open already: its caller waits for the answer, and sends it again.
    pub open_flow: bool,
}

/// How much the wait of an opening packet matters at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Its caller may soon end this try.
    Urgent,
    /// It has time left.
    Waiting,
    /// Its caller is probably gone.
    Doubtful,
}

impl WaitTerms {
    /// Returns the terms of a packet that came at `now` after so many others.
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

    /// Sets how long callers of the route are assumed to wait.
    #[must_use]
    pub fn attempt_timeout(mut self, attempt_timeout: Duration) -> Self {
        self.attempt_timeout = attempt_timeout;
        self
    }

    /// Sets that it is the request of a flow that is open already.
    #[must_use]
    pub fn of_open_flow(mut self) -> Self {
        self.open_flow = true;
        self
    }

    /// Sets after what time callers give a request up.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns whether the answer can still come in time behind `ahead`, the work of the target.
    #[must_use]
    pub fn in_time(&self, ahead: Duration, now: Timestamp) -> bool {
        now.since(self.since) + ahead <= self.limit
    }

    /// Returns how the packet stands at an agent that has run for `age`, if callers wait for `attempt_timeout`.
    fn standing(&self, attempt_timeout: Duration, age: Duration, now: Timestamp) -> Standing {
        let waited = now.since(self.since);
        if self.open_flow {
            let gone = waited + URGENT_WITHIN >= self.attempt_timeout;
            return if gone { Standing::Doubtful } else { Standing::Waiting };
        }
        let last_try = age < self.timeout && OUTAGE + age + attempt_timeout >= self.timeout;
        let ends = waited + URGENT_WITHIN >= attempt_timeout && last_try;
        if waited >= attempt_timeout || self.copy_is_missing(waited) {
            Standing::Doubtful
        } else if ends {
            Standing::Urgent
        } else {
            Standing::Waiting
        }
    }

    fn copy_is_missing(&self, waited: Duration) -> bool {
        let next = usize::try_from(self.copies).unwrap_or(usize::MAX).saturating_add(1);
        COPIES_AFTER.get(next).is_some_and(|due| waited >= *due + COPY_SLACK)
    }
}

/// An opening packet that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingOpen {
    /// Its flow.
    pub flow: FlowTuple,
    /// The packet.
    pub packet: Vec<u8>,
    /// What came with it.
    pub envelope: Envelope,
    /// What its wait is measured by.
    pub terms: WaitTerms,
}

/// The opening packets that wait at one agent.
#[derive(Debug)]
pub struct OpenQueue {
    waiting: Vec<WaitingOpen>,
    started: Timestamp,
    /// How long the callers of each route wait.
    attempt_timeout: HashMap<SocketAddrV4, AttemptTimeoutEstimator>,
}

impl OpenQueue {
    /// Creates the queue of an agent that starts at `now`.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self { waiting: Vec::new(), started: now, attempt_timeout: HashMap::new() }
    }

    /// Returns whether the opening packet of `flow` waits here.
    #[must_use]
    pub fn contains(&self, flow: &FlowTuple) -> bool {
        self.waiting.iter().any(|open| open.flow == *flow)
    }

    /// Lets a packet wait; returns it if too many wait already.
    pub fn push(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        if self.contains(&open.flow) {
            self.note_copy(&open.flow, open.terms.copies);
            return None;
        }
        if self.waiting.len() >= CAPACITY {
            return Some(open);
        }
        self.waiting.push(open);
        None
    }

    /// Notes that a copy of the opening packet of `flow` has come; returns whether one waits here.
    pub fn note_copy(&mut self, flow: &FlowTuple, copies: u32) -> bool {
        let waiting = self.waiting.iter_mut().find(|open| open.flow == *flow);
        let Some(open) = waiting else { return false };
        open.terms.copies = open.terms.copies.max(copies);
        true
    }

    /// Notes what became of an opening packet of `route` that the target took after `waited`.
    pub fn note_outcome(
        &mut self,
        route: SocketAddrV4,
        waited: Duration,
        opened: bool,
        now: Timestamp,
    ) {
        self.attempt_timeout.entry(route).or_default().note(waited, opened, now);
    }

    /// Returns how long the caller of `flow` waits for the answer to its opening packet.
    #[must_use]
    pub fn attempt_timeout(&self, flow: &FlowTuple, terms: &WaitTerms, now: Timestamp) -> Duration {
        let learned = self.attempt_timeout.get(&flow.route());
        learned.map_or(terms.attempt_timeout, |learned| learned.refine(terms.attempt_timeout, now))
    }

    fn standing(&self, open: &WaitingOpen, now: Timestamp) -> Standing {
        let attempt_timeout = self.attempt_timeout(&open.flow, &open.terms, now);
        open.terms.standing(attempt_timeout, now.since(self.started), now)
    }

    /// Forgets the opening packet of `flow`: a copy of it has gone another way.
    pub fn remove(&mut self, flow: &FlowTuple) {
        self.waiting.retain(|open| open.flow != *flow);
    }

    /// Returns whether a packet waits whose caller may soon end its try.
    #[must_use]
    pub fn any_urgent(&self, now: Timestamp) -> bool {
        self.waiting.iter().any(|open| self.standing(open, now) == Standing::Urgent)
    }

    /// Returns the next packet that there is room for: behind `ahead`, the time that the target's requests take, or
    /// at once, if the target has `room`.
    pub fn take(&mut self, ahead: Duration, room: bool, now: Timestamp) -> Option<WaitingOpen> {
        let next = match self.soonest(Standing::Urgent, now) {
            Some(urgent) => room.then_some(urgent),
            None => self.newest_in_time(ahead, now).or_else(|| {
                let late = || self.soonest(Standing::Waiting, now);
                room.then(|| late().or_else(|| self.newest()))?
            }),
        };
        next.map(|i| self.waiting.swap_remove(i))
    }

    /// Returns the packet of this standing whose caller waits the shortest time more.
    fn soonest(&self, standing: Standing, now: Timestamp) -> Option<usize> {
        let all = self.waiting.iter().enumerate();
        let such = all.filter(|(_, open)| self.standing(open, now) == standing);
        let attempt_timeout =
            |open: &WaitingOpen| self.attempt_timeout(&open.flow, &open.terms, now);
        let gone = |open: &WaitingOpen| open.terms.since + attempt_timeout(open);
        such.min_by_key(|(_, open)| gone(open)).map(|(i, _)| i)
    }

    fn newest_in_time(&self, ahead: Duration, now: Timestamp) -> Option<usize> {
        let in_time = self.waiting.iter().enumerate().filter(|(_, o)| o.terms.in_time(ahead, now));
        in_time.max_by_key(|(_, open)| open.terms.since).map(|(i, _)| i)
    }

    fn newest(&self) -> Option<usize> {
        let all = self.waiting.iter().enumerate();
        all.max_by_key(|(_, open)| open.terms.since).map(|(i, _)| i)
    }

    /// Returns the packets whose callers have gone for certain, or are about to before an answer could reach them.
    pub fn take_abandoned(&mut self, now: Timestamp) -> Vec<WaitingOpen> {
        let lost = |open: &mut WaitingOpen| {
            let terms = &open.terms;
            let longest = if terms.open_flow { terms.attempt_timeout } else { MAX_ATTEMPT_TIMEOUT };
            now.since(terms.since) >= longest
        };
        self.waiting.extract_if(.., lost).collect()
    }

    /// Returns one of the packets that wait.
    #[must_use]
    pub fn first(&self) -> Option<&WaitingOpen> {
        self.waiting.first()
    }

    /// Returns any opening packet: it has nothing to wait for here any more. Requests of open flows stay.
    pub fn take_any_open(&mut self) -> Option<WaitingOpen> {
        let i = self.waiting.iter().rposition(|open| !open.terms.open_flow)?;
        Some(self.waiting.swap_remove(i))
    }

    /// Returns the number of packets that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no packet waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
