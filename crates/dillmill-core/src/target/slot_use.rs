//! Tells when a target with a limited number of slots begins to serve each of its requests.
//!
//! A target that is kept busy hardly ever receives a request while a slot is free. Its service time is
//! therefore measured on requests that queue at the target too, from the moment when a slot is theirs.

use std::collections::VecDeque;

use super::tracked_flow::REQUEST_LIFETIME;
use crate::{FlowTuple, Timestamp};

/// Requests at one target that serves them in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct SlotUse {
    slots: usize,
    /// Flows whose requests have a slot, with the times since which they have it.
    serving: Vec<(FlowTuple, Timestamp)>,
    /// Flows whose requests queue, in the order of arrival.
    queued: VecDeque<FlowTuple>,
}

impl SlotUse {
    /// Adds the request on `flow` to those of a target with `slots`; returns whether the target begins to
    /// serve it at once.
    pub(super) fn begin(&mut self, flow: FlowTuple, slots: u16, now: Timestamp) -> bool {
        self.slots = usize::from(slots);
        if self.serving.len() >= self.slots {
            self.serving.retain(|(_, since)| now.since(*since) < REQUEST_LIFETIME);
        }
        // Requests that get a slot here, and not at the end of another, may have begun before, so their
        // times are not known.
        while self.serve_next(now).is_some() {}
        let free = self.serving.len() < self.slots;
        if free {
            self.serving.push((flow, now));
        } else {
            self.queued.push_back(flow);
        }
        free
    }

    /// Removes the request on `flow`, which was answered or has ended otherwise. Returns the flow whose
    /// request the target begins to serve in its place.
    pub(super) fn end(&mut self, flow: &FlowTuple, now: Timestamp) -> Option<FlowTuple> {
        if let Some(i) = self.serving.iter().position(|(served, _)| served == flow) {
            self.serving.swap_remove(i);
        } else {
            let i = self.queued.iter().position(|queued| queued == flow)?;
            self.queued.remove(i);
        }
        self.serve_next(now)
    }

    fn serve_next(&mut self, now: Timestamp) -> Option<FlowTuple> {
        if self.serving.len() >= self.slots {
            return None;
        }
        let next = self.queued.pop_front()?;
        self.serving.push((next, now));
        Some(next)
    }
}
