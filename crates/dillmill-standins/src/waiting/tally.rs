//! Outcomes of simulated requests.

use std::ops::AddAssign;

use dillmill_core::Priority;

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests answered within the latency objective.
    pub in_time: u32,
    /// Requests answered later, but before the timeout.
    pub late: u32,
    /// Requests not answered before the timeout.
    pub lost: u32,
    /// Packets taken from the queue whose callers had already abandoned the attempt.
    pub abandoned: u32,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.lost += other.lost;
        self.abandoned += other.abandoned;
    }
}

/// Outcomes of the requests of one class of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassTally {
    /// Priority of the class.
    pub priority: Priority,
    /// Outcomes of its requests.
    pub tally: Tally,
}
