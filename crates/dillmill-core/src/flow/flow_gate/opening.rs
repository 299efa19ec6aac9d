//! Decides on opening packets: deliver to the target, queue, pass to another agent or refuse.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::sharing::shares_load;
use super::{Arrival, FlowGate, PassReason, RefuseReason, Verdict};
use crate::agent_table::AgentEntry;
use crate::envelope::{Envelope, PacketPurpose};
use crate::flow_directory::FlowRecord;
use crate::open_queue::{WaitTerms, wait_limit};
use crate::route_table::RouteTable;
use crate::segment::Segment;
use crate::{FlowTuple, Priority, ProcessId, ServiceTag, Timestamp, attempt_timeout};

/// Number of agents that may pass an opening packet on; the next one must decide.
pub(super) const MAX_PLACE_HOPS: usize = 3;
/// The same limit while the targets are cold. If most targets are warm, one or two steps find one;
/// if all are cold, each step is in vain.
const MAX_COLD_HOPS: usize = 2;
/// Time that a request may wait on a route without a latency objective, in multiples of the time that
/// the target takes for one request.
const DEFAULT_WAIT_ROUNDS: u32 = 3;

impl FlowGate {
    /// Decides on a packet that opens a flow.
    pub(super) fn place(
        &mut self,
        arrival: Arrival<'_>,
        copies: u32,
        passed: &[ProcessId],
    ) -> Verdict {
        if let Some(verdict) = self.redirect_or_refuse(arrival, passed) {
            return verdict;
        }
        if let Some(verdict) = self.follow_passed(arrival, copies, passed) {
            return verdict;
        }
        let Arrival { seg, env, now, .. } = arrival;
        if copies > 0 && self.flows.knows(&seg.flow) {
            // The target has the flow already and answers the copy without another request. A second
            // target would reserve a slot in vain.
            return self.deliver_open(seg, env, copies, passed, now);
        }
        self.place_busy(arrival, copies, passed)
            .unwrap_or_else(|| self.deliver_open(seg, env, copies, passed, now))
    }

    /// Passes an opening packet on or queues it if the target is full or cold, or if packets that wait
    /// here are urgent; returns `None` if the target gets the packet now.
    fn place_busy(
        &mut self,
        arrival: Arrival<'_>,
        copies: u32,
        passed: &[ProcessId],
    ) -> Option<Verdict> {
        let Arrival { env, now, .. } = arrival;
        let terms = self.wait_terms(arrival, copies);
        let requests = self.load(now).requests;
        let cold = !self.cold.room(now);
        let crowded = self.opens.any_urgent(now);
        if requests < u32::from(self.slots) && !crowded && !cold {
            return None;
        }
        let late = cold || crowded || self.would_be_late(&terms, requests, now);
        let wait = late || self.must_queue(&terms, requests);
        let reason = match (cold, late) {
            (true, _) => PassReason::Cold,
            (false, true) => PassReason::Crowded,
            (false, false) => PassReason::Full,
        };
        if let Some(verdict) = self.pass_from_busy(arrival, passed, reason) {
            return Some(verdict);
        }
        wait.then(|| {
            let purpose = PacketPurpose::Place { passed: Vec::new() };
            let envelope = Envelope { purpose, ..env.clone() };
            Verdict::Wait { terms, envelope, tell: balancer_to_notify(env, passed) }
        })
    }

    /// Passes an opening packet to a sibling, by the siblings' loads if load sharing is on and the
    /// target is not cold.
    ///
    /// Traffic between data centres costs, so a request that can wait here within the latency
    /// objective ([`PassReason::Full`]) is only sent to another data centre by its load.
    fn pass_from_busy(
        &mut self,
        arrival: Arrival<'_>,
        passed: &[ProcessId],
        reason: PassReason,
    ) -> Option<Verdict> {
        let cold = reason == PassReason::Cold;
        let hops = if cold { MAX_COLD_HOPS } else { MAX_PLACE_HOPS };
        let by_load =
            self.shares_since_start(arrival.now) && shares_load(arrival.context, &arrival.seg.flow);
        if !cold && by_load {
            self.pass_by_load(arrival, passed, reason)
        } else if passed.len() < hops {
            self.pass_on(arrival, arrival.env.service, passed, reason)
        } else {
            None
        }
    }

    /// Returns whether a packet would be answered late here, at a full target with `requests`.
    pub(super) fn would_be_late(&self, terms: &WaitTerms, requests: u32, now: Timestamp) -> bool {
        // Packets that wait for their turn would be queued at the target otherwise.
        let ordered = terms.policy.priority_order;
        let waiting = if ordered { u32::try_from(self.waiting()).unwrap_or(u32::MAX) } else { 0 };
        !terms.in_time(self.work_of(requests.saturating_add(waiting).saturating_add(1)), now)
    }

    /// Returns whether a packet must wait for its turn at a full target with `requests`, although its
    /// answer can be in time.
    pub(super) fn must_queue(&self, terms: &WaitTerms, requests: u32) -> bool {
        terms.policy.priority_order && !self.may_pass_queue(requests)
    }

