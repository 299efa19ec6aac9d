//! What an agent knows of its target: whether there is one, what it can take, and which run of it speaks.

use std::time::Duration;

use super::{
    ALL_FLOWS_SEEN, ENDED_AFTER, FlowGate, HEARTBEATS_MISSED, RunChange, TargetPresence,
    TargetStanding,
};
use crate::target_flows::TargetLoad;
use crate::target_runs::Predecessor;
use crate::{ColdLoad, FlowCoverage, ServiceTag, TargetPace, Timestamp};

impl FlowGate {
    /// Returns whether no target has spoken in a time in which a living one would have.
    #[must_use]
    pub fn has_no_target(&self, now: Timestamp) -> bool {
        let limit = self.heartbeat_every.mul_f64(HEARTBEATS_MISSED);
        match self.standing {
            TargetStanding::Gone => true,
            TargetStanding::Unknown => {
                self.presence == TargetPresence::Absent || now.since(self.started) >= limit
            }
            TargetStanding::Ready | TargetStanding::Leaving => false,
        }
    }

    /// Returns whether no flow can be here, as there is no target that could hold one.
    pub fn is_empty(&mut self, now: Timestamp) -> bool {
        if !self.has_no_target(now) {
            self.no_target_since = None;
            return false;
        }
        let since = *self.no_target_since.get_or_insert(now);
        self.standing == TargetStanding::Unknown || now.since(since) >= ENDED_AFTER
    }

    /// Returns whether the agent knows each flow that its target holds.
    #[must_use]
    pub fn coverage(&self, now: Timestamp) -> FlowCoverage {
        let complete =
            self.sees_all || now.since(self.started) >= ALL_FLOWS_SEEN || self.has_no_target(now);
        if complete { FlowCoverage::Complete } else { FlowCoverage::Partial }
    }

    /// Takes in what an attempt to connect to the target has shown; its own word counts for more.
    pub fn set_presence(&mut self, presence: TargetPresence) {
        if self.standing == TargetStanding::Unknown {
            self.presence = presence;
            self.sees_all = presence == TargetPresence::Absent;
        }
    }

    /// Returns what an attempt to connect to the target has shown.
    #[must_use]
    pub fn presence(&self) -> TargetPresence {
        self.presence
    }

    /// The target has spoken before the agent's start, whatever an attempt to connect has shown: it may hold
    /// flows that the agent has not seen.
    pub fn note_older_target(&mut self) {
        self.sees_all = false;
    }

    /// Sets what is known of the target.
    pub fn set_standing(&mut self, standing: TargetStanding, slots: u16) {
        self.standing = standing;
        self.slots = slots.max(1);
    }

    /// Sets how much longer the target is slow from its start.
    pub fn set_cold(&mut self, left: Duration, now: Timestamp) {
        self.cold.set_left(left, now);
    }

    /// Sets how many requests a second a target of the service carries that has only just started.
    pub fn set_cold_rate(&mut self, rate: Option<u32>) {
        self.cold.set_rate(rate);
    }

    /// Returns what is known of the target.
    #[must_use]
    pub fn standing(&self) -> TargetStanding {
        self.standing
    }

    /// Returns the service of the target.
    #[must_use]
    pub fn service(&self) -> ServiceTag {
        self.service
    }

    /// The agent itself ends: new flows go elsewhere from now on.
    pub fn stop(&mut self) {
        self.closed.stopping = true;
    }

    /// Sets whether the agent's data centre is to get no new flows.
    pub fn set_evacuated(&mut self, evacuated: bool, now: Timestamp) {
        let taken_back = self.closed.evacuated && !evacuated;
        self.closed.evacuated = evacuated;
        if taken_back {
            // A target that had nothing to do may have turned cold, and its last heartbeat may be older than that.
            self.cold.set_left(self.heartbeat_every.mul_f64(HEARTBEATS_MISSED), now);
        }
    }

    /// Another run of the target has spoken, of which nothing is known yet.
    ///
    /// Flows that were taken well before its `predecessor` last spoke have ended with that run. The new run may
    /// have taken the others before its first heartbeat; it gives back the packets of those that it does not
    /// hold, so each of them is to be asked about.
    pub fn new_target(
        &mut self,
        service: ServiceTag,
        predecessor: Predecessor,
        now: Timestamp,
    ) -> RunChange {
        self.service = service;
        self.sees_all = true;
        self.cold.restart();
        self.no_target_since = None;
        let ended_before = match predecessor {
            // The heartbeat may have waited while this process stood still.
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

    /// Notes a sign of life of the target.
    pub fn heard(&mut self) {
        self.flows.heard();
    }

    /// Returns whether the target answers nothing any more.
    #[must_use]
    pub fn target_silent(&self, now: Timestamp) -> bool {
        self.flows.silent(now)
    }

    /// Returns whether the target breaks off what it is given.
    #[must_use]
    pub fn target_failing(&self, now: Timestamp) -> bool {
        self.flows.failing(now)
    }

    /// Notes requests that the target has left without an answer for far too long.
    pub fn note_overdue(&mut self, now: Timestamp) {
        self.flows.note_overdue(self.slots, now);
    }

    /// Returns what the target has to do.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        self.flows.load(now)
    }

    /// Returns how fast the target works.
    pub fn pace(&mut self, now: Timestamp) -> TargetPace {
        let waiting = u32::try_from(self.opens.len()).unwrap_or(u32::MAX);
        let got = self.cold.got(now).saturating_add(waiting);
        let cold = self.cold.limit(now).map(|limit| ColdLoad { limit, got });
        TargetPace { work: self.flows.work(), cold }
    }

    /// Returns the slots of the target.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns whether the target is given new flows.
    #[must_use]
    pub fn takes_new(&self, now: Timestamp) -> bool {
        !self.closed.evacuated && self.can_serve(now)
    }

    /// Returns whether the target could take new flows, wherever it is.
    #[must_use]
    pub fn can_serve(&self, now: Timestamp) -> bool {
        !self.closed.stopping
            && !self.target_silent(now)
            && match self.standing {
                TargetStanding::Ready => true,
                TargetStanding::Unknown => self.presence != TargetPresence::Absent,
                TargetStanding::Leaving | TargetStanding::Gone => false,
            }
    }
}
