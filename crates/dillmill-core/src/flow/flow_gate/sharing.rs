//! Sends opening packets of an overloaded agent to siblings that serve them sooner.

use std::time::Duration;

use super::opening::balancer_to_notify;
use super::{Arrival, FlowGate, GateContext, PassReason, Verdict};
use crate::agent_table::AgentEntry;
use crate::envelope::{Envelope, PacketPurpose};
use crate::open_queue::WaitingOpen;
use crate::rebalancing::{MAX_MOVES, Prospect, better_siblings};
use crate::{AgentLoad, FlowTuple, ProcessId, Timestamp};

/// Number of agents that may pass a new packet on because their targets are full. The next agent gives it
/// to the target or queues it, and may move it later.
const MAX_PASSES: usize = 1;
/// Number of agents that may pass a copy on to the agent that has the packet: one that has passed it on,
/// and those that have moved it.
const MAX_FOLLOWED: usize = MAX_PASSES + MAX_MOVES;

/// Time after its start in which an agent does not share load. After a restart of all processes,
/// processor time is scarce and all queues are long. Moving packets is assumed to cost too much then.
pub(super) const SHARING_START_DELAY: Duration = Duration::from_secs(5);

impl FlowGate {
    /// Sets the time after its start in which the agent does not share load.
    #[must_use]
    pub fn sharing_delay(mut self, delay: Duration) -> Self {
        self.sharing_delay = delay;
        self
    }

    /// Returns the load that determines how long one more request waits here.
    #[must_use]
    pub fn agent_load(&self, now: Timestamp) -> AgentLoad {
        let waiting = u32::try_from(self.waiting()).unwrap_or(u32::MAX);
        AgentLoad {
            requests: self.load(now).requests.saturating_add(waiting),
            slots: u32::from(self.slots),
            work: self.flows.work(),
        }
    }

    /// Returns whether the agent's siblings might serve new flows sooner: the target is full, or packets
    /// wait for it.
    #[must_use]
    pub fn under_pressure(&self, now: Timestamp) -> bool {
        self.shares_since_start(now)
            && self.takes_new(now)
            && (self.waiting() > 0 || self.load(now).requests >= u32::from(self.slots))
    }

    /// Returns whether the agent has run for long enough to share load.
    pub(super) fn shares_since_start(&self, now: Timestamp) -> bool {
        now.since(self.started) >= self.sharing_delay
    }

    /// Passes a copy of an opening packet to the sibling that has got the packet from here. Copies come
    /// here until the balancer has learnt of the new agent, or if it has not got that message.
    ///
    /// A sibling that has not reported lately may be down; the copy is then placed like a new packet.
    pub(super) fn follow_passed(
        &mut self,
        arrival: Arrival<'_>,
        copies: u32,
        passed: &[ProcessId],
    ) -> Option<Verdict> {
        let Arrival { seg, context, now, .. } = arrival;
        if copies == 0 || passed.len() >= MAX_FOLLOWED || !shares_load(context, &seg.flow) {
            return None;
        }
        let next = self.directory.owner(&seg.flow, seg.ack, now)?.owner;
        let reachable = next != self.me && !passed.contains(&next) && !self.flows.knows(&seg.flow);
        context.siblings.get(next, now).filter(|_| reachable)?;
        let next = context.agents.get(next)?;
        Some(self.pass_to(next, arrival, self.service, passed, PassReason::Directed))
    }

    /// Passes a new opening packet to the sibling with the shortest wait, if it is clearly shorter than
    /// here. As long as the load of no sibling is known, any sibling gets the packet.
    pub(super) fn pass_by_load(
        &mut self,
        arrival: Arrival<'_>,
        passed: &[ProcessId],
        reason: PassReason,
    ) -> Option<Verdict> {
        let Arrival { context, now, .. } = arrival;
        if passed.len() >= MAX_PASSES {
            return None;
        }
        if !context.siblings.any_known(now) {
            return self.pass_on(arrival, self.service, passed, reason);
        }
        let prospect =
            if reason == PassReason::Full { Prospect::InTime } else { Prospect::Delayed };
        let own = self.agent_load(now);
        let better = self.better_siblings(&own, own.wait_of_next(), prospect, context, now);
        let next = better.into_iter().find(|a| !passed.contains(&a.process))?;
        Some(self.pass_to(next, arrival, self.service, passed, reason))
    }

