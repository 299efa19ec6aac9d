//! What an agent does with an opening packet.

use std::time::Duration;

use super::{Arrival, FlowGate, PassReason, RefuseReason, Verdict};
use crate::agent_table::AgentEntry;
use crate::envelope::{Envelope, Errand};
use crate::flow_directory::FlowRecord;
use crate::route_table::RouteTable;
use crate::segment::Segment;
use crate::{ProcessId, ServiceTag, Timestamp, open_queue};

/// Agents that may pass an opening packet on before the last one must decide.
pub(super) const PLACE_HOPS: usize = 3;
/// Part of a route's latency aim that the work ahead of a new request may take, in percent. Beyond it the
/// answer would come late in any case, and late for all behind it, so that the packet waits at the agent, where
/// those behind it may go first. The rest is for the way, for the caller's own time, and for work that takes longer than the
/// average; 55, 75 and 95 were measured on whole days.
const AIM_SHARE: u32 = 55;
/// The same where a route has no aim, in rounds of work.
const ROUNDS: u32 = 3;

impl FlowGate {
    /// Decides on a packet that opens a flow.
    pub(super) fn place(
        &mut self,
        arrival: Arrival<'_>,
        copies: u32,
        passed: &[ProcessId],
        late: bool,
    ) -> Verdict {
        let Arrival { seg, env, known, now } = arrival;
        let Some(service) = service_now(seg, env, known.routes) else {
            return self.refuse(RefuseReason::NoRoute, env, passed);
        };
        if service != self.service {
            let reason = PassReason::OtherService;
            return self.pass_on(arrival, service, passed, reason).unwrap_or(Verdict::Drop);
        }
        if !self.takes_new(now) {
            let refused = self.refuse(RefuseReason::NoTarget, env, passed);
            return self.pass_on(arrival, service, passed, PassReason::Leaving).unwrap_or(refused);
        }
        if self.target_failing(now)
            && passed.len() < PLACE_HOPS
            && let Some(verdict) = self.pass_on(arrival, service, passed, PassReason::Failing)
        {
            return verdict;
        }
        let requests = self.load(now).requests;
        if requests >= u32::from(self.slots) {
            let limit = if late { Duration::ZERO } else { self.time_limit(arrival) };
            let waited = now.since(open_queue::waiting_since(copies, now));
            let misses_aim = waited + self.work_of(requests + 1) > limit;
            let reason = if misses_aim { PassReason::Crowded } else { PassReason::Full };
            // Bytes between data centres cost, so a wait that the aim allows stays in this one.
            if passed.len() < PLACE_HOPS
                && let Some(verdict) = self.pass_on(arrival, service, passed, reason)
            {
                return verdict;
            }
            if misses_aim {
                return Verdict::Wait { limit, envelope: env.clone() };
            }
        }
        self.not_held.remove(&seg.flow);
        self.flows.opening(seg.flow, copies, now);
        // The balancer knows only the agent that it chose itself.
        let tell = (!passed.is_empty()).then_some(env.origin);
        Verdict::Deliver { mark: self.begin_trial(env.clone()), tell }
    }

    /// Returns the time that a request may wait for its answer to come within the aim of its route.
    fn time_limit(&self, arrival: Arrival<'_>) -> Duration {
        let route = arrival.known.routes.get(arrival.seg.flow.route());
        let aim = route.and_then(|route| route.latency_aim);
        aim.map_or(self.flows.work() * ROUNDS, |aim| aim * AIM_SHARE / 100)
    }

    fn work_of(&self, requests: u32) -> Duration {
        self.flows.work() * requests / u32::from(self.slots)
    }

    /// Returns the time that the target needs for what it has and one request more.
    #[must_use]
    pub fn work_ahead(&self, now: Timestamp) -> Duration {
        self.work_of(self.load(now).requests + 1)
    }

    /// Returns whether a slot of the target has nothing to do.
    #[must_use]
    pub fn has_idle_slot(&self, now: Timestamp) -> bool {
        self.load(now).requests < u32::from(self.slots)
    }

    /// Refuses an opening packet that has waited here.
    #[must_use]
    pub fn refuse_waiting(&self, env: &Envelope) -> Verdict {
        let passed: &[ProcessId] = match &env.errand {
            Errand::Place { passed, .. } => passed,
            _ => &[],
        };
        self.refuse(RefuseReason::Crowded, env, passed)
    }

    pub(super) fn refuse(
        &self,
        reason: RefuseReason,
        env: &Envelope,
        passed: &[ProcessId],
    ) -> Verdict {
        let placed = passed.first().copied().unwrap_or(self.me);
        Verdict::Refuse { reason, origin: env.origin, placed }
    }

    /// Passes an opening packet to an agent that has not had it yet, a near one first, and remembers
    /// which: the balancer sends the packets that follow here until it hears of the owner.
    pub(super) fn pass_on(
        &mut self,
        arrival: Arrival<'_>,
        service: ServiceTag,
        passed: &[ProcessId],
        reason: PassReason,
    ) -> Option<Verdict> {
        let Arrival { seg, env, known, now } = arrival;
        let fresh =
            |a: &&AgentEntry| a.process != self.me && !passed.contains(&a.process) && a.slots > 0;
        let rank = |a: &&AgentEntry| (a.near, seg.flow.score(a.process.0));
        let reached = |a: &&AgentEntry| a.near || reason != PassReason::Full;
        let open = known.agents.serving(service).filter(fresh);
        let next = open.filter(reached).max_by_key(rank)?;
        let record = FlowRecord {
            flow: seg.flow,
            target_seq: None,
            open: false,
            owner: next.process,
            data: next.data,
        };
        self.directory.register(record, now);
        let mut passed = passed.to_vec();
        passed.push(self.me);
        let late = matches!(env.errand, Errand::Place { late: true, .. });
        let envelope = Envelope { service, errand: Errand::Place { passed, late }, ..env.clone() };
        Some(Verdict::Pass { to: next.data, envelope, reason })
    }
}

/// Returns the service of a new flow: what the balancer said, unless newer settings say otherwise.
fn service_now(seg: &Segment, env: &Envelope, routes: &RouteTable) -> Option<ServiceTag> {
    if routes.revision <= env.revision {
        return Some(env.service);
    }
    let route = routes.get(seg.flow.route())?;
    if route.allows(env.service) { Some(env.service) } else { route.service(&seg.flow) }
}
