//! Which processes hold a watch at the platform.
//!
//! A waiting watch counts as a call, and the platform's rates grow more slowly than the fleet. So
//! the number of watchers is fixed: in each term every process hashes itself and watches when it
//! falls below the wanted share of the fleet. No message is needed, and a watcher that dies is
//! replaced when the term ends; meanwhile the others watch.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ProcessId, Timestamp};

/// Watches that the whole fleet holds on average.
pub const WATCHERS: usize = 24;
/// How long a share of watchers stays the same.
pub const TERM: Duration = Duration::from_secs(20);

/// Returns whether `process` watches in the term of `now`, in a fleet of `fleet` processes.
#[must_use]
pub fn watches(process: ProcessId, fleet: usize, now: Timestamp) -> bool {
    if fleet <= WATCHERS {
        return true;
    }
    let term = now.0 / u64::try_from(TERM.as_micros()).unwrap_or(u64::MAX);
    let hash = xxh3_64_with_seed(&process.0.to_le_bytes(), term);
    u128::from(hash) * (fleet as u128) < (WATCHERS as u128) << 64
}
