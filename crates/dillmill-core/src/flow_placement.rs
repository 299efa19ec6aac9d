//! Which agent a balancer gives a new flow to.
//!
//! Agents report their load to the balancers that send them new flows, so each new flow that has
//! brought no report for a while tells that an agent does not answer: sooner than any probe, and at
//! no cost of its own.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::agent_table::{AgentEntry, AgentTable};
use crate::flow_volume::FlowVolume;
use crate::placement::LoadReport;
use crate::target_flows::FIRST_WORK;
use crate::{FlowTuple, ProcessId, ServiceTag, Timestamp};

/// An agent that has not answered for this long gets new flows only when the others are busy: a report
/// is due within a tick of the agent (100 ms) and a round trip; the rest is for thin VMs.
const ANSWER_LIMIT: Duration = Duration::from_millis(230);
/// Time between two reports of an agent to one balancer.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two questions to an agent that does not answer.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Load in use that a flow is sent to another data centre to avoid, in thousandths of the slots:
/// one and a half of five slots. Bytes between data centres cost, a wait costs more.
const FAR_PENALTY: u32 = 350;
/// Bytes of callers in a flow that weigh as much as a thousandth of the slots when they go to another data
/// centre: an upload of 40 kB stays unless all near targets are a full round behind.
const FAR_BYTES: u64 = 40;
/// Most that the bytes of a flow add, in thousandths of the slots.
const FAR_BYTES_MAX: u64 = 3000;
/// Load added to an agent that does not answer, in thousandths of its slots. Not without bound: after a
/// restart of everything most agents are late, and all flows would meet at the one that is not.
const SILENT_PENALTY: u32 = 1500;
/// Load of an open flow that is at rest, in thousandths of a slot: one request of some 50 ms a
/// second.
const RESTING_FLOW: u32 = 50;

/// A target is slow if a request takes this many times the usual time there: the mean of a few answers of a sound one
/// stays well below.
const SLOW: u32 = 2;
/// Part of the usual time by which one report moves it: half of the reports are above it, half below.
const USUAL_STEP: u32 = 50;

/// Returns `span` in thousandths of `unit`.
fn thousandths(span: Duration, unit: Duration) -> u32 {
    let n = span.as_micros() * 1000 / unit.as_micros().max(1);
    u32::try_from(n).unwrap_or(u32::MAX / 4).min(u32::MAX / 4)
}

#[derive(Debug, Clone, Copy)]
struct Load {
    report: LoadReport,
    /// New flows since the report.
    sent: u32,
    /// When the first flow or question without an answer was sent.
    unanswered: Option<Timestamp>,
    asked: Timestamp,
    control: SocketAddrV4,
    service: ServiceTag,
    /// Its data centre was evacuated when the table of agents was last taken in.
    evacuated: bool,
}

impl Load {
    /// Returns the load of an agent that nothing is known of.
    fn idle(agent: &AgentEntry) -> Self {
        Self {
            report: LoadReport::idle(agent.process, agent.slots),
            sent: 0,
            unanswered: None,
            asked: Timestamp::default(),
            control: agent.control,
            service: agent.service,
            evacuated: agent.evacuated,
        }
    }
}

/// What a balancer knows of the load of agents.
#[derive(Debug, Default)]
pub struct FlowPlacement {
    loads: HashMap<ProcessId, Load>,
    volumes: HashMap<ServiceTag, FlowVolume>,
    /// Time that a request takes at half of the targets of each service, or less.
    usual: HashMap<ServiceTag, Duration>,
}

impl FlowPlacement {
    /// Takes in a report.
    pub fn report(&mut self, report: LoadReport) {
        if let Some(load) = self.loads.get_mut(&report.process) {
            load.report = report;
            load.sent = 0;
            load.unanswered = None;
            let usual = self.usual.entry(load.service).or_insert(FIRST_WORK);
            match report.pace.work {
                Duration::ZERO => {}
                work if work > *usual => *usual += *usual / USUAL_STEP,
                _ => *usual -= *usual / USUAL_STEP,
            }
        }
    }

    /// Counts bytes that a caller sends in a flow of `service`.
    pub fn count_bytes(&mut self, service: ServiceTag, bytes: u64) {
        self.volumes.entry(service).or_default().count_bytes(bytes);
    }

