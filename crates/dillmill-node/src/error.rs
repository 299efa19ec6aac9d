//! Errors of the parts that all processes share.

use std::fmt;
use std::io;

/// What failed, in which step and with which peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeError {
    /// What was being done.
    pub step: &'static str,
    /// The file, address or process it was done with.
    pub peer: String,
    /// What happened.
    pub what: String,
}

impl NodeError {
    /// Creates an error.
    pub fn new(step: &'static str, peer: impl fmt::Display, what: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_string(), what: what.to_string() }
    }

    /// Creates a function that makes an error of an I/O error.
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
