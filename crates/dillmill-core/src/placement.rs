//! Which agent of a service runs a request.
//!
//! Flows can't move, requests can. The agent that holds the caller's flow compares its own target
//! with what its siblings last reported, and hands the request over when another is clearly
//! better. A report counts for a few seconds only, and every request handed over since the report
//! is added to it, so that all agents don't run to the same sibling at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::membership::RandomIndex;
use crate::{ProcessId, Slots, TargetPace, Timestamp};

const REPORT_LIFETIME: Duration = Duration::from_millis(2500);

/// How the agent for a request is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Always the agent that holds the flow.
    Local,
    /// The agent that holds the flow while it has a free slot, else the better of two drawn.
    #[default]
    LocalFirst,
    /// The least loaded of the agent that holds the flow and two drawn.
    PowerOfTwo,
    /// The least loaded of all that reported.
    LeastLoaded,
}

/// What an agent tells its siblings, first-hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent.
    pub process: ProcessId,
    /// Slots that its target has now; zero while it takes no new work.
    pub slots: Slots,
    /// Slots in use.
    pub in_use: u16,
    /// Requests waiting.
    pub queued: u16,
    /// Open flows.
    pub flows: u32,
    /// How fast the target works.
    pub pace: TargetPace,
}

impl LoadReport {
    /// Returns the report of an agent whose target has nothing to do.
    #[must_use]
    pub const fn idle(process: ProcessId, slots: u16) -> Self {
        let pace = TargetPace { work: Duration::ZERO, cold: None };
        Self { process, slots: Slots(slots), in_use: 0, queued: 0, flows: 0, pace }
    }

    /// Returns whether the target has something else to do than `before`. How long a request takes there changes with each
    /// answer, and alone is not worth a message.
    #[must_use]
    pub fn differs_notably_from(&self, before: &Self) -> bool {
        let work = before.pace.work;
        let pace = TargetPace { work, ..self.pace };
        Self { pace, ..*self } != *before
    }
}

#[derive(Debug, Clone, Copy)]
struct Sibling {
    report: LoadReport,
    at: Timestamp,
    control: SocketAddrV4,
    sent_since: u16,
}

/// Where a request is to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// On the target beside this agent.
    Here,
    /// On a sibling's target.
    Sibling {
        /// The sibling.
        process: ProcessId,
        /// Its control address.
        control: SocketAddrV4,
    },
}

/// What an agent knows of its siblings' load.
#[derive(Debug, Default)]
pub struct Siblings {
    known: BTreeMap<ProcessId, Sibling>,
    away: BTreeSet<ProcessId>,
}

impl Siblings {
    /// Takes in a report, unless its sender takes no new work by the members' list.
    pub fn report(&mut self, report: LoadReport, control: SocketAddrV4, now: Timestamp) {
        if self.away.contains(&report.process) {
            return;
        }
        self.known.insert(report.process, Sibling { report, at: now, control, sent_since: 0 });
    }

    /// Returns whether a report of this sibling is held.
    #[must_use]
    pub fn knows(&self, process: ProcessId) -> bool {
        self.known.contains_key(&process)
    }

    /// Says which processes leave or are silent, in place of those named before.
    ///
    /// One that leaves reports its load until it is done; nothing new goes there meanwhile.
    pub fn set_unavailable(&mut self, away: impl IntoIterator<Item = ProcessId>) {
        self.away = away.into_iter().collect();
        self.known.retain(|process, _| !self.away.contains(process));
    }

    /// Chooses where a request runs; a sibling that is chosen counts one request more.
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
            .min_by_key(|s| load(s.report, s.sent_since))
            .copied();
        match best {
            // One request more than the sibling's: a hand-over costs a round trip.
            Some(s) if closed || load(s.report, s.sent_since + 1) < load(own, 0) => {
                if let Some(known) = self.known.get_mut(&s.report.process) {
                    known.sent_since += 1;
                }
                Place::Sibling { process: s.report.process, control: s.control }
            }
            _ => Place::Here,
        }
    }
}

/// Returns the requests per slot, in thousandths.
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
