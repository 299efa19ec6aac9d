//! Expected waits of requests, and when refused callers should retry.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Offer, Refusal, Scheduler, SchedulingRequest};
use crate::{GroupName, Timestamp, Weight};

const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Returns the expected queueing time of a request with `ahead` others of its group before
    /// it.
    pub(super) fn wait_time(&self, name: &GroupName, ahead: usize) -> Duration {
        let active: u32 = self
            .groups
            .iter()
            .filter(|(other, g)| *other == name || !g.waiting.is_empty() || g.running > 0)
            .map(|(_, g)| u32::from(g.weight.0.max(1)))
            .sum();
        let own = self.groups.get(name).map_or(1, |g| u32::from(g.weight.0.max(1)));
        let slots = u32::from(self.slots.0.max(1));
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.service_time.saturating_mul(ahead) * active.max(own) / (own * slots)
    }

    pub(super) fn refuse(
        &mut self,
        refusal: Refusal,
        request: &SchedulingRequest,
        now: Timestamp,
    ) -> Offer {
        Offer::Refuse(refusal, self.return_delay(&request.group, request.weight, now))
    }

    /// Returns when a refused caller of the group should retry. Under load, refused callers return
    /// one after another, as fast as the group is served within its share.
    pub(super) fn return_delay(
        &mut self,
        name: &GroupName,
        weight: Weight,
        now: Timestamp,
    ) -> Duration {
        let drain_time = self.drain_time(name);
        if self.has_free_slot() && self.queued() == 0 {
            return drain_time;
        }
        let active = self.groups.iter().filter(|(_, g)| !g.waiting.is_empty() || g.running > 0);
        let active = active.map(|(other, group)| (other, group.weight));
        let mut weights: BTreeMap<&GroupName, Weight> = active.collect();
        weights.extend(self.returns.pending(now));
        weights.insert(name, weight);
        let total: u32 = weights.values().map(|w| u32::from(w.0.max(1))).sum();
        let slots = u32::from(self.slots.0.max(1));
        let interval =
            self.service_time.saturating_mul(total) / (u32::from(weight.0.max(1)) * slots);
        self.returns.next_delay(name, weight, drain_time, interval, now)
    }

    /// Returns the time until the group's queue is expected to be empty, used as the retry delay.
    pub(super) fn drain_time(&self, name: &GroupName) -> Duration {
        let ahead = self.groups.get(name).map_or(0, |g| g.waiting.len());
        self.wait_time(name, ahead).max(MIN_RETRY_AFTER)
    }
}
