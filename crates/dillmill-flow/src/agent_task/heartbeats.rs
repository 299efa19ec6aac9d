//! Handles the target's heartbeats and leave calls, and derives from them and from its health what is
//! announced.

use std::time::Duration;

use dillmill_core::flow_gate::{RunChange, TargetPresence, TargetStanding};
use dillmill_core::target_flows::EndedFlow;
use dillmill_core::target_runs::{HeartbeatOutcome, Predecessor, STARTUP_HEARTBEATS};
use dillmill_core::{EventKind, FlowTuple, MemberStatus, ServiceTag, TargetRun, Timestamp};
use dillmill_node::TrafficKind;
use dillmill_platform::endpoint::CallOutcome;
use dillmill_platform::packet;
use dillmill_platform::{EndpointCall, Heartbeat, TargetCall, TargetState};

use super::{AgentTask, TargetHealth};

/// Time after a pause of this process in which calls that were sent during the pause are handled.
const QUEUED_CALLS_WINDOW: Duration = Duration::from_millis(200);

/// A refused heartbeat, kept in case the configuration names its service soon.
#[derive(Debug)]
pub(super) struct EarlyHeartbeat {
    run: TargetRun,
    heartbeat: Heartbeat,
    sent: Timestamp,
}

impl AgentTask {
    pub(super) fn apply_presence(&mut self, presence: TargetPresence) {
        let standing = self.gate.standing();
        self.gate.set_presence(presence);
        let what = format!("target at {} {presence:?}", self.target);
        let cause = format!("attempt to connect, standing {standing:?}");
        self.handle.journal.record(EventKind::Member, what, cause);
    }

    pub(super) async fn handle_call(&mut self, call: EndpointCall, now: Timestamp) {
        self.handle_endpoint_call(call, now).await;
        self.announce(now);
    }

    async fn handle_endpoint_call(&mut self, call: EndpointCall, now: Timestamp) {
        match call {
            EndpointCall::Ready(tx) => {
                let ready = self.gate.can_serve(now) && !self.routes.is_empty();
                let _ = tx.send(if ready {
                    CallOutcome::Acknowledged
                } else {
                    CallOutcome::Unavailable
                });
            }
            EndpointCall::Target(TargetCall::Heartbeat { run, heartbeat }, tx) => {
                if let Some(reason) = self.rejection_reason(&run, &heartbeat) {
                    self.reject_call(&format!("heartbeat of {run}: {reason}"), now);
                    let sent = self.earliest_sending(now);
                    self.early_heartbeat = Some(EarlyHeartbeat { run, heartbeat, sent });
                    // Fails only if the caller has disconnected.
                    let _ = tx.send(CallOutcome::Refused);
                    return;
                }
                let sent = self.earliest_sending(now);
                let change = self.apply_heartbeat(&run, &heartbeat, sent, now);
                let _ = tx.send(CallOutcome::Acknowledged);
                self.apply_run_change(change, now).await;
            }
            EndpointCall::Target(TargetCall::Leave { run }, tx) => {
                let announced = self.gate.standing() == TargetStanding::Leaving;
                if self.runs.may_end(&run, announced) {
                    let slots = self.gate.slots();
                    self.set_standing(
                        TargetStanding::Gone,
                        slots,
                        &run,
                        "leave call of the target",
                    );
                } else {
                    let what = format!("late leave call of target {run}");
                    self.handle.journal.record(EventKind::Member, what, "not the current run");
                }
                let _ = tx.send(CallOutcome::Acknowledged);
            }
            EndpointCall::Malformed { what } => self.reject_call(&what, now),
        }
    }

    async fn apply_run_change(&mut self, change: RunChange, now: Timestamp) {
        self.reset_ended_flows(&change.ended, now).await;
        self.query_target_flows(change.in_doubt, now).await;
    }

