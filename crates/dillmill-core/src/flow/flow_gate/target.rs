//! State of an agent's target: whether there is one, what it can take, and which run of it is
//! current.

use std::time::Duration;

use super::{
    FlowGate, GONE_GRACE_PERIOD, MISSED_HEARTBEATS, RunChange, TargetPresence, TargetStanding,
};
use crate::target_load::TargetLoad;
use crate::target_runs::Predecessor;
use crate::{ColdLoad, FlowCoverage, ServiceTag, TargetPace, Timestamp};

impl FlowGate {
    /// Returns whether there is no target: it has announced its end, the connection to it was
    /// refused, or it has sent no heartbeat in a time in which a live one would have.
    #[must_use]
    pub fn has_no_target(&self, now: Timestamp) -> bool {
        let limit = self.heartbeat_every.mul_f64(MISSED_HEARTBEATS);
        match self.standing {
            TargetStanding::Gone => true,
            TargetStanding::Unknown => {
                self.presence == TargetPresence::Absent || now.since(self.started) >= limit
            }
            TargetStanding::Ready | TargetStanding::Leaving => false,
        }
    }

    /// Returns whether the agent can hold no flow because there is no target that could.
    pub fn is_empty(&mut self, now: Timestamp) -> bool {
        if !self.has_no_target(now) {
            self.no_target_since = None;
            return false;
        }
        let since = *self.no_target_since.get_or_insert(now);
        self.standing == TargetStanding::Unknown || now.since(since) >= GONE_GRACE_PERIOD
    }

    /// Returns whether the agent knows each flow that its target holds.
    #[must_use]
    pub fn coverage(&self, now: Timestamp) -> FlowCoverage {
        let complete = self.full_coverage
            || now.since(self.started) >= self.lifetimes.full_coverage()
            || self.has_no_target(now);
        if complete { FlowCoverage::Complete } else { FlowCoverage::Partial }
    }

    /// Sets the result of an attempt to connect to the target. Heartbeats of the target override
    /// it.
    pub fn set_presence(&mut self, presence: TargetPresence) {
        if self.standing == TargetStanding::Unknown {
            self.presence = presence;
            self.full_coverage = presence == TargetPresence::Absent;
        }
    }

    /// Returns the result of the attempt to connect to the target.
    #[must_use]
    pub fn presence(&self) -> TargetPresence {
        self.presence
    }

    /// Notes that the target has sent heartbeats before the agent started, whatever an attempt to
    /// connect has shown. It may hold flows that the agent has not seen.
    pub fn note_older_target(&mut self) {
        self.full_coverage = false;
    }

    /// Sets the state and the number of slots that the target has reported.
    pub fn set_standing(&mut self, standing: TargetStanding, slots: u16) {
        self.standing = standing;
        self.slots = slots.max(1);
    }

    /// Sets how much longer the target is slow because it has just started.
    pub fn set_cold(&mut self, left: Duration, now: Timestamp) {
        self.cold.set_remaining(left, now);
    }

    /// Sets how many requests a second a target of the service can take just after its start.
    pub fn set_cold_rate(&mut self, rate: Option<u32>) {
        self.cold.set_rate(rate);
    }

    /// Returns the state that the target has reported.
    #[must_use]
    pub fn standing(&self) -> TargetStanding {
        self.standing
    }

    /// Returns the service of the target.
    #[must_use]
    pub fn service(&self) -> ServiceTag {
        self.service
    }

    /// Stops the agent: new flows go elsewhere from now on.
    pub fn stop(&mut self) {
        self.drain.stopping = true;
    }

    /// Sets whether the agent's data centre is evacuated, so that it gets no new flows.
    pub fn set_evacuated(&mut self, evacuated: bool, now: Timestamp) {
        let taken_back = self.drain.evacuated && !evacuated;
        self.drain.evacuated = evacuated;
        if taken_back {
            // An idle target may have turned cold since its last heartbeat, so it is treated as
            // cold until new heartbeats must have come.
            self.cold.set_remaining(self.heartbeat_every.mul_f64(MISSED_HEARTBEATS), now);
        }
    }

