//! Which run of a target a heartbeat speaks for.
//!
//! A heartbeat may come late: its sender may have crashed, and another run may have registered at the same
//! address meanwhile, under another id or the same one. It must not take that run's place.
//!
//! Where runs tell when they started, the later start is the later run. Clocks jump, so that order only holds
//! against a run that still speaks: one with an earlier start takes over from a run that has fallen silent.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{TargetRun, Timestamp};

/// Heartbeats that a target which has only just started may have sent before one comes through: it tries some
/// times more when the first ones fail.
pub const STARTUP_HEARTBEATS: u64 = 5;
/// A run that has missed two heartbeats, and half an interval for the delay of the next, may be over.
const HEARTBEATS_MISSED: f64 = 2.5;
/// Heartbeats that were held up arrive together; those of a living run come at least this part of an interval
/// apart.
const PACE: f64 = 0.5;
/// Earlier runs that are remembered; a heartbeat is held up for seconds, and a target needs some to start.
const EARLIER_RUNS: usize = 8;

/// What a heartbeat tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The current run speaks.
    Current,
    /// Another run has taken its place.
    NewRun(Predecessor),
    /// It is older than what is known already, and tells nothing.
    Late,
}

/// What a new run tells of the one that was current before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// There was none.
    None,
    /// It is not certain when it ended, or that it has.
    Unsure,
    /// It lived at this time, and has ended since.
    Ended {
        /// When it last spoke.
        lived: Timestamp,
    },
}

#[derive(Debug)]
struct Run {
    name: TargetRun,
    /// The highest number of a heartbeat so far.
    number: u64,
    heard: Timestamp,
    /// Since when it has spoken though another run has its place.
    speaks_again: Option<Timestamp>,
}

impl Run {
    fn new(name: &TargetRun, number: u64, speaks_again: Option<Timestamp>, now: Timestamp) -> Self {
        Self { name: name.clone(), number, heard: now, speaks_again }
    }
}

/// The runs of one target, as its heartbeats tell of them.
#[derive(Debug)]
pub struct TargetRuns {
    every: Duration,
    current: Option<Run>,
    earlier: VecDeque<Run>,
}

impl TargetRuns {
    /// Creates the record of a target that sends a heartbeat `every` so often.
    #[must_use]
    pub fn new(every: Duration) -> Self {
        Self { every, current: None, earlier: VecDeque::new() }
    }

    /// Returns whether a word of `run` that it ends may be the current run's.
    ///
    /// A word without a start can't be told from one of an earlier run with the same id, so it counts only if
    /// the current run has `announced` its end.
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

    /// Takes in the heartbeat `number` of `run`.
    pub fn heartbeat(&mut self, run: &TargetRun, number: u64, now: Timestamp) -> HeartbeatOutcome {
        if let Some(current) = self.current.as_mut().filter(|current| current.name == *run) {
            if number <= current.number {
                return HeartbeatOutcome::Late;
            }
            current.number = number;
            current.heard = now;
            return HeartbeatOutcome::Current;
        }
        let current_speaks = self.current_speaks(now);
        if let Some(i) = self.earlier.iter().position(|earlier| earlier.name == *run) {
            let lives = speaks_at_pace(&mut self.earlier[i], number, self.every, now);
            if !lives || current_speaks {
                return HeartbeatOutcome::Late;
            }
            // The run that took its place was the one whose heartbeat came late.
            self.earlier.remove(i);
            return self.replace(run, number, Predecessor::Unsure, now);
        }
        let order = self.current.as_ref().and_then(|current| run.later_than(&current.name));
        if order == Some(false) {
            // Its clock may have been put back before it started: the pace of what follows shows whether it lives.
            self.remember(Run::new(run, number, Some(now), now));
            return HeartbeatOutcome::Late;
        }
        if order.is_none() && current_speaks && number > STARTUP_HEARTBEATS {
            return HeartbeatOutcome::Late;
        }
        // Only a run that has just started proves that its predecessor's flows are over.
        let ended = order == Some(true) && number <= STARTUP_HEARTBEATS;
        let predecessor = match &self.current {
            None => Predecessor::None,
            Some(current) if ended => Predecessor::Ended { lived: current.heard },
            Some(_) => Predecessor::Unsure,
        };
        self.replace(run, number, predecessor, now)
    }

    fn current_speaks(&self, now: Timestamp) -> bool {
        let limit = self.every.mul_f64(HEARTBEATS_MISSED);
        self.current.as_ref().is_some_and(|run| now.since(run.heard) < limit)
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
        if self.earlier.len() > EARLIER_RUNS {
            self.earlier.pop_front();
        }
    }
}

/// Takes in a heartbeat of an earlier run, and returns whether the run lives: it keeps the pace of one.
fn speaks_at_pace(run: &mut Run, number: u64, every: Duration, now: Timestamp) -> bool {
    if number <= run.number {
        return false;
    }
    run.number = number;
    let since = *run.speaks_again.get_or_insert(now);
    now.since(since) >= every.mul_f64(PACE)
}
