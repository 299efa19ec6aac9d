//! Latest loads of an agent's siblings, the other agents of its service.

use std::time::Duration;

use crate::placement::LoadReport;
use crate::{AgentLoad, ProcessId, Timestamp};

/// Maximum number of siblings whose loads are kept. Within the lifetime of a load, an agent hears from
/// some six siblings.
const MAX_SIBLINGS: usize = 16;
/// How long a load counts: one and a half exchange intervals, so that one lost message leaves a gap of
/// at most half an interval. A target with a few slots changes its load completely within this time.
const LOAD_LIFETIME: Duration = Duration::from_millis(150);

/// Load that a sibling has reported, and what was sent to it since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiblingLoad {
    report: LoadReport,
    at: Timestamp,
    /// Packets sent to the sibling since the report.
    sent: u32,
}

impl SiblingLoad {
    /// Returns the sibling.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        self.report.process
    }

    /// Returns when the report was received.
    #[must_use]
    pub fn at(&self) -> Timestamp {
        self.at
    }

    /// Returns the reported load and the packets sent to the sibling since.
    #[must_use]
    pub fn load(&self) -> AgentLoad {
        let load = AgentLoad::from(&self.report);
        AgentLoad { requests: load.requests.saturating_add(self.sent), ..load }
    }

    /// Returns whether the sibling's target takes one more request. A cold target only takes a limited
    /// number of requests a second, whatever its free slots.
    #[must_use]
    pub fn takes_more(&self) -> bool {
        let below_limit =
            self.report.pace.cold.is_none_or(|c| c.received.saturating_add(self.sent) < c.limit);
        self.report.slots.0 > 0 && below_limit
    }

    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.at) < LOAD_LIFETIME
    }
}

/// The loads of the siblings that have reported most recently.
#[derive(Debug, Clone, Default)]
pub struct SiblingLoads {
    /// In the order of receipt.
    loads: Vec<SiblingLoad>,
}

impl SiblingLoads {
    /// Creates an empty set.
    #[must_use]
    pub const fn new() -> Self {
        Self { loads: Vec::new() }
    }

    /// Records the load that a sibling has reported.
    pub fn record(&mut self, report: LoadReport, now: Timestamp) {
        self.loads.retain(|known| known.process() != report.process && known.is_current(now));
        if self.loads.len() >= MAX_SIBLINGS {
            self.loads.remove(0);
        }
        self.loads.push(SiblingLoad { report, at: now, sent: 0 });
    }

    /// Adds a packet that is sent to a sibling to the sibling's load.
    pub fn note_sent(&mut self, process: ProcessId) {
        if let Some(known) = self.loads.iter_mut().find(|known| known.process() == process) {
            known.sent = known.sent.saturating_add(1);
        }
    }

    /// Returns the load of a sibling that has reported within the lifetime of a report.
    #[must_use]
    pub fn get(&self, process: ProcessId, now: Timestamp) -> Option<&SiblingLoad> {
        self.current(now).find(|known| known.process() == process)
    }

    /// Returns the loads reported within the lifetime of a report.
    pub fn current(&self, now: Timestamp) -> impl Iterator<Item = &SiblingLoad> {
        self.loads.iter().filter(move |known| known.is_current(now))
    }

    /// Returns whether the load of any sibling is known.
    #[must_use]
    pub fn any_known(&self, now: Timestamp) -> bool {
        self.current(now).next().is_some()
    }
}
