//! Counts of flow ends and decisions in a span of time.

use std::collections::{BTreeMap, HashMap};

use dillmill_core::FlowTuple;

use super::flow_end::FlowEnd;
use super::gaps::Gaps;
use super::overload_decision::OverloadDecision;
use super::second::Second;
use super::span::Span;
use super::span_report::SpanReport;
use crate::logs::{LogLine, LogTime, UnreadableLines};

/// The decision that determines how a flow ended.
#[derive(Debug)]
struct FinalDecision {
    at: LogTime,
    end: FlowEnd,
    vm: String,
}

/// Counts how the flows of a span of time ended, and the decisions in each second.
#[derive(Debug)]
pub(crate) struct SpanTally {
    span: Span,
    ends: HashMap<FlowTuple, FinalDecision>,
    overload: BTreeMap<String, u64>,
    seconds: BTreeMap<u64, Second>,
    gaps: Gaps,
}

impl SpanTally {
    /// Creates an empty tally of `span`.
    pub(crate) fn new(span: Span) -> Self {
        Self {
            span,
            ends: HashMap::new(),
            overload: BTreeMap::new(),
            seconds: BTreeMap::new(),
            gaps: Gaps::default(),
        }
    }

    /// Adds a log line of any process; lines outside the span count only for the remarks on gaps.
    pub(crate) fn add_line(&mut self, line: &LogLine) {
        self.gaps.add_line(line);
        if !self.span.contains(line.at) {
            return;
        }
        let second = self.seconds.entry(line.at.second()).or_default();
        second.left_out += line.left_out().unwrap_or(0);
        if line.kind == "member" {
            second.members += 1;
        }
        let Some((flow, decided)) = line.flow_decision() else { return };
        second.count(decided);
        if let Some(overload) = OverloadDecision::parse(decided, &line.cause) {
            *self.overload.entry(overload.label()).or_default() += 1;
        }
        self.update_end(flow, line, FlowEnd::of(decided, &line.cause));
    }

    /// Updates the end of a flow. Lines are read file by file, so a line that was logged later may have
    /// been read earlier.
    fn update_end(&mut self, flow: FlowTuple, line: &LogLine, end: FlowEnd) {
        let keep_existing = self.ends.get(&flow).is_some_and(|last| {
            if last.at > line.at {
                !end.takes_precedence_over(&last.end)
            } else {
                last.end.takes_precedence_over(&end)
            }
        });
        if !keep_existing {
            self.ends.insert(flow, FinalDecision { at: line.at, end, vm: line.vm.clone() });
        }
    }

    /// Returns the report to print.
    pub(crate) fn report(&self, unreadable: &UnreadableLines) -> SpanReport {
        let mut by_end = BTreeMap::new();
        let mut by_route: BTreeMap<String, BTreeMap<String, u64>> = BTreeMap::new();
        let mut by_vm = BTreeMap::new();
        for (flow, FinalDecision { end, vm, .. }) in &self.ends {
            *by_end.entry(end.to_string()).or_default() += 1;
            let route = by_route.entry(flow.route().to_string()).or_default();
            *route.entry(end.to_string()).or_default() += 1;
            if !matches!(end, FlowEnd::AtTarget | FlowEnd::InTransit) {
                *by_vm.entry(vm.clone()).or_default() += 1;
            }
        }
        let mut remarks = unreadable.remarks();
        remarks.extend(self.gaps.remarks(self.span.from, self.span.to));
        SpanReport {
            flows: self.ends.len(),
            by_end,
            by_route,
            by_vm,
            overload: self.overload.clone(),
            seconds: self.seconds.clone(),
            remarks,
        }
    }
}
