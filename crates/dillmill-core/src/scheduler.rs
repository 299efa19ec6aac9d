//! Which request runs next on a target, and which is refused.
//!
//! The agent never runs more requests than its target has slots. Free slots are shared among
//! groups by weight with start-time fair queueing (Goyal, Vin and Cheng, 1996) on slot time, which
//! is work-conserving: a group alone may use every slot. Within a group the earliest deadline goes
//! first. A request that can't be expected to finish by its deadline is refused at once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::{GroupName, Slots, Timestamp, Weight};

const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Number of a request within one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// How waiting requests are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Weighted fair share of slot time among groups.
    #[default]
    Fair,
    /// First come, first served: the baseline that measurements compare with.
    ArrivalOrder,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulingRequest {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub group: GroupName,
    /// Share of the group.
    pub weight: Weight,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Requests of the group that may wait at once.
    pub max_queue: usize,
    /// Longest time in the queue.
    pub max_wait: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The group has as many requests waiting as it may.
    #[error("the group's queue is full")]
    QueueFull,
    /// It would not finish by its deadline.
    #[error("it can't finish by its deadline")]
    TooLate,
    /// It waited as long as it may.
    #[error("it waited too long")]
    WaitedTooLong,
    /// The agent is leaving or has no slots.
    #[error("the target takes no new work")]
    Closed,
}

/// Answer to [`Scheduler::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Run it now.
    Run,
    /// It waits; [`Scheduler::finish`] or [`Scheduler::expire`] will name it.
    Wait,
    /// It is not run; worth trying again after the given time.
    Refuse(Refusal, Duration),
}

/// A request taken out of the queue unrun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expired {
    /// The request.
    pub id: RequestId,
    /// Why.
    pub refusal: Refusal,
    /// When to come back.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    deadline: Timestamp,
    id: RequestId,
    give_up: Timestamp,
}

#[derive(Debug)]
struct GroupQueue {
    weight: Weight,
    virtual_time: u64,
    running: usize,
    waiting: BTreeSet<Waiting>,
}

#[derive(Debug)]
struct Running {
    group: GroupName,
    started: Timestamp,
    charged: u64,
}

/// The slots and the queue of one target.
#[derive(Debug)]
pub struct Scheduler {
    sharing: Sharing,
    slots: Slots,
    running: HashMap<RequestId, Running>,
    groups: BTreeMap<GroupName, GroupQueue>,
    virtual_time: u64,
    service_time: Duration,
    closed: bool,
}

impl Scheduler {
    /// Creates an empty scheduler for a target of `slots` slots.
    #[must_use]
    pub fn new(slots: Slots) -> Self {
        Self {
            sharing: Sharing::Fair,
            slots,
            running: HashMap::new(),
            groups: BTreeMap::new(),
            virtual_time: 0,
            service_time: DEFAULT_SERVICE_TIME,
            closed: false,
        }
    }

    /// Sets how waiting requests are ordered.
    #[must_use]
    pub fn sharing(mut self, sharing: Sharing) -> Self {
        self.sharing = sharing;
        self
    }

    /// Changes the number of slots; running requests go on.
    pub fn set_slots(&mut self, slots: Slots) {
        self.slots = slots;
    }