    /// Returns what a flow of `service` to another data centre must save there, in thousandths of the slots.
    fn far_penalty(&self, service: ServiceTag) -> u32 {
        let bytes = self.volumes.get(&service).map_or(0, FlowVolume::per_flow);
        let weight = (bytes / FAR_BYTES).min(FAR_BYTES_MAX);
        FAR_PENALTY + u32::try_from(weight).unwrap_or(0)
    }

    /// Takes in a new table of agents.
    pub fn retain(&mut self, agents: &AgentTable) {
        self.loads.retain(|process, _| agents.get(*process).is_some());
        for agent in agents.iter() {
            let idle = Load::idle(agent);
            let load = self.loads.entry(agent.process).or_insert(idle);
            // What it last reported is that it takes nothing, and it reports only to those that send it flows.
            if load.evacuated && !agent.evacuated {
                *load = idle;
            }
            load.evacuated = agent.evacuated;
        }
    }

    /// Counts all silence from `now` on: the balancer itself was paused.
    pub fn reset_silence(&mut self, now: Timestamp) {
        for load in self.loads.values_mut() {
            load.unanswered = load.unanswered.map(|_| now);
        }
    }

    /// Returns whether an agent has left new flows or questions without an answer.
    #[must_use]
    pub fn silent(&self, process: ProcessId, now: Timestamp) -> bool {
        self.loads
            .get(&process)
            .and_then(|load| load.unanswered)
            .is_some_and(|since| now.since(since) >= ANSWER_LIMIT)
    }

    /// Returns whether any agent answers, as far as is known.
    #[must_use]
    pub fn reaches_any(&self, now: Timestamp) -> bool {
        self.loads.keys().any(|process| !self.silent(*process, now))
    }

    /// Returns the control addresses of silent agents that are due to be asked.
    pub fn take_probes_due(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for load in self.loads.values_mut() {
            let silent = load.unanswered.is_some_and(|since| now.since(since) >= ANSWER_LIMIT);
            if silent && now.since(load.asked) >= ASK_EVERY {
                load.asked = now;
                due.push(load.control);
            }
        }
        due
    }

    /// Chooses the agent for a new flow of `service`, other than `not`.
    pub fn place<'a>(
        &mut self,
        flow: &FlowTuple,
        service: ServiceTag,
        agents: &'a AgentTable,
        not: Option<ProcessId>,
        now: Timestamp,
    ) -> Option<&'a AgentEntry> {
        let cost = |a: &&AgentEntry| (self.cost(a, now), flow.score(a.process.0));
        let open = || agents.taking_new(service).filter(|a| a.slots > 0);
        let best = open()
            .filter(|a| Some(a.process) != not)
            .min_by_key(cost)
            .or_else(|| open().min_by_key(cost))?;
        self.volumes.entry(service).or_default().count_flow();
        if let Some(load) = self.loads.get_mut(&best.process) {
            load.sent += 1;
            load.unanswered.get_or_insert(now);
        }
        Some(best)
    }

    /// Returns the time that a request takes at the targets of `service`.
    fn usual_work(&self, service: ServiceTag) -> Duration {
        self.usual.get(&service).copied().unwrap_or(FIRST_WORK)
    }

    fn cost(&self, agent: &AgentEntry, now: Timestamp) -> u32 {
        let far = if agent.near { 0 } else { self.far_penalty(agent.service) };
        let silent = if self.silent(agent.process, now) { SILENT_PENALTY } else { 0 };
        let Some(load) = self.loads.get(&agent.process) else { return far };
        cost_there(&load.report, load.sent, self.usual_work(agent.service)) + far + silent
    }
}

/// Returns what a new flow costs at a target that was sent so many since its report, in thousandths of the `usual` time of a
/// request.
///
/// Slots alone would give a cold target as much as a warm one.
fn cost_there(report: &LoadReport, sent: u32, usual: Duration) -> u32 {
    if let Some(cold) = report.pace.cold {
        let until_room = Duration::from_secs(1) * (cold.got + sent) / cold.limit.max(1);
        return thousandths(until_room, usual);
    }
    let slots = u32::from(report.slots.0.max(1));
    let requests = u32::from(report.in_use) + u32::from(report.queued) + sent;
    let ahead = (requests * 1000 + report.flows * RESTING_FLOW) / slots;
    if report.pace.work < usual * SLOW {
        return ahead;
    }
    let work = thousandths(report.pace.work, usual);
    work - 1000 + thousandths(report.pace.work * ahead / 1000, usual)
}
