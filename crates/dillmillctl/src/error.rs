//! Errors of `dillmillctl` and their exit codes.

use dillmill_node::NodeError;
use dillmill_platform::PlatformError;
use dillmill_store::WriteError;
use error_stack::Report;

/// Reason why a command failed; each variant has its exit code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The command line is invalid.
    #[error("{0}\nTry `dillmillctl --help`.")]
    Usage(String),
    /// A file or an argument is invalid.
    #[error("{0}")]
    Input(String),
    /// The edit would make the settings tree invalid; nothing was written.
    #[error("{0}")]
    Refused(String),
    /// Another author changed the node in the meantime; nothing was written.
    #[error("{0}")]
    Conflict(String),
    /// The platform or a process did not answer or returned an error.
    #[error("{0}")]
    Unreachable(String),
    /// Not every process runs with the newest revision yet.
    #[error("{0}")]
    Behind(String),
}

impl CtlError {
    /// Returns the exit code, as listed by `dillmillctl --help`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Unreachable(_) => 1,
            Self::Usage(_) | Self::Input(_) => 2,
            Self::Refused(_) => 3,
            Self::Conflict(_) => 4,
            Self::Behind(_) => 5,
        }
    }
}

impl From<Report<PlatformError>> for CtlError {
    fn from(report: Report<PlatformError>) -> Self {
        Self::Unreachable(report.current_context().to_string())
    }
}

impl From<NodeError> for CtlError {
    fn from(e: NodeError) -> Self {
        Self::Unreachable(e.to_string())
    }
}

impl From<Report<WriteError>> for CtlError {
    fn from(report: Report<WriteError>) -> Self {
        let text = report.current_context().to_string();
        match report.current_context() {
            WriteError::Invalid(_) => Self::Refused(text),
            WriteError::Conflict { .. } | WriteError::Busy => Self::Conflict(text),
            WriteError::Platform => Self::Unreachable(format!("{text}: {report:?}")),
        }
    }
}
