//! Which processes talk to the platform's store.
//!
//! Its rates grow more slowly than the fleet and each call is paid for, so the number of processes that
//! talk to it is fixed. Everybody else hears from them. The same rule gives the same answer everywhere
//! without a message: the lowest hashes among the processes that the store does not turn away. One that
//! dies or is turned away says so, or falls silent, and the next takes its place.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, MemberStatus, ProcessId, Role, StoreReach};

/// Processes that keep an entry in the store, through which others join. Enough that some are left when
/// a third of the fleet is turned away at once.
pub const REGISTERED_PROCESSES: usize = 6;
/// Keepers that watch the configuration besides.
pub const WATCHERS: usize = 3;
/// A process that the store has turned away may be asked to try again after this time.
pub const RETRY_AFTER: Duration = Duration::from_secs(10);

/// Returns whether `me` is among the `n` that talk to the store.
///
/// Agents come before balancers, which run on thin VMs. When the store answers nobody, the first go on
/// asking, so that its return is noticed.
///
/// ```
/// use dillmill_core::store_duty;
///
/// assert!(store_duty::WATCHERS < store_duty::KEEPERS);
/// ```
#[must_use]
pub fn is_selected<'a>(
    me: ProcessId,
    members: impl Iterator<Item = &'a Member> + Clone,
    n: usize,
) -> bool {
    let alive = members.filter(|m| m.status < MemberStatus::Suspect);
    let able = alive.clone().filter(|m| m.store != StoreReach::Fails);
    if able.clone().count() >= n { is_first(me, able, n) } else { is_first(me, alive, n) }
}

fn is_first<'a>(
    me: ProcessId,
    mut members: impl Iterator<Item = &'a Member> + Clone,
    n: usize,
) -> bool {
    let rank =
        |m: &Member| (m.role == Role::Balancer, xxh3_64(&m.process.0.to_le_bytes()), m.process);
    let Some(mine) = members.clone().find(|m| m.process == me).map(rank) else { return false };
    // Most processes have found enough others before them after a few.
    members.by_ref().filter(|m| rank(m) < mine).take(n).count() < n
}
