//! Reading and parsing of the logs of processes.

mod log_line;
mod log_source;
mod log_time;

pub(crate) use log_line::LogLine;
pub(crate) use log_source::{LogSource, UnreadableLines};
pub(crate) use log_time::LogTime;
