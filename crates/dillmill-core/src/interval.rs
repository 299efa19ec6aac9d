//! Durations as written in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration, written as a whole number and a unit: `250ms`, `3s`, `10m` or `2h`.
///
/// ```
/// use std::time::Duration;
/// use dillmill_core::Interval;
///
/// let i: Interval = "250ms".parse()?;
/// assert_eq!(i.duration(), Duration::from_millis(250));
/// assert_eq!(i.to_string(), "250ms");
/// assert!("3 parsecs".parse::<Interval>().is_err());
/// # Ok::<(), dillmill_core::interval::IntervalError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Interval(u64);

/// Error for text that is not a valid [`Interval`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a length of time: write a whole number and ms, s, m or h, such as 250ms")]
pub struct IntervalError(String);

impl Interval {
    /// Creates an interval of `ms` milliseconds.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the interval as a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Interval> for Duration {
    fn from(i: Interval) -> Self {
        i.duration()
    }
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0ms"),
            n if n % 3_600_000 == 0 => write!(f, "{}h", n / 3_600_000),
            n if n % 60_000 == 0 => write!(f, "{}m", n / 60_000),
            n if n % 1000 == 0 => write!(f, "{}s", n / 1000),
            n => write!(f, "{n}ms"),
        }
    }
}

impl FromStr for Interval {
    type Err = IntervalError;

    fn from_str(text: &str) -> Result<Self, IntervalError> {
        let refuse = || IntervalError(text.to_owned());
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(refuse)?;
        let (digits, unit) = text.split_at(split);
        let n: u64 = digits.parse().map_err(|_| refuse())?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(refuse()),
        };
        n.checked_mul(factor).map(Self).ok_or_else(refuse)
    }
}

impl TryFrom<String> for Interval {
    type Error = IntervalError;

    fn try_from(text: String) -> Result<Self, IntervalError> {
        text.parse()
    }
}

impl From<Interval> for String {
    fn from(i: Interval) -> Self {
        i.to_string()
    }
}
