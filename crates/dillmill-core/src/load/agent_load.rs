//! Computes how long one more request waits at an agent, from the requests there and the speed of the
//! target.

use std::time::Duration;

use crate::placement::LoadReport;
use crate::service_time::INITIAL_SERVICE_TIME;

/// Requests at an agent and the speed of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLoad {
    /// Requests at the target, and packets that wait at the agent.
    pub requests: u32,
    /// Slots of the target.
    pub slots: u32,
    /// Service time of the target.
    pub work: Duration,
}

impl AgentLoad {
    /// Returns the time after which the target begins one more request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dillmill_core::AgentLoad;
    ///
    /// let load = AgentLoad { requests: 4, slots: 2, work: Duration::from_millis(30) };
    /// assert_eq!(load.wait_of_next(), Duration::from_millis(45));
    /// ```
    #[must_use]
    pub fn wait_of_next(&self) -> Duration {
        self.wait_of(self.requests.saturating_add(1))
    }

    /// Returns the time after which the target begins the last of its requests.
    #[must_use]
    pub fn wait_of_last(&self) -> Duration {
        self.wait_of(self.requests)
    }

    /// Returns the mean time after which a slot becomes free while all are busy.
    #[must_use]
    pub fn time_per_request(&self) -> Duration {
        self.work / self.slots.max(1)
    }

    fn wait_of(&self, requests: u32) -> Duration {
        self.time_per_request() * requests.saturating_sub(self.slots)
    }
}

impl From<&LoadReport> for AgentLoad {
    fn from(report: &LoadReport) -> Self {
        let work = report.pace.work;
        Self {
            requests: u32::from(report.in_use)
                + u32::from(report.queued)
                + report.detail.waiting_total(),
            slots: u32::from(report.slots.0),
            work: if work.is_zero() { INITIAL_SERVICE_TIME } else { work },
        }
    }
}
