//! Evaluation of the logs of all processes: the path of one flow, or the flows of a span of time.

mod flow_end;
mod flow_path;
mod flow_report;
mod gaps;
mod overload_decision;
mod plot;
mod process_vms;
mod second;
mod span;
mod span_page;
mod span_report;
mod span_tally;
mod turn_reason;

pub(crate) use flow_path::FlowPath;
pub(crate) use span::Span;
pub(crate) use span_page::SpanPage;
pub(crate) use span_tally::SpanTally;
