//! Time limits of a waiting packet, and its urgency.

use std::time::Duration;

use crate::attempt_timeout::MAX_ATTEMPT_TIMEOUT;
use crate::{OverloadPolicy, Priority, Timestamp};

/// How long before its caller may give up a packet becomes urgent. Covers the network transit and
/// callers with a shorter timeout than most.
const URGENT_MARGIN: Duration = Duration::from_millis(150);
/// Minimum time for which callers have been without an agent when this one starts: a process that
/// was killed or lost power needs a second or more to come back.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// A retransmission that is this late was never sent: the caller has given up.
const RETRANSMIT_SLACK: Duration = Duration::from_millis(60);

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

/// Percentage of a route's latency objective that a request may take for queueing and for the work
/// until it is answered, where the order is by priority. The rest is for network transit, a few
/// milliseconds of an objective of 200 ms or more. With [`QUEUEING_PERCENT`], requests count as late
/// that can still be in time: 57 instead of 31 % of feeds were late at a slow target.
const ANSWER_PERCENT: u32 = 90;

/// Returns how long a request with this latency objective may take for queueing and the work
/// ahead of it together.
#[must_use]
pub fn wait_limit(objective: Duration) -> Duration {
    objective * QUEUEING_PERCENT / 100
}

/// The time limits of a waiting opening packet, and what else its place in the order depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTerms {
    /// When the caller's current attempt began.
    pub since: Timestamp,
    /// Time from `since` that the packet may spend in the queue and behind the target's other
    /// requests and still be answered in time.
    pub limit: Duration,
    /// Time from `since` that may pass until the request is answered in time, transit excluded. The
    /// order by priority depends on it.
    pub answer_limit: Duration,
    /// Attempt timeout assumed for callers of the route.
    pub attempt_timeout: Duration,
    /// Time after which callers abandon the request, all attempts included.
    pub timeout: Duration,
    /// Number of retransmissions received.
    pub copies: u32,
    /// Whether the packet is a request on an open flow. Its caller waits for the answer and
    /// retransmits the request.
    pub open_flow: bool,
    /// Sequence number of a packet on an open flow, by which its copies are recognised.
    pub seq: u32,
    /// Priority of the route.
    pub priority: Priority,
    /// Decisions under overload that apply to the packet. `priority_order` is off where all requests
    /// to the target have the same priority.
    pub policy: OverloadPolicy,
}

/// Urgency of a waiting packet at a given moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitState {
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
            answer_limit: limit,
            attempt_timeout: MAX_ATTEMPT_TIMEOUT,
            timeout: MAX_ATTEMPT_TIMEOUT,
            copies,
            open_flow: false,
            seq: 0,
            priority: Priority::LOWEST,
            policy: OverloadPolicy { priority_order: false, ..OverloadPolicy::default() },
        }
    }

    /// Sets how long the packet has waited at other agents. They have received the retransmissions that
    /// were due in that time, or would not have moved the packet.
    #[must_use]
    pub fn waited(mut self, waited: Duration, now: Timestamp) -> Self {
        self.since = now - waited;
        let due = RETRANSMIT_TIMES[1..].iter().filter(|due| waited >= **due).count();
        self.copies = self.copies.max(u32::try_from(due).unwrap_or(u32::MAX));
        self
    }

    /// Sets the latency objective of the route, at a target whose service time is known.
    #[must_use]
    pub fn objective(mut self, objective: Duration) -> Self {
        self.answer_limit = objective * ANSWER_PERCENT / 100;
        self
    }

    /// Sets the attempt timeout assumed for callers of the route.
    #[must_use]
    pub fn attempt_timeout(mut self, attempt_timeout: Duration) -> Self {
        self.attempt_timeout = attempt_timeout;
        self
    }

    /// Marks the packet, which begins at the sequence number `seq`, as a request on an open flow.
    #[must_use]
    pub fn of_open_flow(mut self, seq: u32) -> Self {
        self.open_flow = true;
        self.seq = seq;
        self
    }

    /// Sets the priority of the route.
    #[must_use]
    pub fn priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the decisions under overload that apply to the packet.
    #[must_use]
    pub fn policy(mut self, policy: OverloadPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the priority by which the packet is ordered. A route without priority order counts
    /// as one that states no priority.
    #[must_use]
    pub fn effective_priority(&self) -> Priority {
        if self.policy.priority_order { self.priority } else { Priority::LOWEST }
    }

    /// Sets the time after which callers abandon a request.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns whether the answer can still be in time if `ahead` of work must be done first: whether
    /// the wait and that work stay within the part of the latency objective that is for queueing.
    #[must_use]
    pub fn in_time(&self, ahead: Duration, now: Timestamp) -> bool {
        now.since(self.since) + ahead <= self.limit
    }

    /// Returns whether the request can still be answered in time, if the target has answered it after
    /// `ahead` more work. Without priority order, the limit is that of [`WaitTerms::in_time`].
    #[must_use]
    pub fn answered_in_time(&self, ahead: Duration, now: Timestamp) -> bool {
        let limit = if self.policy.priority_order { self.answer_limit } else { self.limit };
        now.since(self.since) + ahead <= limit
    }

    /// Returns the urgency of the packet at an agent that has run for `age`, given the callers'
    /// `attempt_timeout`.
    pub(super) fn wait_state(
        &self,
        attempt_timeout: Duration,
        age: Duration,
        now: Timestamp,
    ) -> WaitState {
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
    pub(super) fn last_attempt(&self, attempt_timeout: Duration, age: Duration) -> bool {
        age < self.timeout && MIN_OUTAGE + age + attempt_timeout >= self.timeout
    }

    fn retransmission_missing(&self, waited: Duration) -> bool {
        let next = usize::try_from(self.copies).unwrap_or(usize::MAX).saturating_add(1);
        RETRANSMIT_TIMES.get(next).is_some_and(|due| waited >= *due + RETRANSMIT_SLACK)
    }
}
