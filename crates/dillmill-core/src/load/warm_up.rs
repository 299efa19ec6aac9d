//! Ramps up the slots of a target that has just started.

use std::time::Duration;

use crate::{Slots, Timestamp};

/// Returns the slots that a target has `now` if it has accepted connections since `since`.
///
/// A cold target is slow, so it gets its slots one by one over `warm_up`, the first one at once.
///
/// ```
/// use std::time::Duration;
/// use dillmill_core::{Slots, Timestamp, warm_up::slots};
///
/// let start = Timestamp::from_millis(1000);
/// let after = |ms| slots(Slots(5), Duration::from_secs(5), start, start + Duration::from_millis(ms));
/// assert_eq!(after(0), Slots(1));
/// assert_eq!(after(3000), Slots(3));
/// assert_eq!(after(5000), Slots(5));
/// ```
#[must_use]
pub fn slots(full: Slots, warm_up: Duration, since: Timestamp, now: Timestamp) -> Slots {
    let warm = now.since(since);
    if warm >= warm_up {
        return full;
    }
    let part = u128::from(full.0) * warm.as_millis() / warm_up.as_millis().max(1);
    Slots(u16::try_from(part).unwrap_or(full.0).max(1).min(full.0))
}
