//! Schedules requests on the slots of one target, and refuses those that cannot be served in
//! time.
//!
//! The agent never runs more requests than its target has slots. Free slots are shared among
//! groups by weight, using start-time fair queueing (Goyal, Vin and Cheng, 1996) on slot time.
//! This is work-conserving: a single active group may use every slot. Within a group, the
//! earliest deadline goes first. A request that is not expected to finish by its deadline is
//! refused at once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::{GroupName, ReturnSchedule, Slots, Timestamp, Weight};

mod refusing;

const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Identifier of a request, unique within one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Queue discipline for waiting requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Weighted fair share of slot time among groups.
    #[default]
    Fair,
    /// First come, first served: the baseline for measurements.
    ArrivalOrder,
}

/// Scheduling parameters of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulingRequest {
    /// The request.
    pub id: RequestId,
    /// The group that the request belongs to.
    pub group: GroupName,
    /// Weight of the group.
    pub weight: Weight,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Maximum number of queued requests of the group.
    pub max_queue: usize,
    /// Maximum time in the queue.
    pub max_wait: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The group's queue is full.
    #[error("the group's queue is full")]
    QueueFull,
    /// The request would not finish by its deadline.
    #[error("it can't finish by its deadline")]
    TooLate,
    /// The request reached its maximum time in the queue.
    #[error("it waited too long")]
    WaitedTooLong,
    /// The agent is leaving or has no slots.
    #[error("the target takes no new work")]
    Closed,
}

/// Result of [`Scheduler::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The request runs now.
    Run,
    /// The request is queued; [`Scheduler::finish`], [`Scheduler::start_waiting`] or
    /// [`Scheduler::expire`] returns it later.
    Wait,
    /// The request is refused; the caller should retry after the given time.
    Refuse(Refusal, Duration),
}

/// A request removed from the queue without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expired {
    /// The request.
    pub id: RequestId,
    /// Why the request is refused.
    pub refusal: Refusal,
    /// When the caller should retry.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedRequest {
    deadline: Timestamp,
    id: RequestId,
    give_up_at: Timestamp,
}

#[derive(Debug)]
struct GroupQueue {
    weight: Weight,
    virtual_time: u64,
    running: usize,
    waiting: BTreeSet<QueuedRequest>,
}

#[derive(Debug)]
struct RunningRequest {
    group: GroupName,
    started: Timestamp,
    charged: u64,
}

/// Scheduler for the slots of one target, with a queue for each group.
#[derive(Debug)]
pub struct Scheduler {
    sharing: Sharing,
    slots: Slots,
    running: HashMap<RequestId, RunningRequest>,
    groups: BTreeMap<GroupName, GroupQueue>,
    virtual_time: u64,
    service_time: Duration,
    returns: ReturnSchedule,
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
            returns: ReturnSchedule::default(),
            closed: false,
        }
    }

    /// Sets how waiting requests are ordered.
    #[must_use]
    pub fn sharing(mut self, sharing: Sharing) -> Self {
        self.sharing = sharing;
        self
    }

    /// Changes the number of slots; running requests continue.
    pub fn set_slots(&mut self, slots: Slots) {
        self.slots = slots;
    }

    /// Refuses all new requests from now on; queued ones still run.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.running.len()
    }

    /// Returns the current number of slots.
    #[must_use]
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.groups.values().map(|g| g.waiting.len()).sum()
    }

    /// Returns the average time that a request holds a slot, learned from finished requests.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.slots.0)
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, request: &SchedulingRequest, now: Timestamp) -> Offer {
        if self.closed || self.slots.0 == 0 {
            return Offer::Refuse(Refusal::Closed, self.drain_time(&request.group));
        }
        if request.deadline <= now {
            return self.refuse(Refusal::TooLate, request, now);
        }
        let group = self.groups.entry(request.group.clone()).or_insert_with(|| GroupQueue {
            weight: request.weight,
            virtual_time: 0,
            running: 0,
            waiting: BTreeSet::new(),
        });
        group.weight = request.weight;
        let waiting = group.waiting.len();
        if self.has_free_slot() && self.queued() == 0 {
            self.start(request.id, &request.group, now);
            return Offer::Run;
        }
        if waiting >= request.max_queue {
            return self.refuse(Refusal::QueueFull, request, now);
        }
        let wait = self.wait_time(&request.group, waiting);
        if now + wait + self.service_time > request.deadline {
            return self.refuse(Refusal::TooLate, request, now);
        }
        let give_up_at = request.deadline.min(now + request.max_wait);
        let entry = QueuedRequest { deadline: request.deadline, id: request.id, give_up_at };
        if let Some(group) = self.groups.get_mut(&request.group) {
            if group.waiting.is_empty() && group.running == 0 {
                group.virtual_time = group.virtual_time.max(self.virtual_time);
            }
            group.waiting.insert(entry);
        }
        Offer::Wait
    }

    /// Frees the slot of a finished request, and returns the queued requests that start now.
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

    /// Starts queued requests while slots are free, such as after a change of slots.
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

    /// Removes a queued request whose caller went away. The slot of a running one is freed by
    /// `finish`.
    pub fn cancel_waiting(&mut self, id: RequestId) {
        for group in self.groups.values_mut() {
            group.waiting.retain(|w| w.id != id);
        }
    }

    /// Removes and returns the requests that have reached their maximum time in the queue.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Expired> {
        let mut out = Vec::new();
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            let Some(group) = self.groups.get_mut(&name) else { continue };
            let weight = group.weight;
            let mut expired = Vec::new();
            group.waiting.retain(|w| {
                let keep = w.give_up_at > now;
                if !keep {
                    expired.push(w.id);
                }
                keep
            });
            for id in expired {
                let retry_after = self.return_delay(&name, weight, now);
                out.push(Expired { id, refusal: Refusal::WaitedTooLong, retry_after });
            }
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
        self.running.insert(id, RunningRequest { group: name.clone(), started: now, charged });
    }
}

/// Returns slot time divided by weight, in virtual nanoseconds.
fn cost(span: Duration, weight: Weight) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX) / u64::from(weight.0.max(1))
}