    /// Decides on an opening packet that has waited at other agents, by its true age. It is given to the
    /// target or waits here; if it waits, it may be moved again.
    pub(super) fn place_moved(
        &mut self,
        arrival: Arrival<'_>,
        copies: u32,
        passed: &[ProcessId],
    ) -> Verdict {
        let Arrival { seg, env, now, .. } = arrival;
        // The balancer knows the agent that has moved the packet here, but not the agents before it.
        let holder = &passed[passed.len().saturating_sub(1)..];
        if let Some(verdict) = self.redirect_or_refuse(arrival, holder) {
            return verdict;
        }
        if self.flows.knows(&seg.flow) {
            // A copy of the packet has come here another way. The target has the flow already.
            return Verdict::Drop;
        }
        let terms = self.wait_terms(arrival, copies).waited(age(env), now);
        let requests = self.load(now).requests;
        let full = requests >= u32::from(self.slots);
        let queues = full
            && (self.would_be_late(&terms, requests, now) || self.must_queue(&terms, requests));
        if queues || self.opens.any_urgent(now) || !self.cold.room(now) {
            let tell = balancer_to_notify(env, holder);
            return Verdict::Wait { terms, envelope: env.clone(), tell };
        }
        self.deliver_open(seg, env, copies, holder, now)
    }

    /// Removes the next waiting packet that a sibling serves clearly sooner, and returns it with the
    /// verdict that moves it there. The packet must be added to the sibling's load before the next call.
    pub fn next_moved(
        &mut self,
        context: GateContext<'_>,
        now: Timestamp,
    ) -> Option<(WaitingOpen, Verdict)> {
        if self.opens.is_empty() || !self.takes_new(now) || !self.shares_since_start(now) {
            return None;
        }
        let own = self.agent_load(now);
        let wait = own.wait_of_last();
        for next in self.better_siblings(&own, wait, Prospect::Delayed, context, now) {
            let load = context.siblings.get(next.process, now)?.load();
            let ahead = load.wait_of_next() + load.work;
            let movable = |open: &WaitingOpen| {
                let moved = movers(&open.envelope);
                moved.len() < MAX_MOVES
                    && !moved.contains(&next.process)
                    && shares_load(context, &open.flow)
            };
            let Some(open) = self.opens.take_movable(ahead, now, movable) else { continue };
            self.record_passed(open.flow, next, now);
            let passed = [movers(&open.envelope), &[self.me]].concat();
            let waited = now.since(open.terms.since).as_millis();
            let waited_ms = u32::try_from(waited).unwrap_or(u32::MAX);
            let purpose = PacketPurpose::Moved { passed, waited_ms };
            let envelope = Envelope { purpose, ..open.envelope.clone() };
            let verdict = Verdict::Pass { to: next.data, envelope, reason: PassReason::Moved };
            return Some((open, verdict));
        }
        None
    }

    /// Returns the siblings at which one more request waits clearly less than `wait`, the best one
    /// first.
    fn better_siblings<'a>(
        &self,
        own: &AgentLoad,
        wait: Duration,
        prospect: Prospect,
        context: GateContext<'a>,
        now: Timestamp,
    ) -> Vec<&'a AgentEntry> {
        let GateContext { agents, siblings, .. } = context;
        better_siblings(own, wait, prospect, self.service, agents, siblings, now)
    }
}

/// Returns whether load sharing is on for the route of a flow.
pub(super) fn shares_load(context: GateContext<'_>, flow: &FlowTuple) -> bool {
    context.routes.get(flow.route()).is_none_or(|route| route.overload.load_sharing)
}

/// Returns the agents that have moved a waiting packet.
fn movers(envelope: &Envelope) -> &[ProcessId] {
    match &envelope.purpose {
        PacketPurpose::Moved { passed, .. } => passed,
        _ => &[],
    }
}

/// Returns the time that a moved packet had waited when it was sent.
fn age(envelope: &Envelope) -> Duration {
    match envelope.purpose {
        PacketPurpose::Moved { waited_ms, .. } => Duration::from_millis(u64::from(waited_ms)),
        _ => Duration::ZERO,
    }
}
