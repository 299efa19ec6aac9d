//! The path of one flow through the processes, collected from their logs.

use std::collections::BTreeSet;

use dillmill_core::FlowTuple;

use super::flow_end::FlowEnd;
use super::flow_report::{FlowDecision, FlowReport};
use super::gaps::Gaps;
use super::overload_decision::OverloadDecision;
use super::process_vms::ProcessVms;
use crate::logs::{LogLine, LogTime, UnreadableLines};

/// One logged decision on the flow.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Step {
    at: LogTime,
    vm: String,
    decided: String,
    cause: String,
}

/// Collects the logged decisions on one flow.
#[derive(Debug)]
pub(crate) struct FlowPath {
    flow: FlowTuple,
    steps: Vec<Step>,
    vms: ProcessVms,
    gaps: Gaps,
}

impl FlowPath {
    /// Creates an empty path of `flow`.
    pub(crate) fn new(flow: FlowTuple) -> Self {
        Self { flow, steps: Vec::new(), vms: ProcessVms::default(), gaps: Gaps::default() }
    }

    /// Adds a log line of any process.
    pub(crate) fn add_line(&mut self, line: &LogLine) {
        self.vms.add_line(line);
        self.gaps.add_line(line);
        if let Some((flow, decided)) = line.flow_decision()
            && flow == self.flow
        {
            self.steps.push(Step {
                at: line.at,
                vm: line.vm.clone(),
                decided: decided.to_owned(),
                cause: line.cause.clone(),
            });
        }
    }

    /// Sorts the steps by time; to be called after all lines are added.
    #[must_use]
    pub(crate) fn sorted(mut self) -> Self {
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Returns whether no log line was about the flow.
    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the end of the flow: that of the last step, unless an earlier one takes precedence.
    fn end(&self) -> Option<FlowEnd> {
        self.steps.iter().fold(None, |before: Option<FlowEnd>, step| {
            let end = FlowEnd::of(&step.decided, &step.cause);
            match before {
                Some(before) if before.takes_precedence_over(&end) => Some(before),
                _ => Some(end),
            }
        })
    }

    /// Returns remarks on what the logs lack: unreadable lines, gaps, and processes whose start is not
    /// logged.
    fn remarks(&self, unreadable: &UnreadableLines) -> Vec<String> {
        let mut remarks = unreadable.remarks();
        if let (Some(first), Some(last)) = (self.steps.first(), self.steps.last()) {
            remarks.extend(self.gaps.remarks(first.at, last.at));
        }
        if !self.vms.is_empty() {
            let unknown = |process: &&str| self.vms.vm(process).is_none();
            let missing: BTreeSet<&str> =
                self.steps.iter().filter_map(Step::placed_at).filter(unknown).collect();
            remarks.extend(missing.into_iter().map(|process| {
                format!("no start of process {process} is logged: its lines may be missing")
            }));
        }
        remarks
    }

    /// Returns the report to print.
    pub(crate) fn report(&self, unreadable: &UnreadableLines) -> FlowReport {
        let end = self.end();
        FlowReport {
            flow: self.flow.to_string(),
            page: end.as_ref().map(FlowEnd::page),
            end: end.map(|end| end.to_string()),
            decisions: self.steps.iter().map(|step| self.decision(step)).collect(),
            remarks: self.remarks(unreadable),
        }
    }

    fn decision(&self, step: &Step) -> FlowDecision {
        let first = self.steps.first().map_or(step.at, |first| first.at);
        let after = step.at.since(first).as_millis();
        FlowDecision {
            at: step.at.to_string(),
            after_ms: u64::try_from(after).unwrap_or(u64::MAX),
            vm: step.vm.clone(),
            decided: step.decided.clone(),
            placed_on: step.placed_at().and_then(|process| self.vms.vm(process)).map(str::to_owned),
            cause: step.cause.clone(),
            overload: OverloadDecision::parse(&step.decided, &step.cause),
        }
    }
}

impl Step {
    /// Returns the id of the process at which this step placed the flow.
    fn placed_at(&self) -> Option<&str> {
        self.decided.strip_prefix("placed at ")
    }
}
