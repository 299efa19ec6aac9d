//! The printed report on one flow.

use std::fmt;

use serde::Serialize;

use super::overload_decision::OverloadDecision;

/// Column of what a decision means, that of the decision above it.
const MEANING_INDENT: usize = 47;

/// The path of a flow and its end, printed as text or JSON.
#[derive(Debug, Serialize)]
pub(crate) struct FlowReport {
    pub(super) flow: String,
    pub(super) end: Option<String>,
    /// Title of the section of docs/OPERATIONS.md to read next.
    pub(super) page: Option<&'static str>,
    pub(super) decisions: Vec<FlowDecision>,
    pub(super) remarks: Vec<String>,
}

/// One decision on a flow, printed as text or JSON.
#[derive(Debug, Serialize)]
pub(crate) struct FlowDecision {
    pub(super) at: String,
    /// Milliseconds since the first decision.
    pub(super) after_ms: u64,
    pub(super) vm: String,
    pub(super) decided: String,
    /// VM of the process at which this decision placed the flow.
    pub(super) placed_on: Option<String>,
    pub(super) cause: String,
    /// The values of a decision under overload.
    pub(super) overload: Option<OverloadDecision>,
}

impl fmt::Display for FlowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, {} decisions", self.flow, self.decisions.len())?;
        self.decisions.iter().try_for_each(|decision| writeln!(f, "{decision}"))?;
        if let (Some(end), Some(page)) = (&self.end, self.page) {
            writeln!(f, "end: {end}\nsee docs/OPERATIONS.md, \"{page}\"")?;
        }
        self.remarks.iter().try_for_each(|remark| writeln!(f, "note: {remark}"))
    }
}

impl fmt::Display for FlowDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:>7} ms  {:<16} {}", self.at, self.after_ms, self.vm, self.decided)?;
        if let Some(vm) = &self.placed_on {
            write!(f, " on {vm}")?;
        }
        if !self.cause.is_empty() {
            write!(f, " ({})", self.cause)?;
        }
        match &self.overload {
            Some(overload) => write!(f, "\n{:>MEANING_INDENT$}{overload}", ""),
            None => Ok(()),
        }
    }
}
