//! Identifies a run of a target.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// How much earlier than its agent a target may start and still count as started together with
/// it.
const START_SLACK: Duration = Duration::from_millis(100);

/// Start time of a target, in milliseconds since the Unix epoch by its own clock.
///
/// Clocks differ and jump, so this identifies a run, and orders runs only in combination with
/// other evidence.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for StartTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix(" ms").unwrap_or(text).parse().map(Self)
    }
}

/// One run of a target. A target that restarts is another run, even under the same id.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetRun {
    /// Id that the target reports.
    pub id: String,
    /// Start time, if the target reports one.
    pub started: Option<StartTime>,
}

impl TargetRun {
    /// Creates the identity of a run that does not report its start time.
    #[must_use]
    pub fn new(id: impl Into<String>) -> Self {
        Self { id: id.into(), started: None }
    }

    /// Sets the start time.
    #[must_use]
    pub fn started(mut self, at: impl Into<Option<StartTime>>) -> Self {
        self.started = at.into();
        self
    }

    /// Returns whether this run started later than `other`, as far as their start times are
    /// known.
    ///
    /// A run without a start time is not later than one with a start time: any run at a target
    /// that reports its start time reports it as well.
    #[must_use]
    pub fn later_than(&self, other: &Self) -> Option<bool> {
        match (self.started, other.started) {
            (Some(mine), Some(theirs)) => Some(mine > theirs),
            (None, Some(_)) => Some(false),
            (_, None) => None,
        }
    }
}

impl TargetRun {
    /// Returns whether the run started together with the agent beside it, which started at
    /// `agent`, or later, by the clock of their VM.
    ///
    /// A slightly earlier start counts as together: only this agent gives the target flows, and a
    /// process that ends takes longer than that to start again.
    #[must_use]
    pub fn started_with(&self, agent: Timestamp) -> bool {
        self.started.is_some_and(|started| Timestamp::from_millis(started.0) + START_SLACK >= agent)
    }
}

impl fmt::Display for TargetRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(f, "{} started at {started}", self.id),
            None => f.write_str(&self.id),
        }
    }
}
