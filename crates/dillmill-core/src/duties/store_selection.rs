//! Selects the processes that use the platform's store.
//!
//! The store's rate limits grow more slowly than the fleet and each call is paid for, so the number of
//! processes that use the store is fixed; all others get its content from them. Every process applies the
//! same rule and needs no messages to agree: the processes with the lowest hashes among those that the
//! store does not reject are selected. If one of them dies or is rejected, its record says so or it stops
//! answering, and the next process replaces it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{CheckOrder, Member, MemberStatus, ProcessId, Role, StoreReach};

/// Number of processes that keep an entry in the store, through which others join. The number is large
/// enough that some remain if the store rejects a third of the fleet at once.
pub const REGISTERED_PROCESSES: usize = 6;
/// Number of the registered processes that also watch the configuration.
pub const WATCHERS: usize = 3;
/// Time after which a process that the store has rejected may be selected to try again.
pub const RETRY_AFTER: Duration = Duration::from_secs(10);

/// Returns whether `me` is among the `n` processes selected to use the store.
///
/// Agents are preferred to balancers, which run on small VMs. If fewer than `n` processes can reach the
/// store, those that it rejects are considered as well. Even when it answers nobody, some processes thus
/// keep calling it and notice its return.
///
/// ```
/// use dillmill_core::store_selection;
///
/// assert!(store_selection::WATCHERS < store_selection::REGISTERED_PROCESSES);
/// ```
#[must_use]
pub fn is_selected<'a>(
    me: ProcessId,
    members: impl Iterator<Item = &'a Member> + Clone,
    n: usize,
) -> bool {
    let alive = members.filter(|m| m.status < MemberStatus::Suspect);
    let reachable = alive.clone().filter(|m| m.store != StoreReach::Fails);
    if reachable.clone().count() >= n { is_first(me, reachable, n) } else { is_first(me, alive, n) }
}

/// Returns the place of `me` among the processes that check the store, in the order in which they are
/// selected. A process that the store rejects comes last.
#[must_use]
pub fn check_order<'a>(me: &Member, members: impl Iterator<Item = &'a Member>) -> CheckOrder {
    if me.store == StoreReach::Fails {
        return CheckOrder::LAST;
    }
    let mine = rank(me);
    let mut order = CheckOrder { before: 0, all: 0 };
    let reachable = |m: &&Member| m.status < MemberStatus::Suspect && m.store != StoreReach::Fails;
    for member in members.filter(reachable) {
        order.all += 1;
        order.before += usize::from(rank(member) < mine);
    }
    order
}

fn rank(member: &Member) -> (bool, u64, ProcessId) {
    let hash = xxh3_64(&member.process.0.to_le_bytes());
    (member.role == Role::Balancer, hash, member.process)
}

fn is_first<'a>(
    me: ProcessId,
    mut members: impl Iterator<Item = &'a Member> + Clone,
    n: usize,
) -> bool {
    let Some(mine) = members.clone().find(|m| m.process == me).map(rank) else { return false };
    // Most processes find `n` others that rank before them within the first few records.
    members.by_ref().filter(|m| rank(m) < mine).take(n).count() < n
}
