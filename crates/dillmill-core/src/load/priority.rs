//! Defines the priority of the requests on a route, and the classes in which load reports count them.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Priority of the requests on a route; 0 is the highest. A route that states none has the lowest.
///
/// ```
/// use dillmill_core::Priority;
///
/// let payment: Priority = "1".parse()?;
/// assert!(payment.is_above(Priority::default()));
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The lowest priority.
    pub const LOWEST: Self = Self(u8::MAX);

    /// Returns whether requests of this priority go before those of `other`.
    #[must_use]
    pub fn is_above(self, other: Self) -> bool {
        self < other
    }

    /// Returns the class in which a load report counts this priority.
    #[must_use]
    pub fn class(self) -> usize {
        usize::from(self.0).min(PRIORITY_CLASSES - 1)
    }
}

/// Number of classes in which load reports count waiting requests: priorities 0, 1 and 2, and all
/// below.
pub const PRIORITY_CLASSES: usize = 4;

impl Default for Priority {
    fn default() -> Self {
        Self::LOWEST
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Priority {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
