//! Chooses the agent to which a balancer gives a new flow.
//!
//! Agents report their load to the balancers that send them new flows. So if a new flow brings no
//! report in time, the agent does not answer. This shows sooner than with any probe, and costs no
//! extra traffic.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::target_cost::{Comparison, differs_in_speed, is_full, target_cost};
use crate::agent_table::{AgentEntry, AgentTable};
use crate::flow_kinds::{FlowKind, FlowKinds};
use crate::flow_volume::FlowVolume;
use crate::placement::LoadReport;
use crate::segment::Segment;
use crate::service_time::INITIAL_SERVICE_TIME;
use crate::{FlowTuple, ProcessId, ServiceTag, Timestamp};

/// Time without a report after which an agent is silent and gets new flows only when the others are
/// busy. A report is due within a tick of the agent (100 ms) and a round trip; the rest allows for
/// VMs with little CPU time.
const REPORT_TIMEOUT: Duration = Duration::from_millis(230);
/// Interval of an agent's reports to one balancer.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the probes to an agent that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Load in use, in thousandths of the slots, that a flow must avoid to be sent to another data
/// centre: one and three quarters of five slots. Traffic between data centres costs, but a wait costs
/// more.
const FAR_PENALTY: u32 = 350;
/// Bytes that callers send in a flow to another data centre that weigh as much as a thousandth of
/// the slots. An upload of 40 kB stays in its data centre unless all targets there are a full round
/// of requests behind.
const FAR_BYTES_PER_UNIT: u64 = 40;
/// Maximum penalty for the bytes of a flow, in thousandths of the slots.
const FAR_BYTES_PENALTY_MAX: u64 = 3000;
/// Load added to an agent that does not answer, in thousandths of its slots. It is limited because
/// most agents report late after a restart of all processes, and all flows would go to the one that
/// does not.
const SILENT_PENALTY: u32 = 1500;
/// Divisor of the typical time that gives the step by which each report moves it up or down. At
/// equilibrium, half of the reports are above the typical time and half below.
const TYPICAL_STEP_DIVISOR: u32 = 50;

#[derive(Debug, Clone, Copy)]
struct Load {
    report: LoadReport,
    /// New flows sent since the report.
    sent: u32,
    /// When the first flow or probe without an answer was sent.
    unanswered: Option<Timestamp>,
    last_probe: Timestamp,
    control: SocketAddrV4,
    service: ServiceTag,
    /// Whether the data centre was evacuated in the last table of agents.
    evacuated: bool,
}

impl Load {
    /// Returns the load assumed of an agent that has not reported.
    fn idle(agent: &AgentEntry) -> Self {
        Self {
            report: LoadReport::idle(agent.process, agent.slots),
            sent: 0,
            unanswered: None,
            last_probe: Timestamp::default(),
            control: agent.control,
            service: agent.service,
            evacuated: agent.evacuated,
        }
    }
}

/// Load of the agents as a balancer knows it.
#[derive(Debug, Default)]
pub struct FlowPlacement {
    loads: HashMap<ProcessId, Load>,
    volumes: HashMap<ServiceTag, FlowVolume>,
    kinds: FlowKinds,
    /// Time within which half of the targets of each service complete a request: a running estimate
    /// of the median.
    typical_work: HashMap<ServiceTag, Duration>,
}

impl FlowPlacement {
    /// Stores an agent's load report.
    pub fn report(&mut self, report: LoadReport) {
        if let Some(load) = self.loads.get_mut(&report.process) {
            load.report = report;
            load.sent = 0;
            load.unanswered = None;
            let typical = self.typical_work.entry(load.service).or_insert(INITIAL_SERVICE_TIME);
            match report.pace.work {
                Duration::ZERO => {}
                work if work > *typical => *typical += *typical / TYPICAL_STEP_DIVISOR,
                _ => *typical -= *typical / TYPICAL_STEP_DIVISOR,
            }
        }
    }

    /// Counts bytes that a caller sends in a flow of `service`.
    pub fn count_bytes(&mut self, service: ServiceTag, bytes: u64) {
        self.volumes.entry(service).or_default().count_bytes(bytes);
    }

    /// Observes a caller's packet of an open flow, to learn which routes have long-lived flows.
    pub fn note_packet(&mut self, seg: &Segment, now: Timestamp) {
        self.kinds.note(seg, now);
    }