    /// Refuses all new requests from now on; waiting ones still run.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns the slots in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.running.len()
    }

    /// Returns the slots that the target has now.
    #[must_use]
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.groups.values().map(|g| g.waiting.len()).sum()
    }

    /// Returns the mean time in a slot, learnt from finished requests.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.slots.0)
    }

    /// Takes, queues or refuses a request.
    pub fn offer(&mut self, ask: &SchedulingRequest, now: Timestamp) -> Offer {
        let retry_after = self.drain_time(&ask.group);
        if self.closed || self.slots.0 == 0 {
            return Offer::Refuse(Refusal::Closed, retry_after);
        }
        if ask.deadline <= now {
            return Offer::Refuse(Refusal::TooLate, retry_after);
        }
        let group = self.groups.entry(ask.group.clone()).or_insert_with(|| GroupQueue {
            weight: ask.weight,
            virtual_time: 0,
            running: 0,
            waiting: BTreeSet::new(),
        });
        group.weight = ask.weight;
        let waiting = group.waiting.len();
        if self.has_free_slot() && self.queued() == 0 {
            self.start(ask.id, &ask.group, now);
            return Offer::Run;
        }
        if waiting >= ask.max_queue {
            return Offer::Refuse(Refusal::QueueFull, retry_after);
        }
        let wait = self.wait_time(&ask.group, waiting);
        if now + wait + self.service_time > ask.deadline {
            return Offer::Refuse(Refusal::TooLate, retry_after);
        }
        let give_up = ask.deadline.min(now + ask.max_wait);
        let entry = Waiting { deadline: ask.deadline, id: ask.id, give_up };
        if let Some(group) = self.groups.get_mut(&ask.group) {
            if group.waiting.is_empty() && group.running == 0 {
                group.virtual_time = group.virtual_time.max(self.virtual_time);
            }
            group.waiting.insert(entry);
        }
        Offer::Wait
    }

    /// Frees the slot of a finished request and returns those that now start.
    pub fn finish(&mut self, id: RequestId, now: Timestamp) -> Vec<RequestId> {
        if let Some(run) = self.running.remove(&id) {
            let took = now.since(run.started);
            self.service_time = (self.service_time * 7 + took) / 8;
            if let Some(group) = self.groups.get_mut(&run.group) {
                group.running -= 1;
                let cost = cost(took, group.weight);
                group.virtual_time = (group.virtual_time + cost).saturating_sub(run.charged);
            }
        }
        self.start_waiting(now)
    }

    /// Starts waiting requests while there are free slots, as after a change of slots.
    pub fn start_waiting(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut started = Vec::new();
        while self.has_free_slot() {
            let Some(name) = self.next_group() else { break };
            let Some(group) = self.groups.get_mut(&name) else { break };
            let next = match self.sharing {
                Sharing::Fair => group.waiting.pop_first(),
                Sharing::ArrivalOrder => {
                    let oldest = group.waiting.iter().min_by_key(|w| w.id).cloned();
                    oldest.inspect(|w| {
                        group.waiting.remove(w);
                    })
                }
            };
            let Some(waiting) = next else { break };
            self.start(waiting.id, &name, now);
            started.push(waiting.id);
        }
        started
    }

    /// Takes out a request whose caller went away; its slot, if any, is freed by `finish`.
    pub fn cancel_waiting(&mut self, id: RequestId) {
        for group in self.groups.values_mut() {
            group.waiting.retain(|w| w.id != id);
        }
    }

    /// Takes out the requests that have waited as long as they may.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Expired> {
        let mut out = Vec::new();
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            let retry_after = self.drain_time(&name);
            let Some(group) = self.groups.get_mut(&name) else { continue };
            group.waiting.retain(|w| {
                let keep = w.give_up > now;
                if !keep {
                    let refusal = Refusal::WaitedTooLong;
                    out.push(Expired { id: w.id, refusal, retry_after });
                }
                keep
            });
        }
        self.groups.retain(|_, g| {
            g.running > 0 || !g.waiting.is_empty() || g.virtual_time > self.virtual_time
        });
        out
    }

    fn next_group(&self) -> Option<GroupName> {
        let backlogged = self.groups.iter().filter(|(_, g)| !g.waiting.is_empty());
        let next = match self.sharing {
            Sharing::Fair => backlogged.min_by_key(|(_, g)| g.virtual_time),
            Sharing::ArrivalOrder => {
                backlogged.min_by_key(|(_, g)| g.waiting.iter().map(|w| w.id).min())
            }
        };
        next.map(|(name, _)| name.clone())
    }

    fn start(&mut self, id: RequestId, name: &GroupName, now: Timestamp) {
        let Some(group) = self.groups.get_mut(name) else { return };
        let start = group.virtual_time.max(self.virtual_time);
        let charged = cost(self.service_time, group.weight);
        self.virtual_time = start;
        group.virtual_time = start + charged;
        group.running += 1;
        self.running.insert(id, Running { group: name.clone(), started: now, charged });
    }

    /// Returns the expected wait of a request with `ahead` others of its group before it.
    fn wait_time(&self, name: &GroupName, ahead: usize) -> Duration {
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

    /// Returns when the group's queue is expected to be empty: the time to come back.
    fn drain_time(&self, name: &GroupName) -> Duration {
        let ahead = self.groups.get(name).map_or(0, |g| g.waiting.len());
        self.wait_time(name, ahead).max(MIN_RETRY_AFTER)
    }
}

/// Returns slot time divided by weight, in virtual nanoseconds.
fn cost(span: Duration, weight: Weight) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX) / u64::from(weight.0.max(1))
}
