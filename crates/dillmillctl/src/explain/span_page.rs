//! The report on a span of time as an HTML page.

use super::plot::{self, Series};
use super::span_report::SpanReport;

const DECISIONS: &[Series] = &[
    ("placed", |second| second.placed),
    ("waits", |second| second.waits),
    ("taken", |second| second.taken),
    ("moved", |second| second.moved),
    ("refused", |second| second.refused),
    ("reset", |second| second.reset),
    ("missing", |second| second.missing),
];
const MEMBERS: &[Series] = &[("changes of members", |second| second.members)];
const LEFT_OUT: &[Series] = &[("decisions not logged", |second| second.left_out)];

/// Renders a report as an HTML page with plots over time.
#[derive(Debug)]
pub(crate) struct SpanPage<'a>(&'a SpanReport);

impl<'a> SpanPage<'a> {
    /// Creates the page for a report.
    pub(crate) fn new(report: &'a SpanReport) -> Self {
        Self(report)
    }

    /// Returns the page as HTML that needs no other files.
    ///
    /// # Errors
    ///
    /// Returns why a plot can't be drawn.
    pub(crate) fn html(&self) -> Result<String, String> {
        let mut plots = String::new();
        let parts =
            [("Decisions on flows", DECISIONS), ("Members", MEMBERS), ("Left out", LEFT_OUT)];
        for (title, series) in parts {
            plots += &plot::plot(title, &self.0.seconds, series)?;
        }
        let report = self.0.to_string();
        let text = html_escape::encode_text(&report);
        Ok(format!(
            "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"><title>dillmill: what became \
             of flows</title></head>\n<body>\n{plots}\n<pre>{text}</pre>\n</body>\n</html>\n"
        ))
    }
}
