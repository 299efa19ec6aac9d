//! Writes the log as JSON lines to standard output.

use std::io::{self, LineWriter};
use std::sync::OnceLock;

use log::LevelFilter;
use serde_json::json;
use simplelog::{ConfigBuilder, WriteLogger};

use crate::LogLevel;
use crate::log_writer::LogWriter;
use dillmill_core::Timestamp;

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

static WRITER: OnceLock<LogWriter> = OnceLock::new();

/// Starts logging. Further calls have no effect.
pub fn start(level: LogLevel) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_level_padding(simplelog::LevelPadding::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("dillmill")
        .build();
    let Ok(writer) = LogWriter::spawn(io::stdout()) else { return };
    let writer = WRITER.get_or_init(|| writer);
    let _ = WriteLogger::init(level.into(), config, LineWriter::new(writer.clone()));
}

/// Waits, for a limited time, until all lines so far are written; called at the end of a process.
pub fn flush() {
    if let Some(writer) = WRITER.get() {
        writer.wait_until_written();
    }
}

/// Formats one log line.
#[must_use]
pub fn line(
    at: Timestamp,
    level: log::Level,
    vm: &str,
    kind: &str,
    what: &str,
    cause: &str,
) -> String {
    json!({
        "at": at.to_string(),
        "level": level.as_str().to_ascii_lowercase(),
        "vm": vm,
        "kind": kind,
        "what": what,
        "cause": cause,
    })
    .to_string()
}
