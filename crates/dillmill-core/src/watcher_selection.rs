//! Which processes hold a watch at the platform.
//!
//! A waiting watch counts as a call, and the platform's rates grow more slowly than the fleet. So
//! the number of watchers is fixed: in each term the processes with the lowest hashes watch, and
//! all others hear from them. No message is needed for that; a watcher that dies is replaced as
//! soon as the others hold it for down, and meanwhile the rest watch.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ProcessId, Timestamp};

/// Watches that the whole fleet holds unless set otherwise.
pub const WATCHERS: usize = 24;
/// How long the same processes watch.
pub const TERM: Duration = Duration::from_secs(20);

/// Returns whether `me` is among the `watchers` processes that watch in the term of `now`.
///
/// `others` are the processes not known to be down.
///
/// ```
/// use dillmill_core::{ProcessId, Timestamp, watch_duty::watches};
///
/// let all: Vec<ProcessId> = (1..=100).map(ProcessId).collect();
/// let watching = all
///     .iter()
///     .filter(|me| watches(**me, all.iter().copied(), 5, Timestamp::default()))
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
