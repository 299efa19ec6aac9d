//! Opening packets, and requests of open flows, that wait at the gate for their turn.

use std::time::Duration;

use super::{Arrival, FlowGate, GateContext, RefuseReason, Verdict};
use crate::envelope::Envelope;
use crate::open_queue::{WaitTerms, WaitingOpen};
use crate::segment::{Segment, SegmentKind};
use crate::{FlowTuple, Timestamp};

/// Part of the slots for which requests may be on the way while all are busy, at least one: a caller's request
/// comes a round trip after its opening packet, and the slot would stand idle meanwhile.
const ON_THE_WAY: u32 = 4;

/// A caller that is there opens its flow within this time after the target has accepted it: a few round trips
/// between data centres.
const OPENS_WITHIN: Duration = Duration::from_millis(100);

/// An opening packet that has had its turn.
#[derive(Debug)]
pub(super) struct TakenOpen {
    flow: FlowTuple,
    waited: Duration,
    at: Timestamp,
}

impl FlowGate {
    /// Lets an opening packet wait; returns it if too many wait already.
    pub fn wait(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        self.opens.push(open)
    }

    /// Returns the number of opening packets that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.opens.len()
    }

    /// Returns how long the caller of `flow` waits for an answer to an opening packet.
    #[must_use]
    pub fn patience(&self, flow: &FlowTuple, terms: &WaitTerms, now: Timestamp) -> Duration {
        self.opens.patience(flow, terms, now)
    }

    /// Forgets the opening packet of `flow`, which has gone another way.
    pub fn no_longer_waits(&mut self, flow: &FlowTuple) {
        self.opens.remove(flow);
    }

    /// Returns the opening packets that nobody can serve any more, with what to tell their callers.
    pub fn take_lost(&mut self, now: Timestamp) -> Vec<(WaitingOpen, Verdict)> {
        // Who waits on an open flow sends its request once more.
        let lost = self.opens.take_lost(now).into_iter().filter(|open| !open.terms.open_flow);
        lost.map(|open| self.refused(open)).collect()
    }

    /// Refuses an opening packet that has waited: it has not reached the target.
    #[must_use]
    pub fn refused(&self, open: WaitingOpen) -> (WaitingOpen, Verdict) {
        let verdict = self.refuse(RefuseReason::Crowded, &open.envelope, &[]);
        (open, verdict)
    }

    /// Returns the opening packet that has its turn, or the next one if the target takes nothing new.
    pub fn next_waiting(&mut self, now: Timestamp) -> Option<WaitingOpen> {
        self.note_outcomes(now);
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
        let slots = u32::from(self.slots);
        let room = requests < slots + (slots / ON_THE_WAY).max(1);
        let open = self.opens.take(self.work_of(requests + 1), room, now)?;
        if open.terms.open_flow {
            return Some(open);
        }
        let waited = now.since(open.terms.since);
        self.taken.push_back(TakenOpen { flow: open.flow, waited, at: now });
        Some(open)
    }

    /// Learns from the callers of opening packets that have had their turn how long callers wait.
    fn note_outcomes(&mut self, now: Timestamp) {
        while let Some(taken) = self.taken.front().filter(|t| now.since(t.at) >= OPENS_WITHIN) {
            if let Some(opened) = self.flows.was_opened(&taken.flow) {
                self.opens.note_outcome(taken.flow.route(), taken.waited, opened, now);
            }
            self.taken.pop_front();
        }
    }

    /// Decides on a packet that has its turn, by what is known now.
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
