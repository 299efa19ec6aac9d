use std::collections::BTreeSet;

use dillmill_core::FlowTuple;

use super::flow_end::FlowEnd;
use super::flow_report::{FlowDecision, FlowReport};
use super::gaps::Gaps;
use super::process_vms::ProcessNames;
use crate::logs::{LogLine, LogTime, Unreadable};

/// One decision on the flow.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Step {
    at: LogTime,
    vm: String,
    decided: String,
    cause: String,
}

/// All that the logs tell of one flow.
#[derive(Debug)]
pub(crate) struct FlowPath {
    flow: FlowTuple,
    steps: Vec<Step>,
    names: ProcessNames,
    gaps: Gaps,
}

impl FlowPath {
    /// Creates the path of `flow`, without any line.
    pub(crate) fn new(flow: FlowTuple) -> Self {
        Self { flow, steps: Vec::new(), names: ProcessNames::default(), gaps: Gaps::default() }
    }

    /// Takes in a line of any process.
    pub(crate) fn note(&mut self, line: &LogLine) {
        self.names.note(line);
        self.gaps.note(line);
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

    /// Puts the steps in order once all lines are in.
    #[must_use]
    pub(crate) fn sorted(mut self) -> Self {
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Returns whether no line is about the flow.
    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    fn end(&self) -> Option<FlowEnd> {
        self.steps.iter().fold(None, |before: Option<FlowEnd>, step| {
            let end = FlowEnd::of(&step.decided, &step.cause);
            match before {
                Some(before) if before.explains(&end) => Some(before),
                _ => Some(end),
            }
        })
    }

    /// Returns what the reader should know besides the steps.
    fn remarks(&self, unreadable: &Unreadable) -> Vec<String> {
        let mut remarks = unreadable.remarks();
        if let (Some(first), Some(last)) = (self.steps.first(), self.steps.last()) {
            remarks.extend(self.gaps.remarks(first.at, last.at));
        }
        if !self.names.is_empty() {
            let unknown = |process: &&str| self.names.vm(process).is_none();
            let missing: BTreeSet<&str> =
                self.steps.iter().filter_map(Step::placed_at).filter(unknown).collect();
            remarks.extend(missing.into_iter().map(|process| {
                format!("no start of process {process} is logged: its lines may be missing")
            }));
        }
        remarks
    }

    /// Returns what is printed.
    pub(crate) fn report(&self, unreadable: &Unreadable) -> FlowReport {
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
            placed_on: step
                .placed_at()
                .and_then(|process| self.names.vm(process))
                .map(str::to_owned),
            cause: step.cause.clone(),
        }
    }
}

impl Step {
    fn placed_at(&self) -> Option<&str> {
        self.decided.strip_prefix("placed at ")
    }
}