    /// Decides on an opening packet whose turn in the queue has come.
    pub(super) fn place_waiting(&mut self, arrival: Arrival<'_>, copies: u32) -> Verdict {
        let Arrival { seg, env, now, .. } = arrival;
        self.redirect_or_refuse(arrival, &[])
            .unwrap_or_else(|| self.deliver_open(seg, env, copies, &[], now))
    }

    /// Decides on an opening packet that the target can't take, whatever its load: the route or
    /// service does not match, or the target takes no new flows or fails.
    pub(super) fn redirect_or_refuse(
        &mut self,
        arrival: Arrival<'_>,
        passed: &[ProcessId],
    ) -> Option<Verdict> {
        let Arrival { seg, env, context, now } = arrival;
        let Some(service) = current_service(seg, env, context.routes) else {
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
                if self.drain.evacuated { PassReason::Evacuated } else { PassReason::Leaving };
            let passed = self.pass_on(arrival, service, passed, reason);
            return Some(passed.unwrap_or(refused));
        }
        if self.target_failing(now) && passed.len() < MAX_PLACE_HOPS {
            return self.pass_on(arrival, service, passed, PassReason::Failing);
        }
        None
    }

    /// Delivers an opening packet to the target.
    pub(super) fn deliver_open(
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
        Verdict::Deliver {
            mark: self.begin_trial(env.clone()),
            tell: balancer_to_notify(env, passed),
        }
    }

    pub(super) fn wait_terms(&self, arrival: Arrival<'_>, copies: u32) -> WaitTerms {
        let route = arrival.context.routes.get(arrival.seg.flow.route());
        let (timeout, repeatable) = route.map_or((None, false), |r| (r.timeout, r.repeatable));
        let attempt_timeout = attempt_timeout::assumed(timeout, repeatable);
        let overload = arrival.context.routes.overload(arrival.seg.flow.route(), self.service);
        let aim = route.and_then(|route| route.latency_aim);
        let limit = aim.map_or(self.flows.work() * DEFAULT_WAIT_ROUNDS, wait_limit);
        let terms = WaitTerms::new(copies, limit, arrival.now)
            .attempt_timeout(attempt_timeout)
            .timeout(timeout.unwrap_or(attempt_timeout))
            .priority(route.map_or(Priority::LOWEST, |r| r.priority))
            .policy(overload);
        match aim {
            Some(aim) if self.flows.measured_work().is_some() => terms.objective(aim),
            _ => terms,
        }
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
        let tried = [passed, &[self.me]].concat();
        Verdict::Refuse { reason, origin: env.origin, tried }
    }

    /// Passes an opening packet to an agent that has not had it yet, preferring agents in the same
    /// data centre, and records which one: the balancer sends the flow's next packets to this agent
    /// until it is told who the owner is.
    pub(super) fn pass_on(
        &mut self,
        arrival: Arrival<'_>,
        service: ServiceTag,
        passed: &[ProcessId],
        reason: PassReason,
    ) -> Option<Verdict> {
        let Arrival { seg, context, .. } = arrival;
        let fresh =
            |a: &&AgentEntry| a.process != self.me && !passed.contains(&a.process) && a.slots > 0;
        // Mostly all targets of a data centre turn cold together, so agents in the same data centre
        // are not preferred.
        let anywhere = reason == PassReason::Cold;
        let rank = |a: &&AgentEntry| (a.near || anywhere, seg.flow.score(a.process.0));
        let reached = |a: &&AgentEntry| a.near || reason != PassReason::Full;
        let open = context.agents.taking_new(service).filter(fresh);
        let next = open.filter(reached).max_by_key(rank)?;
        Some(self.pass_to(next, arrival, service, passed, reason))
    }

    /// Passes an opening packet to the agent `next`.
    pub(super) fn pass_to(
        &mut self,
        next: &AgentEntry,
        arrival: Arrival<'_>,
        service: ServiceTag,
        passed: &[ProcessId],
        reason: PassReason,
    ) -> Verdict {
        let Arrival { seg, env, now, .. } = arrival;
        self.record_passed(seg.flow, next, now);
        let passed = [passed, &[self.me]].concat();
        let envelope =
            Envelope { service, purpose: PacketPurpose::Place { passed }, ..env.clone() };
        Verdict::Pass { to: next.data, envelope, reason }
    }

    /// Records to which agent an opening packet goes.
    pub(super) fn record_passed(&mut self, flow: FlowTuple, next: &AgentEntry, now: Timestamp) {
        let (owner, data) = (next.process, next.data);
        let record = FlowRecord { flow, target_seq: None, open: false, owner, data };
        self.directory.register(record, now);
    }
}

/// Returns the balancer that must be told where a flow is. A balancer knows only the agent that it
/// chose itself.
pub(super) fn balancer_to_notify(env: &Envelope, passed: &[ProcessId]) -> Option<SocketAddrV4> {
    (!passed.is_empty()).then_some(env.origin)
}

/// Returns the service of a new flow: the one that the balancer chose, unless this agent has newer
/// settings that say otherwise.
fn current_service(seg: &Segment, env: &Envelope, routes: &RouteTable) -> Option<ServiceTag> {
    if routes.revision <= env.revision {
        return Some(env.service);
    }
    let route = routes.get(seg.flow.route())?;
    if route.allows(env.service) { Some(env.service) } else { route.service(&seg.flow) }
}
