//! Which run of a target a heartbeat speaks for.
//!
//! A heartbeat may come late: its sender may have crashed, and another run may have registered at the same
//! address meanwhile. It must not take that run's place.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Heartbeats that a target which has only just started may have sent before one comes through: it tries some
/// times more when the first ones fail.
pub const FIRST_HEARTBEATS: u64 = 5;
/// A run that has missed two heartbeats, and half an interval for the delay of the next, may be over.
const HEARTBEATS_MISSED: f64 = 2.5;
/// Heartbeats that were held up arrive together; those of a living run come at least this part of an interval
/// apart.
const PACE: f64 = 0.5;
/// Earlier runs that are remembered; a heartbeat is held up for seconds, and a target needs some to start.
const EARLIER_RUNS: usize = 8;

/// What a heartbeat tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// The current run speaks.
    Current,
    /// Another run has taken its place.
    NewRun {
        /// No run has spoken here before.
        first: bool,
    },
    /// It is older than what is known already, and tells nothing.
    Late,
}

#[derive(Debug)]
struct Run {
    id: String,
    /// The highest number of a heartbeat so far.
    number: u64,
    heard: Timestamp,
    /// Since when it has spoken again, though another run had taken its place.
    speaks_again: Option<Timestamp>,
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

    /// Returns whether `id` names the current run, or none is known.
    #[must_use]
    pub fn may_be_current(&self, id: &str) -> bool {
        self.current.as_ref().is_none_or(|run| run.id == id)
    }

    /// Takes in the heartbeat `number` of the run `id`.
    pub fn heartbeat(&mut self, id: &str, number: u64, now: Timestamp) -> Heard {
        if let Some(run) = self.current.as_mut().filter(|run| run.id == id) {
            if number <= run.number {
                return Heard::Late;
            }
            run.number = number;
            run.heard = now;
            return Heard::Current;
        }
        let current_speaks = self.current_speaks(now);
        if let Some(i) = self.earlier.iter().position(|run| run.id == id) {
            let lives = speaks_at_pace(&mut self.earlier[i], number, self.every, now);
            if !lives || current_speaks {
                return Heard::Late;
            }
            // The run that took its place was the one whose heartbeat came late.
            self.earlier.remove(i);
        } else if current_speaks && number > FIRST_HEARTBEATS {
            return Heard::Late;
        }
        self.replace(Run { id: id.to_owned(), number, heard: now, speaks_again: None })
    }

    fn current_speaks(&self, now: Timestamp) -> bool {
        let limit = self.every.mul_f64(HEARTBEATS_MISSED);
        self.current.as_ref().is_some_and(|run| now.since(run.heard) < limit)
    }

    fn replace(&mut self, run: Run) -> Heard {
        let before = self.current.replace(run);
        let first = before.is_none();
        self.earlier.extend(before);
        if self.earlier.len() > EARLIER_RUNS {
            self.earlier.pop_front();
        }
        Heard::NewRun { first }
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
