//! Spans of time given on the command line.

use std::str::FromStr;

use crate::logs::LogTime;

/// A span of time, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Span {
    pub(super) from: LogTime,
    pub(super) to: LogTime,
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (from, to) = text.split_once("..").ok_or("a span is FROM..TO in Unix seconds")?;
        let time = |part: &str| part.parse::<LogTime>().map_err(|e| e.to_string());
        let span = Self { from: time(from)?, to: time(to)? };
        if span.to < span.from { Err(format!("{text} ends before it begins")) } else { Ok(span) }
    }
}

impl Span {
    /// Returns whether `at` is within the span.
    pub(super) fn contains(self, at: LogTime) -> bool {
        self.from <= at && at <= self.to
    }
}
