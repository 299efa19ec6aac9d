//! The verb `explain`, which reads logs only and sends no requests to processes.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use dillmill_core::FlowTuple;
use serde::Serialize;

use super::print_json;
use crate::error::CtlError;
use crate::explain::{FlowPath, Span, SpanPage, SpanTally};
use crate::logs::LogSource;
use crate::output::out;

/// Subject of an explanation: one flow or a span of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Subject {
    Flow(FlowTuple),
    /// A span, with the file to which the report is also written as an HTML page with plots.
    Span(Span, Option<PathBuf>),
}

pub(crate) fn explain(subject: &Subject, logs: &LogSource, json: bool) -> Result<(), CtlError> {
    match subject {
        Subject::Flow(flow) => explain_flow(*flow, logs, json),
        Subject::Span(span, page) => explain_span(*span, page.as_deref(), logs, json),
    }
}

fn explain_flow(flow: FlowTuple, logs: &LogSource, json: bool) -> Result<(), CtlError> {
    let mut path = FlowPath::new(flow);
    let unreadable = logs.read(|line| path.add_line(&line))?;
    let path = path.sorted();
    if path.is_empty() {
        let remarks = unreadable.remarks().join("; ");
        return Err(CtlError::Input(format!("no line is about {flow}. {remarks}")));
    }
    print(&path.report(&unreadable), json);
    Ok(())
}

fn explain_span(
    span: Span,
    page: Option<&Path>,
    logs: &LogSource,
    json: bool,
) -> Result<(), CtlError> {
    let mut tally = SpanTally::new(span);
    let unreadable = logs.read(|line| tally.add_line(&line))?;
    let report = tally.report(&unreadable);
    if let Some(file) = page {
        let html = SpanPage::new(&report).html().map_err(CtlError::Input)?;
        let failed = |e| CtlError::Input(format!("write {}: {e}", file.display()));
        fs::write(file, html).map_err(failed)?;
    }
    print(&report, json);
    Ok(())
}

fn print(report: &(impl Serialize + fmt::Display), json: bool) {
    if json {
        print_json(report);
    } else {
        out!("{report}");
    }
}
