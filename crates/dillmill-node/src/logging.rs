//! JSON lines on standard error.

use std::io;

use log::LevelFilter;
use serde_json::json;
use simplelog::{ConfigBuilder, WriteLogger};

use crate::LogLevel;
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

/// Starts logging. A second call changes nothing.
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
    let _ = WriteLogger::init(level.into(), config, io::stderr());
}

/// Formats one line.
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
