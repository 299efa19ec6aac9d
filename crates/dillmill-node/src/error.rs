//! The error type of the code that all processes share.

use std::fmt;
use std::io;

/// A failed step, the peer that it concerned, and the cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeError {
    /// Step that failed.
    pub step: &'static str,
    /// File, address or process that the step concerned.
    pub peer: String,
    /// Cause of the failure.
    pub what: String,
}

impl NodeError {
    /// Creates an error.
    pub fn new(step: &'static str, peer: impl fmt::Display, what: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_string(), what: what.to_string() }
    }

    /// Returns a function that converts an I/O error, for `map_err`.
    pub fn io(step: &'static str, peer: impl fmt::Display) -> impl FnOnce(io::Error) -> Self {
        move |e| Self::new(step, peer, e)
    }
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.step, self.peer, self.what)
    }
}

impl std::error::Error for NodeError {}
