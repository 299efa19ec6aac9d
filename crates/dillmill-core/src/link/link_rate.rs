//! Defines the rate of a VM's link.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Bytes that a datagram takes on the wire in addition to its payload: Ethernet, IP and UDP
/// headers, preamble and interframe gap.
///
/// On a 2 Mbit/s link, ten datagrams of 1,234 bytes took 5.2 ms each, which is 1,300 bytes.
pub const DATAGRAM_OVERHEAD: usize = 66;

/// Rate of a link, in bits per second.
///
/// ```
/// use dillmill_core::LinkRate;
///
/// let rate: LinkRate = "2.5 Mbit/s".parse()?;
/// assert_eq!(rate.bytes_in(std::time::Duration::from_secs(1)), 312_500);
/// assert_eq!(rate.to_string(), "2.5 Mbit/s");
/// # Ok::<(), dillmill_core::LinkRateError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkRate(u64);

/// Error returned when a text is not a valid link rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkRateError(String);

impl LinkRate {
    /// Creates a rate of `mbps` million bits per second. Returns `None` if that is not a valid
    /// rate; the link is then unlimited.
    #[must_use]
    pub fn from_mbps(mbps: f64) -> Option<Self> {
        // As a duration in seconds, `mbps` has as many microseconds as the rate has bits per
        // second.
        let bits = Duration::try_from_secs_f64(mbps).ok()?.as_micros();
        u64::try_from(bits).ok().filter(|bits| *bits >= 8).map(Self)
    }

    /// Returns the rate in millions of bits per second.
    #[must_use]
    pub fn mbps(self) -> f64 {
        Duration::from_micros(self.0).as_secs_f64()
    }

    /// Returns the number of bytes that the link carries in `span`.
    #[must_use]
    pub fn bytes_in(self, span: Duration) -> i64 {
        let bytes = u128::from(self.0) * span.as_micros() / 8_000_000;
        i64::try_from(bytes).unwrap_or(i64::MAX)
    }

    /// Returns the time that the link needs for `bytes`.
    #[must_use]
    pub fn time_for(self, bytes: i64) -> Duration {
        let bits = u128::try_from(bytes).unwrap_or(0) * 8_000_000;
        Duration::from_micros(u64::try_from(bits / u128::from(self.0)).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.mbps())
    }
}

impl FromStr for LinkRate {
    type Err = LinkRateError;

    fn from_str(text: &str) -> Result<Self, LinkRateError> {
        let number = text.strip_suffix("Mbit/s").map(str::trim);
        let mbps = number.and_then(|number| number.parse().ok());
        mbps.and_then(Self::from_mbps).ok_or_else(|| LinkRateError(text.to_owned()))
    }
}

impl fmt::Display for LinkRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid link rate {:?}: expected a rate such as \"20 Mbit/s\"", self.0)
    }
}

impl std::error::Error for LinkRateError {}
