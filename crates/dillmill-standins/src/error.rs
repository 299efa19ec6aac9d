//! Errors of the stand-ins.

use std::fmt;

/// What failed and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StandinError {
    /// What was being done.
    pub step: String,
    /// What happened.
    pub what: String,
}

impl StandinError {
    /// Creates an error.
    pub fn new(step: impl Into<String>, what: impl fmt::Display) -> Self {
        Self { step: step.into(), what: what.to_string() }
    }

    /// Creates a function that makes an error of another one.
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
