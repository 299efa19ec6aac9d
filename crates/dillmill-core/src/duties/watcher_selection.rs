//! Selects the processes that hold a watch at the platform.
//!
//! A waiting watch counts as a call, and the platform's rate limits grow more slowly than the fleet. The
//! number of watchers is therefore fixed: in each term, the processes with the lowest hashes watch, and
//! all others get the changes from them. This needs no messages. A watcher that dies is replaced as soon
//! as the other processes have declared it down; until then the remaining watchers continue.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ProcessId, Timestamp};

/// Default number of watches held by the whole fleet.
pub const WATCHERS: usize = 24;
/// Duration of a term, after which other processes are selected.
pub const TERM: Duration = Duration::from_secs(20);

/// Returns whether `me` is among the `watchers` processes that watch in the term of `now`.
///
/// `others` are the processes not known to be down.
///
/// ```
/// use dillmill_core::{ProcessId, Timestamp, watcher_selection::is_watcher};
///
/// let all: Vec<ProcessId> = (1..=100).map(ProcessId).collect();
/// let watching = all
///     .iter()
///     .filter(|me| is_watcher(**me, all.iter().copied(), 5, Timestamp::default()))
///     .count();
/// assert_eq!(watching, 5);
/// ```
#[must_use]
pub fn is_watcher(
    me: ProcessId,
    others: impl Iterator<Item = ProcessId>,
    watchers: usize,
    now: Timestamp,
) -> bool {
    let term = now.0 / u64::try_from(TERM.as_micros()).unwrap_or(u64::MAX);
    let rank = |process: ProcessId| (xxh3_64_with_seed(&process.0.to_le_bytes(), term), process);
    let own = rank(me);
    others.filter(|other| rank(*other) < own).take(watchers).count() < watchers
}