    /// Applies the last refused heartbeat if the configuration names its service by now. New flows of the
    /// service are refused until an agent announces a target, so the target's next heartbeat is too late.
    pub(super) async fn apply_early_heartbeat(&mut self, now: Timestamp) {
        let Some(EarlyHeartbeat { run, heartbeat, sent }) = self.early_heartbeat.take() else {
            return;
        };
        if self.runs.is_overdue(sent, now) {
            return;
        }
        if self.rejection_reason(&run, &heartbeat).is_some() {
            self.early_heartbeat = Some(EarlyHeartbeat { run, heartbeat, sent });
            return;
        }
        let what = format!("heartbeat {} of target {run}", heartbeat.number);
        let cause = format!("the configuration names service {}", heartbeat.service);
        self.handle.journal.record(EventKind::Member, what, cause);
        let change = self.apply_heartbeat(&run, &heartbeat, sent, now);
        self.apply_run_change(change, now).await;
        self.announce(now);
    }

    /// Returns why a heartbeat can't come from a valid target: a run of a target serves one service until
    /// it ends, and a new run must serve the service of this agent or one that the configuration names.
    fn rejection_reason(&self, run: &TargetRun, heartbeat: &Heartbeat) -> Option<String> {
        let service = &heartbeat.service;
        if self.runs.is_current(run) {
            let other = *service != self.service;
            return other.then(|| format!("service {service}, not {}", self.service));
        }
        let tag = ServiceTag::from(service);
        let known = *service == self.service || self.routes.names(tag);
        (!known && !self.routes.is_empty())
            .then(|| format!("service {service}, which the configuration does not name"))
    }

    fn reject_call(&mut self, reason: &str, now: Timestamp) {
        self.counters.heartbeats_refused.inc();
        self.log.heartbeat_refused(now, reason);
    }

    /// Sends a reset to the callers of flows that ended with their target.
    async fn reset_ended_flows(&mut self, ended: &[EndedFlow], now: Timestamp) {
        for EndedFlow { flow, caller_expects } in ended {
            self.log.flow(now, flow, "reset", || "its target has started again".to_owned());
            let reset = packet::reset(flow, *caller_expects).to_vec();
            let to = self.caller_address(flow);
            self.uplink.send_at_once(TrafficKind::Reset, reset, to).await;
        }
    }

    /// Queries the target for the flows that it holds by sending it a copy of a packet of each caller:
    /// the target returns the packets of flows that ended with an earlier run.
    async fn query_target_flows(&mut self, in_doubt: Vec<FlowTuple>, now: Timestamp) {
        for flow in in_doubt {
            let packet = self.caller_packets.get(&flow).map(<[u8]>::to_vec);
            self.log.flow(now, &flow, "in doubt", || {
                format!(
                    "the target has a new run, caller packet to query it with: {}",
                    packet.is_some()
                )
            });
            if let Some(packet) = packet {
                self.deliver(packet, 0).await;
            }
        }
    }

    /// Applies a heartbeat that was sent at `sent` or later; returns what happens to flows that an earlier run of the target accepted.
    fn apply_heartbeat(
        &mut self,
        run: &TargetRun,
        heartbeat: &Heartbeat,
        sent: Timestamp,
        now: Timestamp,
    ) -> RunChange {
        let change = match self.runs.heartbeat(run, heartbeat.number, now) {
            HeartbeatOutcome::Late => {
                let what = format!("late heartbeat {} of target {run}", heartbeat.number);
                self.handle.journal.record(EventKind::Member, what, "not the current run's next");
                return RunChange::default();
            }
            HeartbeatOutcome::Current => RunChange::default(),
            HeartbeatOutcome::NewRun(predecessor) => {
                self.start_run(run, heartbeat, predecessor, now)
            }
        };
        self.early_heartbeat = None;
        self.gate.heartbeat(sent);
        self.gate.set_cold(Duration::from_millis(heartbeat.cold_ms), now);
        let standing = match heartbeat.state {
            TargetState::Ready => TargetStanding::Ready,
            TargetState::Draining => TargetStanding::Leaving,
        };
        let cause = format!("heartbeat {}", heartbeat.number);
        self.set_standing(standing, heartbeat.slots, run, &cause);
        change
    }

    /// Returns the earliest time at which a call that is handled at `now` can have been sent: calls are
    /// queued while this process is paused.
    fn earliest_sending(&self, now: Timestamp) -> Timestamp {
        let pause = self.last_pause.filter(|pause| now.since(pause.until) < QUEUED_CALLS_WINDOW);
        pause.map_or(now, |pause| pause.since)
    }

