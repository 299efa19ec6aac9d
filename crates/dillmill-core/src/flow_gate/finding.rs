//! How an agent finds the owner of an open flow.

use super::lookup::Lookup;
use super::opening::PLACE_HOPS;
use super::{
    Arrival, FlowGate, PassReason, RefuseReason, TRIALS, TargetPresence, TargetStanding, Verdict,
};
use crate::FlowCoverage;
use crate::envelope::{Envelope, PacketPurpose, Search, SearchPlace, SearchScope};
use crate::segment::SegmentKind;
use crate::target_flows::Fit;

/// Steps of a search beyond the number of agents, each of which it visits once but for directories: this only ends
/// one that goes wrong.
const SPARE_STEPS: usize = 16;
/// How often a packet is sent where a record says before the search goes on in order: an opening packet
/// passed on three times leaves as many records.
const DIRECTIONS: u8 = 4;

impl FlowGate {
    /// Decides on a packet of a flow that should be open somewhere.
    pub(super) fn find(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, now, .. } = arrival;
        // A target may turn cold beside its open flows, and would fall over with all of them. A request that comes a
        // moment later is answered.
        if self.flows.begins_further(seg) && !self.cold.room(now) {
            let terms = self.wait_terms(arrival, 0).of_open_flow();
            return Verdict::Wait { terms, envelope: env.clone(), tell: None };
        }
        if matches!(seg.kind, SegmentKind::Finish | SegmentKind::Reset) {
            self.opens.remove(&seg.flow);
        }
        self.find_now(arrival, lookup)
    }

    /// Decides on a packet of a flow that should be open somewhere, whatever the target has to do.
    pub(super) fn find_now(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, context, now } = arrival;
        let fit = self.flows.note_caller(seg, self.slots, now);
        if let Fit::Ours { further } = fit {
            if further {
                self.cold.note(now);
            }
            return Verdict::Deliver { mark: 0, tell: lookup.searched.then_some(env.origin) };
        }
        if let Some(verdict) = self.direct(arrival, lookup) {
            return verdict;
        }
        let lookup = if context.settled { lookup } else { lookup.unsure() };
        let told = context.settled && context.told;
        let told = told && context.agents.is_directory(&seg.flow, self.me);
        let lookup = if told { lookup.told() } else { lookup };
        let may_hold = fit == Fit::Unknown
            && self.coverage(now) == FlowCoverage::Partial
            && self.not_held.peek(&seg.flow).is_none()
            && arrival.services().contains(&self.service);
        if !may_hold {
            return self.search_on(arrival, lookup);
        }
        let unheard = self.standing == TargetStanding::Unknown;
        if unheard && self.presence == TargetPresence::Unknown {
            // Nothing tells yet whether there is a target that could give the packet back.
            return Verdict::Try { onward: Box::new(self.search_on(arrival, lookup.unsure())) };
        }
        if self.cold.is_cold(now) && !lookup.claimed && !lookup.search.sure {
            // A search that proves nothing is about flows that run, and such a target has hardly any yet.
            return self.search_on(arrival, lookup);
        }
        let purpose = PacketPurpose::Search(lookup.search);
        let mark = self.begin_trial(Envelope { purpose, ..env.clone() });
        Verdict::Deliver { mark, tell: None }
    }

    /// Passes a packet to the agent that a record names as the owner of its flow.
    fn direct(&mut self, arrival: Arrival<'_>, lookup: Lookup) -> Option<Verdict> {
        let Arrival { seg, env, context, now } = arrival;
        if lookup.directed >= DIRECTIONS {
            return None;
        }
        let record = self.directory.owner(&seg.flow, seg.ack, now)?;
        if record.data == self.data || context.agents.at(record.data).is_none() {
            return None;
        }
        let purpose = PacketPurpose::Directed { search: lookup.search, times: lookup.directed + 1 };
        let envelope = Envelope { purpose, ..env.clone() };
        Some(Verdict::Pass { to: record.data, envelope, reason: PassReason::Directed })
    }

    /// Sends a packet to the next agent in the order of search.
    pub(super) fn search_on(&self, arrival: Arrival<'_>, lookup: Lookup) -> Verdict {
        let Arrival { seg, env, context, .. } = arrival;
        let services = arrival.services();
        let me = Some(self.me);
        let so_far = lookup.search;
        if usize::from(so_far.steps) >= context.agents.len() + SPARE_STEPS {
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
        self.next_trial = (self.next_trial + 1) % TRIALS;
        self.trials[self.next_trial] = Some(env);
        u32::try_from(self.next_trial + 1).unwrap_or(0)
    }

    pub(super) fn after_trial(&mut self, arrival: Arrival<'_>) -> Verdict {
        let Arrival { seg, env, .. } = arrival;
        match (&env.purpose, seg.kind) {
            (PacketPurpose::Place { passed, .. }, SegmentKind::Open { .. }) => {
                let reason = PassReason::Returned;
                let refused = self.refuse(RefuseReason::NoTarget, env, passed);
                if passed.len() > PLACE_HOPS {
                    return refused;
                }
                self.pass_on(arrival, env.service, passed, reason).unwrap_or(refused)
            }
            (purpose @ (PacketPurpose::Search(_) | PacketPurpose::Deliver), kind)
                if !matches!(kind, SegmentKind::Open { .. }) =>
            {
                self.search_on(arrival, purpose.into())
            }
            _ => Verdict::Drop,
        }
    }
}
