//! Decides whether a view contains all processes of the fleet.

use std::time::Duration;

use super::{Membership, StoredSize};
use crate::Timestamp;

/// For this long after its start a process contacts seeds, probes and synchronises more often, as it
/// knows few others yet.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Time after which all processes of a fleet that starts at once are running. They normally start within
/// 0.3 s; the rest of the time is a margin for slow ones.
const ALL_STARTED: Duration = Duration::from_secs(1);
/// Time without a new process after which a view counts as complete. A starting process is known to most
/// others after about 100 ms, and synchronises its records with a peer at that interval.
const NO_NEWCOMER: Duration = Duration::from_millis(400);
/// As [`NO_NEWCOMER`], for a process whose records match a peer's, but before [`ALL_STARTED`] has
/// passed. A match alone is not enough: the first two processes to start hold the same records and know
/// nobody else. Used also as the minimum age of the process.
const NO_NEWCOMER_DIGEST_MATCH: Duration = Duration::from_millis(300);

/// As [`NO_NEWCOMER`], for a view that has reached the stored fleet size.
const NO_NEWCOMER_COUNTED: Duration = Duration::from_millis(100);

impl Membership {
    /// Returns whether the view contains all processes, as far as this process can tell.
    ///
    /// A process that has just started considers its view complete in one of three cases: it knows as
    /// many processes as the stored fleet size, a peer holds the same records, or it has heard of no new
    /// process for a while. The last case is needed because records change constantly after a restart of
    /// the whole fleet, so that for seconds no two processes hold the same ones.
    #[must_use]
    pub fn settled(&self, now: Timestamp) -> bool {
        !self.is_starting(now)
            || self.knows_stored_size(now)
            || self.last_digest_matched
                && self.no_newcomer_for(NO_NEWCOMER_DIGEST_MATCH, NO_NEWCOMER_DIGEST_MATCH, now)
            || self.no_newcomer_for(ALL_STARTED, NO_NEWCOMER, now)
    }

    pub(super) fn knows_stored_size(&self, now: Timestamp) -> bool {
        let stored = usize::try_from(self.stored_size.size.0).unwrap_or(usize::MAX);
        // The fleet may have grown beyond the stored size, so further processes may still appear.
        let quiet = self.last_newcomer_at.is_some_and(|at| now.since(at) >= NO_NEWCOMER_COUNTED);
        stored > 0 && self.fleet() >= stored && quiet
    }

    /// Returns whether this process has run for `age` and has heard of no new process for `quiet`, with
    /// at least one digest received since the last new process.
    pub(super) fn no_newcomer_for(&self, age: Duration, quiet: Duration, now: Timestamp) -> bool {
        let old_enough = self.first_tick.is_some_and(|first| now.since(first) >= age);
        let quiet_since = |newcomer: Timestamp| {
            let compared = self.last_digest_at.is_some_and(|compared| compared > newcomer);
            compared && now.since(newcomer) >= quiet
        };
        old_enough && self.last_newcomer_at.is_some_and(quiet_since)
    }

    pub(super) fn is_starting(&self, now: Timestamp) -> bool {
        self.first_tick.is_none_or(|first| now.since(first) < STARTUP_PERIOD)
    }

    /// Returns the newest known fleet size from the store.
    #[must_use]
    pub fn stored_size(&self) -> StoredSize {
        self.stored_size
    }

    /// Sets the fleet size read from the store, unless a newer one is known.
    pub fn set_stored_size(&mut self, stored: StoredSize) {
        if stored.version > self.stored_size.version {
            self.stored_size = stored;
        }
    }
}
