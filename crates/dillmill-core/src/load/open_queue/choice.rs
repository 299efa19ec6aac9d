//! Chooses the waiting packet that is served next.

use std::time::Duration;

use super::serving_order::{Rank, TakeReason};
use super::wait_terms::WaitState;
use super::{OpenQueue, WaitingOpen};
use crate::Timestamp;

impl OpenQueue {
    /// Returns the next packet if the order depends on times alone.
    pub(super) fn next_by_time(
        &self,
        ahead: Duration,
        room: bool,
        now: Timestamp,
    ) -> Option<(usize, TakeReason)> {
        if let Some(urgent) = self.first_to_give_up(WaitState::Urgent, now) {
            return room.then_some((urgent, TakeReason::LastChance));
        }
        if let Some(in_time) = self.newest_in_time(ahead, now) {
            return Some((in_time, TakeReason::InTime));
        }
        if !room {
            return None;
        }
        let late = self.first_to_give_up(WaitState::Pending, now);
        let late = late.map(|i| (i, TakeReason::Late));
        late.or_else(|| self.newest().map(|i| (i, TakeReason::Abandoned)))
    }

    /// Returns the next packet in order of priority, or the first of a lower priority if the turn
    /// is one of theirs.
    pub(super) fn next_by_priority(
        &mut self,
        ahead: Duration,
        now: Timestamp,
    ) -> Option<(usize, TakeReason)> {
        let mut ranks: Vec<Rank> = self.waiting.iter().map(|o| self.rank(o, ahead, now)).collect();
        if is_overloaded(&ranks) {
            ranks = ranks.into_iter().map(Rank::newest_first).collect();
        }
        let first = |from: &dyn Fn(Rank) -> bool| {
            let such = ranks.iter().copied().enumerate().filter(|(_, rank)| from(*rank));
            such.min_by_key(|(_, rank)| *rank)
        };
        let mut head = first(&|_| true)?;
        self.last_chance.earn();
        if matches!(head.1, Rank::LastChance(_))
            && let Some(in_time) = first(&|rank| matches!(rank, Rank::InTime(..)))
            && !self.last_chance.next()
        {
            head = in_time;
        }
        let (head, rank) = head;
        let below = |other: Rank| Some(rank.priority()?.is_above(other.priority()?));
        let lower = first(&|other| below(other) == Some(true));
        let share = self.waiting[head].terms.policy.low_priority_share;
        match lower {
            Some((lower, _)) if self.low_priority.next(share) => {
                Some((lower, TakeReason::LowPriorityTurn))
            }
            _ => Some((head, rank.reason())),
        }
    }

    /// Returns the rank of a packet while the queue is not overloaded.
    pub(super) fn rank(&self, open: &WaitingOpen, ahead: Duration, now: Timestamp) -> Rank {
        let attempt_timeout = self.attempt_timeout(&open.flow, &open.terms, now);
        let state = open.terms.wait_state(attempt_timeout, now.since(self.started), now);
        Rank::new(&open.terms, state, attempt_timeout, ahead, now)
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
}

/// Minimum number of late requests in an overload that lasts: some 300 ms of work for a target with 3
/// slots, about the latency objective. A short burst leaves fewer, and newest first would make requests
/// late that could all be in time.
const MIN_LATE: usize = 20;

/// Returns whether so many requests are late that the overload lasts, and more than can be in time.
///
/// The one with the least time left goes first to carry all requests through a short burst. If the
/// target can't keep up, that order brings each request to the end of its time before it is served,
/// and makes all of them late. The newest first then keeps most in time.
fn is_overloaded(ranks: &[Rank]) -> bool {
    let count = |of: fn(&Rank) -> bool| ranks.iter().filter(|rank| of(rank)).count();
    let late = count(|rank| matches!(rank, Rank::Late(..)));
    late >= MIN_LATE && late > count(|rank| matches!(rank, Rank::InTime(..)))
}
