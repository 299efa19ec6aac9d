//! Decides which run of a target a heartbeat belongs to, and when a new run replaces the current
//! one.
//!
//! A heartbeat may arrive late: its sender may have crashed, and another run may have registered
//! at the same address meanwhile, under the same id or another. A late heartbeat must not replace
//! that run.
//!
//! If runs report when they started, the later start is the later run. Clocks jump, so this order
//! only holds while the current run still sends heartbeats: a run with an earlier start replaces
//! one that has fallen silent.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{TargetRun, Timestamp};

/// Highest heartbeat number at which a target still counts as just started. The first heartbeats
/// may fail and be retried.
pub const STARTUP_HEARTBEATS: u64 = 5;
/// Heartbeat intervals without a heartbeat after which a run may have ended: two missed ones, and
/// half an interval for the delay of the next.
const HEARTBEATS_MISSED: f64 = 2.5;
/// Minimum spacing of a live run's heartbeats, as a fraction of the interval. Delayed heartbeats
/// arrive together.
const MIN_SPACING: f64 = 0.5;
/// Number of earlier runs that are remembered. A heartbeat is delayed by seconds at most, and a
/// target needs some seconds to start.
const MAX_EARLIER_RUNS: usize = 8;

/// Classification of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is from the current run.
    Current,
    /// The heartbeat is from another run, which is now the current one.
    NewRun(Predecessor),
    /// The heartbeat is older than what is already known, and is ignored.
    Late,
}

/// What a new run implies about the previous one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// There was no previous run.
    None,
    /// It is uncertain when the previous run ended, or whether it has.
    Unsure,
    /// The previous run was alive at this time, and has ended since.
    Ended {
        /// Time of its last heartbeat.
        lived: Timestamp,
    },
}

#[derive(Debug)]
struct Run {
    name: TargetRun,
    /// Highest heartbeat number so far.
    number: u64,
    last_heard: Timestamp,
    /// Time of its first heartbeat after it was replaced by another run.
    heard_again_since: Option<Timestamp>,
}

impl Run {
    fn new(
        name: &TargetRun,
        number: u64,
        heard_again_since: Option<Timestamp>,
        now: Timestamp,
    ) -> Self {
        Self { name: name.clone(), number, last_heard: now, heard_again_since }
    }
}

/// The runs of one target, as known from its heartbeats.
#[derive(Debug)]
pub struct TargetRuns {
    interval: Duration,
    current: Option<Run>,
    earlier: VecDeque<Run>,
}

impl TargetRuns {
    /// Creates the record of a target that sends a heartbeat every `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self { interval, current: None, earlier: VecDeque::new() }
    }

    /// Returns whether a message that `run` is ending may be from the current run.
    ///
    /// A message without a start time cannot be told from one of an earlier run with the same id,
    /// so it is accepted only if the current run has `announced` its end.
    #[must_use]
    pub fn may_end(&self, run: &TargetRun, announced: bool) -> bool {
        let Some(current) = &self.current else { return true };
        if run.started.is_some() || current.name.id != run.id {
            return current.name == *run;
        }
        announced || self.earlier.iter().all(|earlier| earlier.name.id != run.id)
    }

    /// Returns whether `run` is the current one.
    #[must_use]
    pub fn is_current(&self, run: &TargetRun) -> bool {
        self.current.as_ref().is_some_and(|current| current.name == *run)
    }

    /// Records heartbeat `number` of `run`, and classifies it.
    pub fn heartbeat(&mut self, run: &TargetRun, number: u64, now: Timestamp) -> HeartbeatOutcome {
        if let Some(current) = self.current.as_mut().filter(|current| current.name == *run) {
            if number <= current.number {
                return HeartbeatOutcome::Late;
            }
            current.number = number;
            current.last_heard = now;
            return HeartbeatOutcome::Current;
        }
        let current_is_live = self.current_is_live(now);
        if let Some(i) = self.earlier.iter().position(|earlier| earlier.name == *run) {
            let lives = keeps_pace(&mut self.earlier[i], number, self.interval, now);
            if !lives || current_is_live {
                return HeartbeatOutcome::Late;
            }
            // The run that replaced it was the one whose heartbeat was late.
            self.earlier.remove(i);
            return self.replace(run, number, Predecessor::Unsure, now);
        }
        let order = self.current.as_ref().and_then(|current| run.later_than(&current.name));
        if order == Some(false) {
            // Its clock may have been set back before it started. The spacing of its next
            // heartbeats shows whether it is alive.
            self.remember(Run::new(run, number, Some(now), now));
            return HeartbeatOutcome::Late;
        }
        if order.is_none() && current_is_live && number > STARTUP_HEARTBEATS {
            return HeartbeatOutcome::Late;
        }
        // Only a run that has just started proves that the flows of the previous run have ended.
        let ended = order == Some(true) && number <= STARTUP_HEARTBEATS;
        let predecessor = match &self.current {
            None => Predecessor::None,
            Some(current) if ended => Predecessor::Ended { lived: current.last_heard },
            Some(_) => Predecessor::Unsure,
        };
        self.replace(run, number, predecessor, now)
    }

    /// Returns whether a run whose last heartbeat came at `last_heard` may have ended.
    #[must_use]
    pub fn is_overdue(&self, last_heard: Timestamp, now: Timestamp) -> bool {
        now.since(last_heard) >= self.interval.mul_f64(HEARTBEATS_MISSED)
    }

    fn current_is_live(&self, now: Timestamp) -> bool {
        self.current.as_ref().is_some_and(|run| !self.is_overdue(run.last_heard, now))
    }

    fn replace(
        &mut self,
        run: &TargetRun,
        number: u64,
        predecessor: Predecessor,
        now: Timestamp,
    ) -> HeartbeatOutcome {
        if let Some(before) = self.current.replace(Run::new(run, number, None, now)) {
            self.remember(before);
        }
        HeartbeatOutcome::NewRun(predecessor)
    }

    fn remember(&mut self, run: Run) {
        self.earlier.push_back(run);
        if self.earlier.len() > MAX_EARLIER_RUNS {
            self.earlier.pop_front();
        }
    }
}

/// Records a heartbeat of an earlier run, and returns whether the run is alive, judged by the
/// spacing of its heartbeats.
fn keeps_pace(run: &mut Run, number: u64, interval: Duration, now: Timestamp) -> bool {
    if number <= run.number {
        return false;
    }
    run.number = number;
    let since = *run.heard_again_since.get_or_insert(now);
    now.since(since) >= interval.mul_f64(MIN_SPACING)
}
