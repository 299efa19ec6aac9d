//! Estimates the usual time of a route's requests at one target.

use std::time::Duration;

/// Service time assumed before any request was observed.
pub const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);
/// An observation counts as at most this multiple of the estimate, so that the few requests that take
/// many times the usual one move the estimate little.
pub const OBSERVATION_CAP: f64 = 3.0;
/// Answers after which a new observation has constant weight: the usual time of a route changes slowly,
/// and the speed of its target is estimated apart.
const WINDOW: u32 = 256;

/// Usual time of the requests of one route at one target, at the target's usual speed.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    /// Mean of the capped observations, in seconds.
    mean: f64,
    answers: u32,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { mean: INITIAL_SERVICE_TIME.as_secs_f64(), answers: 0 }
    }
}

impl ServiceTime {
    /// Records that a request took `seconds`.
    pub fn note(&mut self, seconds: f64) {
        self.answers = (self.answers + 1).min(WINDOW);
        let capped = seconds.min(self.mean * OBSERVATION_CAP);
        self.mean += (capped - self.mean) / f64::from(self.answers);
    }

    /// Returns the usual time in seconds.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        self.mean
    }

    /// Returns the number of answers observed, counted up to the size of the window.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.answers
    }
}
