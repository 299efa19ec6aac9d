//! Queue of opening packets, and of requests on open flows, that wait for the target.

use std::time::Duration;

use super::{Arrival, FlowGate, GateContext, RefuseReason, Verdict};
use crate::envelope::Envelope;
use crate::open_queue::{TakeReason, WaitTerms, WaitingOpen};
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, PRIORITY_CLASSES, Timestamp};

/// While all slots are busy, requests for this fraction of the slots (one over this number, at
/// least one slot) may be given to the target in addition. A caller's request comes a round trip
/// after its opening packet, and the slot would stand idle meanwhile.
const SLOT_OVERCOMMIT_DIVISOR: u32 = 4;

/// Time within which a caller that is still there opens its flow after the target has accepted it:
/// a few round trips between data centres.
const OPEN_CONFIRM_WINDOW: Duration = Duration::from_millis(100);

/// An opening packet that has left the queue.
#[derive(Debug)]
pub(super) struct DispatchedOpen {
    flow: FlowTuple,
    waited: Duration,
    at: Timestamp,
}

impl FlowGate {
    /// Queues an opening packet; returns it if the queue is full.
    pub fn wait(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        self.opens.push(open)
    }

    /// Returns whether a packet may be given to a target with this number of `requests` without
    /// waiting for its turn.
    pub(super) fn may_pass_queue(&self, requests: u32) -> bool {
        self.has_room(requests) && self.opens.is_empty()
    }

    /// Returns whether a target with this number of `requests` may be given one more. More would
    /// wait in the target's own queue, which ignores priority.
    pub(super) fn has_room(&self, requests: u32) -> bool {
        let slots = u32::from(self.slots);
        requests < slots + (slots / SLOT_OVERCOMMIT_DIVISOR).max(1)
    }

    /// Returns the number of packets in the queue by the class of their priority.
    #[must_use]
    pub fn waiting_by_class(&self, now: Timestamp) -> [u16; PRIORITY_CLASSES] {
        self.opens.waiting_by_class(now)
    }

    /// Returns how many packets have left the queue for each of [`TakeReason::ALL`].
    #[must_use]
    pub fn taken(&self) -> [u64; TakeReason::ALL.len()] {
        self.opens.taken()
    }

    /// Returns why the latest packet that left the queue was taken; `None` if there is none, or if
    /// it left because the target takes no new flows.
    #[must_use]
    pub fn last_taken(&self) -> Option<TakeReason> {
        self.opens.last_taken()
    }

    /// Returns the number of packets in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.opens.len()
    }

    /// Returns how long the caller of `flow` waits for an answer to an opening packet.
    #[must_use]
    pub fn attempt_timeout(&self, flow: &FlowTuple, terms: &WaitTerms, now: Timestamp) -> Duration {
        self.opens.attempt_timeout(flow, terms, now)
    }

    /// Removes the opening packet of `flow` from the queue, as the packet has been handled
    /// otherwise.
    pub fn no_longer_waits(&mut self, flow: &FlowTuple) {
        self.opens.remove(flow);
    }

    /// Removes the opening packets that have waited too long to be served; returns them with the
    /// verdicts for their callers.
    pub fn take_abandoned(&mut self, now: Timestamp) -> Vec<(WaitingOpen, Verdict)> {
        // A caller that waits on an open flow sends its request again by itself.
        let lost = self.opens.take_abandoned(now).into_iter().filter(|open| !open.terms.open_flow);
        lost.map(|open| self.refused(open)).collect()
    }

    /// Returns the refusal of an opening packet that has waited and has not reached the target.
    #[must_use]
    pub fn refused(&self, open: WaitingOpen) -> (WaitingOpen, Verdict) {
        let verdict = self.refuse(RefuseReason::Crowded, &open.envelope, &[]);
        (open, verdict)
    }

    /// Removes and returns the packet whose turn it is. If the target takes no new flows, an
    /// opening packet is returned at once, so that it goes elsewhere.
    pub fn next_waiting(&mut self, now: Timestamp) -> Option<WaitingOpen> {
        self.note_outcomes(now);
        if let Some(packet) = self.opens.take_following() {
            return Some(packet);
        }
        if self.opens.is_empty() {
            return None;
        }
        if !self.takes_new(now)
            && let Some(open) = self.opens.take_any_open()
        {
            return Some(open);
        }
        if !self.cold.room(now) {
            return None;
        }
        let requests = self.load(now).requests;
        let room = self.has_room(requests);
        let open = self.opens.take(self.work_of(requests + 1), room, now)?;
        if open.terms.open_flow {
            return Some(open);
        }
        let waited = now.since(open.terms.since);
        self.dispatched.push_back(DispatchedOpen { flow: open.flow, waited, at: now });
        Some(open)
    }

    /// Learns from the callers of packets that have left the queue how long callers wait.
    fn note_outcomes(&mut self, now: Timestamp) {
        while let Some(dispatched) =
            self.dispatched.front().filter(|t| now.since(t.at) >= OPEN_CONFIRM_WINDOW)
        {
            if let Some(opened) = self.flows.was_opened(&dispatched.flow) {
                self.opens.note_outcome(dispatched.flow.route(), dispatched.waited, opened, now);
            }
            self.dispatched.pop_front();
        }
    }

    /// Decides on a packet that has left the queue, by the present state.
    pub fn decide_waiting(
        &mut self,
        seg: &Segment,
        env: &Envelope,
        context: GateContext<'_>,
        now: Timestamp,
    ) -> Verdict {
        match seg.kind {
            SegmentKind::Open { copies } => {
                self.place_waiting(Arrival { seg, env, context, now }, copies)
            }
            _ => self.find_now(Arrival { seg, env, context, now }, (&env.purpose).into()),
        }
    }
}
