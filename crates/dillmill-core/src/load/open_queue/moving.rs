//! Choice of the waiting packets that are served elsewhere.

use std::time::Duration;

use super::serving_order::Rank;
use super::{OpenQueue, WaitingOpen};
use crate::Timestamp;

impl OpenQueue {
    /// Removes and returns the next opening packet to be served elsewhere, where it is `ahead` of being
    /// answered: the most urgent of those that are `movable`, in the order of [`OpenQueue::take`]. A
    /// packet whose caller has probably given up is not worth moving.
    pub fn take_movable(
        &mut self,
        ahead: Duration,
        now: Timestamp,
        movable: impl Fn(&WaitingOpen) -> bool,
    ) -> Option<WaitingOpen> {
        let all = self.waiting.iter().enumerate();
        let opens = all.filter(|(_, open)| !open.terms.open_flow && movable(open));
        let ranked = opens.map(|(i, open)| (self.rank(open, ahead, now), i));
        let worth_moving = ranked.filter(|(rank, _)| !matches!(rank, Rank::Abandoned(_)));
        let (_, i) = worth_moving.min()?;
        Some(self.waiting.swap_remove(i))
    }
}
