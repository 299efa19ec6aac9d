//! Chooses the agent of a service that runs a request.
//!
//! Flows cannot move between agents, but requests can. The agent that holds the caller's flow
//! compares its own target with the latest load reports of its siblings, the other agents of the
//! service, and hands the request over if another is clearly better. A report is valid for a few
//! seconds only, and every request handed over since then is added to it, so that the agents do
//! not all choose the same sibling at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::membership::RandomIndex;
use crate::{PRIORITY_CLASSES, ProcessId, Slots, TargetPace, Timestamp, trailing};

const REPORT_LIFETIME: Duration = Duration::from_millis(2500);
/// Change of the demand of open flows that justifies a report, in thousandths of a slot.
const NOTABLE_DEMAND: u32 = 500;

/// Policy for choosing the agent that runs a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Always the agent that holds the flow.
    Local,
    /// The agent that holds the flow while it has a free slot, otherwise the better of two random
    /// siblings.
    #[default]
    LocalFirst,
    /// The least loaded of the agent that holds the flow and two random siblings.
    PowerOfTwo,
    /// The least loaded of all agents with a current report.
    LeastLoaded,
}

/// Load report that an agent sends to its siblings and to balancers about its own target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent.
    pub process: ProcessId,
    /// Slots that its target has now; zero while the target takes no new work.
    pub slots: Slots,
    /// Slots in use.
    pub in_use: u16,
    /// Queued requests.
    pub queued: u16,
    /// Open flows.
    pub flows: u32,
    /// How fast the target works.
    pub pace: TargetPace,
    /// What earlier versions do not report.
    #[serde(deserialize_with = "trailing::deserialize")]
    pub detail: LoadDetail,
}

/// The part of a load report that earlier versions do not send.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDetail {
    /// Packets that wait at the agent for the target, by the class of their priority.
    pub waiting: [u16; PRIORITY_CLASSES],
    /// Load that the open flows are expected to bring, in thousandths of a slot; `None` if the agent
    /// does not learn it.
    pub flow_demand: Option<u32>,
}

impl LoadDetail {
    /// Returns the number of waiting packets of all priorities.
    #[must_use]
    pub fn waiting_total(&self) -> u32 {
        self.waiting.iter().copied().map(u32::from).sum()
    }
}

impl LoadReport {
    /// Returns the report of an agent whose target is idle.
    #[must_use]
    pub const fn idle(process: ProcessId, slots: u16) -> Self {
        let pace = TargetPace { work: Duration::ZERO, cold: None };
        let detail = LoadDetail { waiting: [0; PRIORITY_CLASSES], flow_demand: None };
        Self { process, slots: Slots(slots), in_use: 0, queued: 0, flows: 0, pace, detail }
    }

    /// Returns whether the report differs from `before` in more than the service time and the
    /// demand of open flows. They change all the time, and a small change alone does not justify a
    /// message.
    #[must_use]
    pub fn differs_notably_from(&self, before: &Self) -> bool {
        let work = before.pace.work;
        let pace = TargetPace { work, ..self.pace };
        let demand = |report: &Self| report.detail.flow_demand.unwrap_or(0);
        if demand(self).abs_diff(demand(before)) >= NOTABLE_DEMAND {
            return true;
        }
        let detail = LoadDetail { flow_demand: before.detail.flow_demand, ..self.detail };
        Self { pace, detail, ..*self } != *before
    }
}

#[derive(Debug, Clone, Copy)]
struct Sibling {
    report: LoadReport,
    at: Timestamp,
    control: SocketAddrV4,
    handed_over_since: u16,
}

/// Where to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// On this agent's own target.
    Here,
    /// On a sibling's target.
    Sibling {
        /// The sibling.
        process: ProcessId,
        /// Its control address.
        control: SocketAddrV4,
    },
}

/// Latest load reports of an agent's siblings.
#[derive(Debug, Default)]
pub struct Siblings {
    known: BTreeMap<ProcessId, Sibling>,
    unavailable: BTreeSet<ProcessId>,
}

impl Siblings {
    /// Records a report, unless the membership list says that its sender takes no new work.
    pub fn report(&mut self, report: LoadReport, control: SocketAddrV4, now: Timestamp) {
        if self.unavailable.contains(&report.process) {
            return;
        }
        self.known
            .insert(report.process, Sibling { report, at: now, control, handed_over_since: 0 });
    }

    /// Returns whether there is a report from this sibling.
    #[must_use]
    pub fn knows(&self, process: ProcessId) -> bool {
        self.known.contains_key(&process)
    }

    /// Replaces the set of processes that are leaving or silent.
    ///
    /// A leaving agent reports its load until it is done, but gets no new requests meanwhile.
    pub fn set_unavailable(&mut self, unavailable: impl IntoIterator<Item = ProcessId>) {
        self.unavailable = unavailable.into_iter().collect();
        self.known.retain(|process, _| !self.unavailable.contains(process));
    }

    /// Chooses where a request runs, and counts the request towards a chosen sibling's load.
    pub fn place(
        &mut self,
        policy: Policy,
        own: LoadReport,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Place {
        let closed = own.slots.0 == 0;
        let has_room = own.in_use + own.queued < own.slots.0;
        let stay = match policy {
            Policy::Local => !closed,
            Policy::LocalFirst => has_room,
            Policy::PowerOfTwo | Policy::LeastLoaded => false,
        };
        if stay {
            return Place::Here;
        }
        self.known.retain(|_, s| now.since(s.at) < REPORT_LIFETIME);
        let open: Vec<ProcessId> = self
            .known
            .values()
            .filter(|s| s.report.slots.0 > 0)
            .map(|s| s.report.process)
            .collect();
        let candidates = match policy {
            Policy::LeastLoaded => open,
            _ => draw_two(&open, draw),
        };
        let best = candidates
            .iter()
            .map(|p| &self.known[p])
            .min_by_key(|s| load(s.report, s.handed_over_since))
            .copied();
        match best {
            // The sibling must be better even with one more request than this one: a hand-over
            // costs a round trip.
            Some(s) if closed || load(s.report, s.handed_over_since + 1) < load(own, 0) => {
                if let Some(known) = self.known.get_mut(&s.report.process) {
                    known.handed_over_since += 1;
                }
                Place::Sibling { process: s.report.process, control: s.control }
            }
            _ => Place::Here,
        }
    }
}

/// Returns the load in thousandths of a request per slot.
fn load(report: LoadReport, extra: u16) -> u32 {
    let requests = u32::from(report.in_use) + u32::from(report.queued) + u32::from(extra);
    requests * 1000 / u32::from(report.slots.0.max(1))
}

fn draw_two(open: &[ProcessId], draw: &mut RandomIndex<'_>) -> Vec<ProcessId> {
    if open.len() <= 2 {
        return open.to_vec();
    }
    let first = draw(open.len());
    let second = (first + 1 + draw(open.len() - 1)) % open.len();
    vec![open[first], open[second]]
}
