//! Timestamps of log lines.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

const MICROS_PER_SECOND: u64 = 1_000_000;
const FRACTION_DIGITS: usize = 6;

/// Unix time of a log line in microseconds, by the clock of the process that wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LogTime(u64);

impl LogTime {
    /// Returns the time since `earlier`, or zero if `earlier` is the later of the two.
    pub(crate) fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time in whole seconds, rounded down.
    pub(crate) fn second(self) -> u64 {
        self.0 / MICROS_PER_SECOND
    }
}

/// The text is not a Unix time in seconds.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no Unix time in seconds")]
pub(crate) struct LogTimeError(String);

impl FromStr for LogTime {
    type Err = LogTimeError;

    fn from_str(text: &str) -> Result<Self, LogTimeError> {
        let error = || LogTimeError(text.to_owned());
        let (seconds, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !digits(seconds) || !digits(fraction) {
            return Err(error());
        }
        let fraction: String = fraction.chars().take(FRACTION_DIGITS).collect();
        let micros: u64 = format!("{fraction:0<FRACTION_DIGITS$}").parse().map_err(|_| error())?;
        let seconds: u64 = seconds.parse().map_err(|_| error())?;
        let whole = seconds.checked_mul(MICROS_PER_SECOND).ok_or_else(error)?;
        Ok(Self(whole.checked_add(micros).ok_or_else(error)?))
    }
}

impl fmt::Display for LogTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / MICROS_PER_SECOND, self.0 % MICROS_PER_SECOND)
    }
}