    /// Applies the first heartbeat of a new run of the target.
    fn start_run(
        &mut self,
        run: &TargetRun,
        heartbeat: &Heartbeat,
        predecessor: Predecessor,
        now: Timestamp,
    ) -> RunChange {
        let what = format!("target {run} of {}", heartbeat.service);
        let cause = format!("heartbeat {}, before it: {predecessor:?}", heartbeat.number);
        self.handle.journal.record(EventKind::Member, what, cause);
        let other_service = heartbeat.service != self.service;
        if other_service {
            let what = format!("service {} -> {}", self.service, heartbeat.service);
            self.handle.journal.record(EventKind::Member, what, format!("heartbeat of {run}"));
            self.service = heartbeat.service.clone();
            self.announcement.service = self.service.clone();
        }
        // A target that sent its first heartbeat to this agent has started after the agent, or together
        // with it.
        let first = predecessor == Predecessor::None;
        let is_new = heartbeat.number <= 1
            || heartbeat.number <= STARTUP_HEARTBEATS && run.started_with(self.handle.started);
        if !first || other_service || is_new {
            return self.gate.new_target(ServiceTag::from(&self.service), predecessor, now);
        }
        if heartbeat.number > STARTUP_HEARTBEATS {
            self.gate.note_older_target();
        }
        RunChange::default()
    }

    /// Logs and announces when the target goes silent or breaks off requests, and when it serves again.
    pub(super) fn update_target_health(&mut self, now: Timestamp) {
        let health = self.assess_health(now);
        if health == self.health {
            return;
        }
        let standing = self.gate.standing();
        let what = format!("target {:?} -> {health:?}", self.health);
        self.health = health;
        self.handle.journal.record(EventKind::Member, what, format!("standing {standing:?}"));
        if health != TargetHealth::Sound {
            self.announcement.status = MemberStatus::Leaving;
        } else if self.gate.can_serve(now) && standing == TargetStanding::Ready {
            self.announcement.status = MemberStatus::Serving;
        }
    }

    /// Returns the observed health of the target. A failing target is taken out of service only while
    /// more than half of the service's other agents serve: if all fail, the fault lies elsewhere, and
    /// some target must still be tried.
    fn assess_health(&self, now: Timestamp) -> TargetHealth {
        if self.gate.target_silent(now) {
            return TargetHealth::Silent;
        }
        let reported =
            matches!(self.gate.standing(), TargetStanding::Ready | TargetStanding::Leaving);
        if reported && !self.gate.is_run_confirmed(now) {
            return TargetHealth::Unconfirmed;
        }
        let service = self.gate.service();
        let siblings =
            || self.agents.iter().filter(|a| a.service == service && a.data != self.gate.data());
        let serving =
            || siblings().filter(|a| a.status == MemberStatus::Serving && !a.evacuated).count();
        if self.gate.target_failing(now) && serving() * 2 > siblings().count() {
            return TargetHealth::Failing;
        }
        TargetHealth::Sound
    }

    /// Announces when there is no target, so that no process searches for flows here.
    pub(super) fn detect_absent_target(&mut self, now: Timestamp) {
        if self.announcement.status != MemberStatus::Empty && self.gate.is_empty(now) {
            self.announcement.slots = 0;
            self.announcement.status = MemberStatus::Empty;
        }
    }

    fn set_standing(&mut self, standing: TargetStanding, slots: u16, run: &TargetRun, cause: &str) {
        let before = self.gate.standing();
        self.gate.set_standing(standing, slots);
        let was_empty = self.announcement.status == MemberStatus::Empty;
        if standing != TargetStanding::Gone {
            self.announcement.slots = slots;
        }
        if before == standing && !was_empty {
            return;
        }
        let what = format!("target {run} {before:?} -> {standing:?}");
        self.handle.journal.record(EventKind::Member, what, cause.to_owned());
        match standing {
            TargetStanding::Ready if self.stopping.is_none() => {
                self.announcement.status = MemberStatus::Serving;
            }
            TargetStanding::Gone if was_empty => {}
            TargetStanding::Leaving | TargetStanding::Gone => {
                self.announcement.status = MemberStatus::Leaving;
            }
            TargetStanding::Ready | TargetStanding::Unknown => {}
        }
    }
}
