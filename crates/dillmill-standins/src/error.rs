//! The error type of the stand-ins and tools.

use std::fmt;

/// A failed step and its cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StandinError {
    /// The operation that failed.
    pub step: String,
    /// The cause of the failure.
    pub what: String,
}

impl StandinError {
    /// Creates an error of a step.
    pub fn new(step: impl Into<String>, what: impl fmt::Display) -> Self {
        Self { step: step.into(), what: what.to_string() }
    }

    /// Returns a function for `map_err` that wraps another error as the cause of a failed step.
    pub fn at<E: fmt::Display>(step: impl Into<String>) -> impl FnOnce(E) -> Self {
        let step = step.into();
        move |e| Self::new(step, e)
    }
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.what)
    }
}

impl std::error::Error for StandinError {}