    /// Handles the first heartbeat of another run of the target.
    ///
    /// Flows that were taken well before the `predecessor` last sent a heartbeat have ended with
    /// that run. The new run may have taken the others before its first heartbeat. It returns
    /// packets of flows that it does not hold, so the target must be asked about each of them.
    pub fn new_target(
        &mut self,
        service: ServiceTag,
        predecessor: Predecessor,
        now: Timestamp,
    ) -> RunChange {
        self.service = service;
        self.full_coverage = true;
        self.run.begin(now);
        self.cold.restart();
        self.no_target_since = None;
        let ended_before = match predecessor {
            // The heartbeat may have been queued while this process was paused.
            Predecessor::Ended { lived } => Some(lived - self.heartbeat_every),
            Predecessor::None | Predecessor::Unsure => None,
        };
        let ended = self.flows.new_run(ended_before);
        for flow in &ended {
            self.opens.remove(&flow.flow);
            self.not_held.insert(flow.flow, (), now);
        }
        RunChange { ended, in_doubt: self.flows.open().map(|(flow, _)| flow).collect() }
    }

    /// Notes a heartbeat of the current run of the target, which was sent at `sent` or later.
    pub fn heartbeat(&mut self, sent: Timestamp) {
        self.flows.heard();
        self.run.confirm(sent);
    }

    /// Notes that the agent was paused from `since` on. Answers that the target sent during the pause may
    /// not be handled yet, so only silence that began earlier counts.
    pub fn resume_after_pause(&mut self, since: Timestamp) {
        if !self.target_silent(since) {
            self.flows.heard();
        }
    }

    /// Returns whether the run of the target that the agent knows still holds the target's address.
    #[must_use]
    pub fn is_run_confirmed(&self, now: Timestamp) -> bool {
        self.run.is_valid(now)
    }

    /// Returns whether the target no longer answers anything.
    #[must_use]
    pub fn target_silent(&self, now: Timestamp) -> bool {
        self.flows.silent(now)
    }

    /// Returns whether the target aborts the requests that it is given.
    #[must_use]
    pub fn target_failing(&self, now: Timestamp) -> bool {
        self.flows.failing(now)
    }

    /// Notes requests that the target has left unanswered far longer than usual.
    pub fn note_overdue(&mut self, now: Timestamp) {
        self.flows.note_overdue(self.slots, now);
    }

    /// Returns the load of the target.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        self.flows.load(now)
    }

    /// Returns the target's time for a request and, while it is cold, its limit and present load.
    pub fn pace(&mut self, now: Timestamp) -> TargetPace {
        let waiting = u32::try_from(self.opens.len()).unwrap_or(u32::MAX);
        let received = self.cold.received(now).saturating_add(waiting);
        let cold = self.cold.limit(now).map(|limit| ColdLoad { limit, received });
        TargetPace { work: self.flows.measured_work().unwrap_or_default(), cold }
    }

    /// Returns the load that the open flows are expected to bring, in thousandths of a slot.
    pub fn flow_demand(&mut self, now: Timestamp) -> u32 {
        self.flows.flow_demand(now)
    }

    /// Returns the number of slots of the target.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns whether the target is given new flows.
    #[must_use]
    pub fn takes_new(&self, now: Timestamp) -> bool {
        !self.drain.evacuated && self.can_serve(now)
    }

    /// Returns whether the target could take new flows, whether or not its data centre is
    /// evacuated.
    #[must_use]
    pub fn can_serve(&self, now: Timestamp) -> bool {
        !self.drain.stopping
            && !self.target_silent(now)
            && self.is_run_confirmed(now)
            && match self.standing {
                TargetStanding::Ready => true,
                TargetStanding::Unknown => self.presence != TargetPresence::Absent,
                TargetStanding::Leaving | TargetStanding::Gone => false,
            }
    }
}
