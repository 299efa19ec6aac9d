//! Decides when callers that the scheduler of an HTTP/3 agent refuses should return.
//!
//! Responds to requests refused because of a full queue or a wait that is too long. Callers that
//! are all told the same time return together, and most are refused again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{GroupName, Timestamp, Weight};

/// Longest time after which a refused caller is asked to return. Estimates of the load further
/// ahead are too uncertain.
pub const MAX_RETURN_DELAY: Duration = Duration::from_secs(5);

/// Times at which the refused callers of each group were asked to return.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    groups: BTreeMap<GroupName, GroupReturns>,
}

#[derive(Debug)]
struct GroupReturns {
    weight: Weight,
    /// Earliest time for the group's next refused caller.
    next: Timestamp,
}

impl ReturnSchedule {
    /// Returns the weights of the groups with callers that have not returned yet.
    pub fn pending(&self, now: Timestamp) -> impl Iterator<Item = (&GroupName, Weight)> {
        let pending = self.groups.iter().filter(move |(_, returns)| returns.next > now);
        pending.map(|(name, returns)| (name, returns.weight))
    }

    /// Returns the delay for the next refused caller of a group whose queue is empty after
    /// `drain_time` and which is served one request per `interval`.
    ///
    /// When the callers that were refused fill the whole time up to the longest delay, further
    /// ones are spread over that time again.
    pub fn next_delay(
        &mut self,
        group: &GroupName,
        weight: Weight,
        drain_time: Duration,
        interval: Duration,
        now: Timestamp,
    ) -> Duration {
        self.groups.retain(|_, returns| returns.next > now);
        let earliest = now + drain_time.min(MAX_RETURN_DELAY);
        let latest = now + MAX_RETURN_DELAY;
        let returns = self
            .groups
            .entry(group.clone())
            .or_insert_with(|| GroupReturns { weight, next: earliest });
        let at = if returns.next > latest { earliest } else { returns.next.max(earliest) };
        *returns = GroupReturns { weight, next: at + interval };
        at.since(now)
    }
}
