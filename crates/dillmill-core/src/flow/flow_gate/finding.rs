//! Finds the owner of an open flow, and decides when no agent holds it.

use super::lookup::Lookup;
use super::opening::MAX_PLACE_HOPS;
use super::{
    Arrival, FlowGate, MAX_TRIALS, PassReason, RefuseReason, TargetPresence, TargetStanding,
    Verdict,
};
use crate::FlowCoverage;
use crate::envelope::{Envelope, PacketPurpose, Search, SearchPlace, SearchScope};
use crate::open_queue::WaitTerms;
use crate::segment::SegmentKind;
use crate::target_flows::FlowMatch;

/// Search steps allowed beyond the number of agents. A search visits each agent once, except for
/// directories, so this limit only stops a search that goes wrong.
const EXTRA_SEARCH_STEPS: usize = 16;
/// Maximum number of times that a packet follows a directory record before the search goes on in
/// its usual order. An opening packet passed on three times leaves as many records.
const MAX_REDIRECTS: u8 = 4;

impl FlowGate {
    /// Decides on a packet of a flow that should be open at some agent. A further request on a flow
    /// waits while the target is cold, or full while requests of several priorities compete for it.
    pub(super) fn find(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, .. } = arrival;
        if let Some(terms) = self.hold_terms(arrival) {
            let tell = lookup.searched.then_some(env.origin);
            return Verdict::Wait { terms, envelope: env.clone(), tell };
        }
        if matches!(seg.kind, SegmentKind::Finish | SegmentKind::Reset) {
            self.opens.remove(&seg.flow);
        }
        self.find_now(arrival, lookup)
    }

    /// Returns the time limits of a packet on an open flow that must wait: the first packet of a
    /// further request, or any other packet of a request that waits.
    ///
    /// All packets of a request are held behind the first, because the first does not tell whether
    /// more come. The queue recognises copies by their sequence numbers.
    fn hold_terms(&mut self, arrival: Arrival<'_>) -> Option<WaitTerms> {
        let Arrival { seg, now, .. } = arrival;
        let carries_data = seg.len > 0 && seg.kind != SegmentKind::Reset;
        let held = carries_data && self.opens.holds_request(&seg.flow);
        if !held && !self.flows.begins_further(seg) {
            return None;
        }
        let terms = self.wait_terms(arrival, 0).of_open_flow(seg.seq);
        if held {
            return Some(terms);
        }
        // A target may turn cold while it has open flows, and would crash if requests came on all
        // of them at once. A request that is delayed for a moment is still answered.
        if !self.cold.room(now) {
            return Some(terms);
        }
        let ordered = terms.policy.priority_order && self.flows.acknowledges_answer(seg);
        let full = ordered && !self.has_room(self.load(now).requests);
        // On an open flow, the caller waits for the answer until the route's timeout.
        full.then(|| terms.attempt_timeout(terms.timeout))
    }

    /// Decides on a packet of a flow that should be open at some agent, whatever the load of the
    /// target.
    pub(super) fn find_now(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, context, now } = arrival;
        let fit = self.flows.note_caller(seg, self.slots, now);
        if let FlowMatch::Held { further } = fit {
            if further {
                self.cold.note(now);
            }
            return Verdict::Deliver { mark: 0, tell: lookup.searched.then_some(env.origin) };
        }
        if let Some(verdict) = self.redirect_to_record(arrival, lookup) {
            return verdict;
        }
        let lookup = if context.settled { lookup } else { lookup.mark_unsure() };
        let told = context.settled && context.told;
        let told = told && context.agents.is_directory(&seg.flow, self.me);
        let lookup = if told { lookup.mark_told() } else { lookup };
        let may_hold = fit == FlowMatch::Unknown
            && self.coverage(now) == FlowCoverage::Partial
            && self.not_held.peek(&seg.flow).is_none()
            && arrival.services().contains(&self.service);
        if !may_hold {
            return self.continue_search(arrival, lookup);
        }
        let unheard = self.standing == TargetStanding::Unknown;
        if unheard && self.presence == TargetPresence::Unknown {
            // It is not known yet whether there is a target that could return the packet, so the
            // search goes on in parallel.
            return Verdict::Try {
                onward: Box::new(self.continue_search(arrival, lookup.mark_unsure())),
            };
        }
        if self.cold.is_cold(now) && !lookup.claimed && !lookup.search.sure {
            // A search that is not sure cannot prove that a flow is missing. It only serves to find
            // running flows, of which a target that has just started has hardly any.
            return self.continue_search(arrival, lookup);
        }
        let purpose = PacketPurpose::Search(lookup.search);
        let mark = self.begin_trial(Envelope { purpose, ..env.clone() });
        Verdict::Deliver { mark, tell: None }
    }

    /// Passes a packet to the agent that a directory record names as the owner of its flow.
    fn redirect_to_record(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Option<Verdict> {
        let Arrival { seg, env, context, now } = arrival;
        if lookup.redirects >= MAX_REDIRECTS {
            return None;
        }
        let record = self.directory.owner(&seg.flow, seg.ack, now)?;
        if record.data == self.data || context.agents.at(record.data).is_none() {
            return None;
        }
        let purpose =
            PacketPurpose::Directed { search: lookup.search, times: lookup.redirects + 1 };
        let envelope = Envelope { purpose, ..env.clone() };
        Some(Verdict::Pass { to: record.data, envelope, reason: PassReason::Directed })
    }

    /// Passes a packet to the next agent in the search order. Reports the flow as missing if the
    /// search is complete and proves that no agent holds it.
    pub(super) fn continue_search(&self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, context, .. } = arrival;
        let services = arrival.services();
        let me = Some(self.me);
        let so_far = lookup.search;
        if usize::from(so_far.steps) >= context.agents.len() + EXTRA_SEARCH_STEPS {
            return Verdict::Drop;
        }
        let next = context.agents.next_in_search(&seg.flow, &services, so_far.place, me);
        let in_scope = |place: SearchPlace| match so_far.scope {
            SearchScope::All => true,
            SearchScope::Directories => matches!(place, SearchPlace::Directory(_)),
        };
        match next.filter(|(place, _)| in_scope(*place)) {
            Some((place, agent)) => {
                let search = Search { place: Some(place), steps: so_far.steps + 1, ..so_far };
                let envelope = Envelope { purpose: PacketPurpose::Search(search), ..env.clone() };
                Verdict::Pass { to: agent.data, envelope, reason: PassReason::Search }
            }
            None if so_far.proves() && !context.agents.may_miss(&seg.flow, &services) => {
                Verdict::Missing { origin: env.origin }
            }
            None => Verdict::Drop,
        }
    }

    pub(super) fn begin_trial(&mut self, env: Envelope) -> u32 {
        self.next_trial = (self.next_trial + 1) % MAX_TRIALS;
        self.trials[self.next_trial] = Some(env);
        u32::try_from(self.next_trial + 1).unwrap_or(0)
    }

    pub(super) fn after_trial(&mut self, arrival: Arrival<'_>) -> Verdict {
        let Arrival { seg, env, .. } = arrival;
        match (&env.purpose, seg.kind) {
            (
                purpose @ (PacketPurpose::Place { .. } | PacketPurpose::Moved { .. }),
                SegmentKind::Open { .. },
            ) => {
                let reason = PassReason::Returned;
                let passed = match purpose {
                    PacketPurpose::Place { passed } => &passed[..],
                    // The balancer was told that the packet was moved to this agent.
                    _ => &[],
                };
                let refused = self.refuse(RefuseReason::NoTarget, env, passed);
                if passed.len() > MAX_PLACE_HOPS {
                    return refused;
                }
                self.pass_on(arrival, env.service, passed, reason).unwrap_or(refused)
            }
            (purpose @ (PacketPurpose::Search(_) | PacketPurpose::Deliver), kind)
                if !matches!(kind, SegmentKind::Open { .. }) =>
            {
                self.continue_search(arrival, purpose.into())
            }
            _ => Verdict::Drop,
        }
    }
}
