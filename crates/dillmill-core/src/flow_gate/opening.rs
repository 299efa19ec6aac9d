//! What an agent does with an opening packet.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Arrival, FlowGate, PassReason, RefuseReason, Verdict};
use crate::agent_table::AgentEntry;
use crate::envelope::{Envelope, PacketPurpose};
use crate::flow_directory::FlowRecord;
use crate::open_queue::{WaitTerms, wait_limit};
use crate::route_table::RouteTable;
use crate::segment::Segment;
use crate::{ProcessId, ServiceTag, Timestamp, patience};

/// Agents that may pass an opening packet on before the last one must decide.
pub(super) const PLACE_HOPS: usize = 3;
/// The same while the targets are cold: a step or two find a warm one if most are, and if all are cold each step is in
/// vain.
const COLD_HOPS: usize = 2;
/// Work ahead of a new request that a route without an aim allows, in rounds.
const ROUNDS: u32 = 3;

impl FlowGate {
    /// Decides on a packet that opens a flow.
    pub(super) fn place(
        &mut self,
        arrival: Arrival<'_>,
        copies: u32,
        passed: &[ProcessId],
    ) -> Verdict {
        if let Some(verdict) = self.place_elsewhere(arrival, passed) {
            return verdict;
        }
        let Arrival { seg, env, now, .. } = arrival;
        let terms = self.wait_terms(arrival, copies);
        let requests = self.load(now).requests;
        let cold = !self.cold.room(now);
        let crowded = self.opens.any_urgent(now);
        if requests >= u32::from(self.slots) || crowded || cold {
            let wait = cold || crowded || !terms.in_time(self.work_of(requests + 1), now);
            let reason = match (cold, wait) {
                (true, _) => PassReason::Cold,
                (false, true) => PassReason::Crowded,
                (false, false) => PassReason::Full,
            };
            // Bytes between data centres cost, so a wait that the aim allows stays in this one.
            let hops = if cold { COLD_HOPS } else { PLACE_HOPS };
            if passed.len() < hops
                && let Some(verdict) = self.pass_on(arrival, env.service, passed, reason)
            {
                return verdict;
            }
            if wait {
                let purpose = PacketPurpose::Place { passed: Vec::new() };
                let envelope = Envelope { purpose, ..env.clone() };
                return Verdict::Wait { terms, envelope, tell: tell(env, passed) };
            }
        }
        self.give(seg, env, copies, passed, now)
    }

    /// Decides on an opening packet that has waited here and has its turn.
    pub(super) fn place_waiting(&mut self, arrival: Arrival<'_>, copies: u32) -> Verdict {
        let Arrival { seg, env, now, .. } = arrival;
        self.place_elsewhere(arrival, &[]).unwrap_or_else(|| self.give(seg, env, copies, &[], now))
    }

    /// Decides on an opening packet that the target can't take, however little it has to do.
    fn place_elsewhere(&mut self, arrival: Arrival<'_>, passed: &[ProcessId]) -> Option<Verdict> {
        let Arrival { seg, env, context, now } = arrival;
        let Some(service) = service_now(seg, env, context.routes) else {
            return Some(self.refuse(RefuseReason::NoRoute, env, passed));
        };
        if service != self.service {
            let reason = PassReason::OtherService;
            let passed = self.pass_on(arrival, service, passed, reason);
            return Some(passed.unwrap_or(Verdict::Drop));
        }
        if !self.takes_new(now) {
            let refused = self.refuse(RefuseReason::NoTarget, env, passed);
            let reason =
                if self.closed.evacuated { PassReason::Evacuated } else { PassReason::Leaving };
            let passed = self.pass_on(arrival, service, passed, reason);
            return Some(passed.unwrap_or(refused));
        }
        if self.target_failing(now) && passed.len() < PLACE_HOPS {
            return self.pass_on(arrival, service, passed, PassReason::Failing);
        }
        None
    }

    /// Has the target take an opening packet.
    fn give(
        &mut self,
        seg: &Segment,
        env: &Envelope,
        copies: u32,
        passed: &[ProcessId],
        now: Timestamp,
    ) -> Verdict {
        self.not_held.remove(&seg.flow);
        if self.flows.opening(seg.flow, copies, now) {
            self.cold.note(now);
        }
        Verdict::Deliver { mark: self.begin_trial(env.clone()), tell: tell(env, passed) }
    }

    pub(super) fn wait_terms(&self, arrival: Arrival<'_>, copies: u32) -> WaitTerms {
        let route = arrival.context.routes.get(arrival.seg.flow.route());
        let (timeout, repeatable) = route.map_or((None, false), |r| (r.timeout, r.repeatable));
        let patience = patience::assumed(timeout, repeatable);
        WaitTerms::new(copies, self.time_limit(arrival), arrival.now)
            .patience(patience)
            .timeout(timeout.unwrap_or(patience))
    }

    /// Returns the time that a request may wait for its answer to come within the aim of its route.
    fn time_limit(&self, arrival: Arrival<'_>) -> Duration {
        let route = arrival.context.routes.get(arrival.seg.flow.route());
        let aim = route.and_then(|route| route.latency_aim);
        aim.map_or(self.flows.work() * ROUNDS, wait_limit)
    }

    pub(super) fn work_of(&self, requests: u32) -> Duration {
        self.flows.work() * requests / u32::from(self.slots)
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
        let Arrival { seg, env, context, now } = arrival;
        let fresh =
            |a: &&AgentEntry| a.process != self.me && !passed.contains(&a.process) && a.slots > 0;
        // What has turned cold is mostly a whole data centre.
        let anywhere = reason == PassReason::Cold;
        let rank = |a: &&AgentEntry| (a.near || anywhere, seg.flow.score(a.process.0));
        let reached = |a: &&AgentEntry| a.near || reason != PassReason::Full;
        let open = context.agents.taking_new(service).filter(fresh);
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
        let envelope =
            Envelope { service, purpose: PacketPurpose::Place { passed }, ..env.clone() };
        Some(Verdict::Pass { to: next.data, envelope, reason })
    }
}

/// Returns the balancer that has to hear where a flow is: it knows only the agent that it chose itself.
fn tell(env: &Envelope, passed: &[ProcessId]) -> Option<SocketAddrV4> {
    (!passed.is_empty()).then_some(env.origin)
}

/// Returns the service of a new flow: what the balancer said, unless newer settings say otherwise.
fn service_now(seg: &Segment, env: &Envelope, routes: &RouteTable) -> Option<ServiceTag> {
    if routes.revision <= env.revision {
        return Some(env.service);
    }
    let route = routes.get(seg.flow.route())?;
    if route.allows(env.service) { Some(env.service) } else { route.service(&seg.flow) }
}
