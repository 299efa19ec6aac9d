//! One log line of a process, parsed from JSON.

use dillmill_core::FlowTuple;
use serde::Deserialize;

use super::LogTime;

/// A parsed line of a process's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogLine {
    pub(crate) at: LogTime,
    pub(crate) vm: String,
    pub(crate) kind: String,
    pub(crate) what: String,
    pub(crate) cause: String,
}

/// A log line in the JSON form in which processes write it.
#[derive(Deserialize)]
struct JsonLine {
    at: String,
    vm: String,
    kind: String,
    what: String,
    #[serde(default)]
    cause: String,
}

impl LogLine {
    /// Parses a line. A prefix before the JSON object, as log collectors add it, is skipped.
    ///
    /// # Errors
    ///
    /// Returns why the text is not a log line of a process.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let start = text.find('{').ok_or("no JSON object")?;
        let line: JsonLine =
            serde_json::from_str(text[start..].trim_end()).map_err(|e| e.to_string())?;
        let at = line.at.parse().map_err(|e: <LogTime as std::str::FromStr>::Err| e.to_string())?;
        Ok(Self { at, vm: line.vm, kind: line.kind, what: line.what, cause: line.cause })
    }

    /// Returns the flow that the line is about and the decision on it.
    pub(crate) fn flow_decision(&self) -> Option<(FlowTuple, &str)> {
        let (flow, decided) = self.what.split_once(' ')?;
        Some((flow.parse().ok()?, decided))
    }

    /// Returns the number of decisions that the process did not log before this line, if the line reports
    /// it.
    pub(crate) fn left_out(&self) -> Option<u64> {
        self.what.strip_suffix(" decisions not logged")?.parse().ok()
    }
}