    /// Returns how much load, in thousandths of the slots, a flow of `service` must avoid to be
    /// sent to another data centre.
    fn far_penalty(&self, service: ServiceTag) -> u32 {
        let bytes = self.volumes.get(&service).map_or(0, FlowVolume::per_flow);
        let weight = (bytes / FAR_BYTES_PER_UNIT).min(FAR_BYTES_PENALTY_MAX);
        FAR_PENALTY + u32::try_from(weight).unwrap_or(0)
    }

    /// Applies a new table of agents.
    pub fn retain(&mut self, agents: &AgentTable) {
        self.loads.retain(|process, _| agents.get(*process).is_some());
        for agent in agents.iter() {
            let idle = Load::idle(agent);
            let load = self.loads.entry(agent.process).or_insert(idle);
            // The agent's last report says that it takes no flows, and it reports only to balancers
            // that send it flows.
            if load.evacuated && !agent.evacuated {
                *load = idle;
            }
            load.evacuated = agent.evacuated;
        }
    }

    /// Restarts the time-outs of unanswered flows and probes at `now`, after the balancer itself
    /// was paused.
    pub fn reset_silence(&mut self, now: Timestamp) {
        for load in self.loads.values_mut() {
            load.unanswered = load.unanswered.map(|_| now);
        }
    }

    /// Returns whether an agent has left new flows or probes unanswered for too long.
    #[must_use]
    pub fn silent(&self, process: ProcessId, now: Timestamp) -> bool {
        self.loads
            .get(&process)
            .and_then(|load| load.unanswered)
            .is_some_and(|since| now.since(since) >= REPORT_TIMEOUT)
    }

    /// Returns whether any agent answers, as far as the balancer knows.
    #[must_use]
    pub fn reaches_any(&self, now: Timestamp) -> bool {
        self.loads.keys().any(|process| !self.silent(*process, now))
    }

    /// Returns the control addresses of silent agents that are due for a probe, and counts them as
    /// probed.
    pub fn take_probes_due(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for load in self.loads.values_mut() {
            let silent = load.unanswered.is_some_and(|since| now.since(since) >= REPORT_TIMEOUT);
            if silent && now.since(load.last_probe) >= PROBE_INTERVAL {
                load.last_probe = now;
                due.push(load.control);
            }
        }
        due
    }

    /// Chooses the agent for a new flow of `service`; those in `except` are chosen only if there is no
    /// other.
    pub fn place<'a>(
        &mut self,
        flow: &FlowTuple,
        service: ServiceTag,
        agents: &'a AgentTable,
        except: &[ProcessId],
        now: Timestamp,
    ) -> Option<&'a AgentEntry> {
        let open = || agents.taking_new(service).filter(|a| a.slots > 0);
        let full = |a: &AgentEntry| {
            self.loads.get(&a.process).is_some_and(|load| is_full(&load.report, load.sent))
        };
        let typical_work = self.typical_work_of(service);
        let uneven = |a: &AgentEntry| {
            self.loads.get(&a.process).is_some_and(|l| differs_in_speed(&l.report, typical_work))
        };
        // A long-lived flow can't be moved later, so it goes by speed before any target is full.
        let comparison = match self.kinds.of(flow.route()) {
            kind @ FlowKind::LongLived if open().any(uneven) => Comparison::ByTime(kind),
            kind if open().any(full) => Comparison::ByTime(kind),
            FlowKind::OneOff | FlowKind::LongLived => Comparison::BySlots,
        };
        let cost = |a: &&AgentEntry| (self.cost(a, comparison, now), flow.score(a.process.0));
        let best = open()
            .filter(|a| !except.contains(&a.process))
            .min_by_key(cost)
            .or_else(|| open().min_by_key(cost))?;
        self.volumes.entry(service).or_default().count_flow();
        if let Some(load) = self.loads.get_mut(&best.process) {
            load.sent += 1;
            load.unanswered.get_or_insert(now);
        }
        Some(best)
    }

    /// Returns the typical time that a request takes at the targets of `service`.
    fn typical_work_of(&self, service: ServiceTag) -> Duration {
        self.typical_work.get(&service).copied().unwrap_or(INITIAL_SERVICE_TIME)
    }

    fn cost(&self, agent: &AgentEntry, comparison: Comparison, now: Timestamp) -> i64 {
        let far = if agent.near { 0 } else { self.far_penalty(agent.service) };
        let silent = if self.silent(agent.process, now) { SILENT_PENALTY } else { 0 };
        let Some(load) = self.loads.get(&agent.process) else { return i64::from(far) };
        let typical_work = self.typical_work_of(agent.service);
        target_cost(&load.report, load.sent, comparison, typical_work) + i64::from(far + silent)
    }
}
