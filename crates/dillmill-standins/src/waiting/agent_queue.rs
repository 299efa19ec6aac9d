//! The queue and the slots of one agent.

use std::time::Duration;

use dillmill_core::Timestamp;
use dillmill_core::open_queue::{OpenQueue, WaitingOpen};

use super::packet_ids::{request_and_attempt, route};
use super::queue_order::QueueOrder;
use super::scenario::TargetSpec;

/// A request that waits in an order other than the agents'.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    pub(super) n: usize,
    pub(super) attempt: u32,
    pub(super) began: Timestamp,
    pub(super) priority: dillmill_core::Priority,
}

/// Waiting requests of one agent, and the slots of its target.
#[derive(Debug)]
pub(super) struct AgentQueue {
    order: QueueOrder,
    queue: OpenQueue,
    waiting: Vec<WaitingRequest>,
    pub(super) target: TargetSpec,
    pub(super) busy: u32,
}

impl AgentQueue {
    /// Creates the queue of an agent that starts at `started`.
    pub(super) fn new(order: QueueOrder, target: TargetSpec, started: Timestamp) -> Self {
        let queue = OpenQueue::new(started);
        Self { order, queue, waiting: Vec::new(), target, busy: 0 }
    }

    pub(super) fn push(&mut self, open: WaitingOpen, request: WaitingRequest) {
        let same = |w: &WaitingRequest| (w.n, w.attempt) == (request.n, request.attempt);
        if self.order == QueueOrder::Agent {
            self.queue.push(open);
        } else if !self.waiting.iter().any(same) {
            self.waiting.push(request);
        }
    }

    pub(super) fn note_outcome(&mut self, waited: Duration, opened: bool, now: Timestamp) {
        self.queue.note_outcome(route(), waited, opened, now);
    }

    /// Returns the requests per slot, waiting ones included, in thousandths.
    pub(super) fn load(&self) -> usize {
        let requests = self.queue.len() + self.waiting.len() + self.busy as usize;
        requests * 1000 / self.target.slots.max(1) as usize
    }

    pub(super) fn drop_abandoned(&mut self, now: Timestamp) {
        self.queue.take_abandoned(now);
    }

    /// Removes and returns the request and attempt served next, if a slot is free.
    pub(super) fn next(&mut self, now: Timestamp) -> Option<(usize, u32)> {
        if self.busy >= self.target.slots {
            return None;
        }
        let all = self.waiting.iter().enumerate();
        let next = match self.order {
            QueueOrder::Agent => {
                let open = self.queue.take(Duration::ZERO, true, now)?;
                return Some(request_and_attempt(&open.flow));
            }
            QueueOrder::Newest => all.max_by_key(|(_, w)| w.began),
            QueueOrder::Oldest => all.min_by_key(|(_, w)| w.began),
            QueueOrder::StrictPriority => {
                all.min_by_key(|(_, w)| (w.priority, std::cmp::Reverse(w.began)))
            }
        };
        let i = next.map(|(i, _)| i)?;
        let request = self.waiting.swap_remove(i);
        Some((request.n, request.attempt))
    }
}
