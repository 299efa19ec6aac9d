//! Ranks waiting packets by the time that is left for them and the priority of their routes.

use std::cmp::Reverse;
use std::time::Duration;

use super::WaitTerms;
use super::wait_terms::WaitState;
use crate::{Percent, Priority, Timestamp};

/// Remaining time of a request below which it goes ahead of all priorities. Serving these requests
/// first turns nearly all unserved requests into late ones (docs/design/overload.md).
const LAST_CHANCE: Duration = Duration::from_millis(250);
/// The last chance is at most this fraction of a route's timeout. Otherwise most requests of routes
/// with a short timeout would go ahead of higher priorities.
const LAST_CHANCE_DIVISOR: u32 = 4;
/// One turn, in hundredths, as shares of turns are percentages.
pub(super) const WHOLE_TURN: u32 = 100;

/// Why a packet was taken from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TakeReason {
    /// Little of its caller's time remains.
    LastChance,
    /// Its answer can be in time.
    InTime,
    /// Its answer will be late.
    Late,
    /// The turn is one of those kept for lower priorities.
    LowPriorityTurn,
    /// Its caller has probably given up, and nothing else waits.
    Abandoned,
}

impl TakeReason {
    /// All reasons.
    pub const ALL: [Self; 5] =
        [Self::LastChance, Self::InTime, Self::Late, Self::LowPriorityTurn, Self::Abandoned];

    /// Returns the name of the reason in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::LastChance => "last-chance",
            Self::InTime => "in-time",
            Self::Late => "late",
            Self::LowPriorityTurn => "low-priority-turn",
            Self::Abandoned => "abandoned",
        }
    }

    /// Returns the position of the reason in [`TakeReason::ALL`].
    pub(super) fn index(self) -> usize {
        match self {
            Self::LastChance => 0,
            Self::InTime => 1,
            Self::Late => 2,
            Self::LowPriorityTurn => 3,
            Self::Abandoned => 4,
        }
    }
}

/// Position of a waiting packet in the order; the lowest rank is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// The caller may soon end its last attempt, at this time.
    Urgent(Timestamp),
    /// Little of the request's whole timeout remains; oldest first.
    LastChance(Timestamp),
    /// The answer can be in time, until the second value; earliest first within one priority. With
    /// the newest first, a request that is overtaken a few times in a short burst would become late.
    /// Routes without priority order have no such time, and their packets go newest first.
    InTime(Priority, Option<Timestamp>, Reverse<Timestamp>),
    /// The answer will be late; oldest first within one priority.
    Late(Priority, Timestamp),
    /// The caller has given up, or can get no answer before it does; newest first.
    Abandoned(Reverse<Timestamp>),
}

impl Rank {
    /// Returns the rank of a packet with these terms, if the target has `ahead` of work to do until
    /// it has answered the packet's request.
    pub(super) fn new(
        terms: &WaitTerms,
        state: WaitState,
        attempt_timeout: Duration,
        ahead: Duration,
        now: Timestamp,
    ) -> Self {
        let left = terms.timeout.saturating_sub(now.since(terms.since));
        // The age of a request on an open flow is exact, so its caller is there until the timeout.
        let abandoned = if terms.open_flow { left < ahead } else { state == WaitState::Abandoned };
        let last_chance = LAST_CHANCE.min(terms.timeout / LAST_CHANCE_DIVISOR);
        if abandoned {
            Self::Abandoned(Reverse(terms.since))
        } else if state == WaitState::Urgent {
            Self::Urgent(terms.since + attempt_timeout)
        } else if left < last_chance && ahead <= left {
            Self::LastChance(terms.since)
        } else if terms.answered_in_time(ahead, now) {
            let latest = terms.policy.priority_order.then(|| terms.since + terms.answer_limit);
            Self::InTime(terms.effective_priority(), latest, Reverse(terms.since))
        } else {
            Self::Late(terms.effective_priority(), terms.since)
        }
    }

    /// Returns the rank of the packet if the newest goes first among those that can be in time.
    pub(super) fn newest_first(self) -> Self {
        match self {
            Self::InTime(priority, _, newest) => Self::InTime(priority, None, newest),
            other => other,
        }
    }

    /// Returns the priority by which the packet is ordered, if it is.
    pub(super) fn priority(self) -> Option<Priority> {
        match self {
            Self::InTime(priority, ..) | Self::Late(priority, _) => Some(priority),
            Self::Urgent(_) | Self::LastChance(_) | Self::Abandoned(_) => None,
        }
    }

    /// Returns why a packet of this rank is served when it is the first.
    pub(super) fn reason(self) -> TakeReason {
        match self {
            Self::Urgent(_) | Self::LastChance(_) => TakeReason::LastChance,
            Self::InTime(..) => TakeReason::InTime,
            Self::Late(..) => TakeReason::Late,
            Self::Abandoned(_) => TakeReason::Abandoned,
        }
    }
}

/// Gives a share of the turns for which packets compete to those that come later in the order.
#[derive(Debug, Default)]
pub(super) struct TurnShare {
    /// Hundredths of a turn that are due.
    due: u32,
}

impl TurnShare {
    /// Counts one turn; returns whether it belongs to the share.
    pub(super) fn next(&mut self, share: Percent) -> bool {
        self.due += u32::from(share.0);
        let taken = self.due >= WHOLE_TURN;
        if taken {
            self.due -= WHOLE_TURN;
        }
        taken
    }
}
