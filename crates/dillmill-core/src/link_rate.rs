//! How fast a VM's link is.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Bytes that a datagram takes on the wire besides its content: heads of Ethernet, IP and UDP, preamble and gap.
///
/// Ten datagrams of 1,234 bytes took 5.2 ms each on a link of 2 Mbit/s: 1,300 bytes.
pub const DATAGRAM_OVERHEAD: usize = 66;

/// Rate of a link, in bits a second.
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

/// A text that is no rate of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkRateError(String);

impl LinkRate {
    /// Creates a rate of `mbps` million bits a second; `None` where that is no rate, as the link is not limited then.
    #[must_use]
    pub fn from_mbps(mbps: f64) -> Option<Self> {
        // A million bits a second are as many bits as a second has microseconds.
        let bits = Duration::try_from_secs_f64(mbps).ok()?.as_micros();
        u64::try_from(bits).ok().filter(|bits| *bits >= 8).map(Self)
    }

    /// Returns the rate in million bits a second.
    #[must_use]
    pub fn mbps(self) -> f64 {
        Duration::from_micros(self.0).as_secs_f64()
    }

    /// Returns the bytes that pass in `span`.
    #[must_use]
    pub fn bytes_in(self, span: Duration) -> i64 {
        let bytes = u128::from(self.0) * span.as_micros() / 8_000_000;
        i64::try_from(bytes).unwrap_or(i64::MAX)
    }

    /// Returns the time that `bytes` take.
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
        write!(f, "{:?} is no rate such as \"20 Mbit/s\"", self.0)
    }
}

impl std::error::Error for LinkRateError {}
