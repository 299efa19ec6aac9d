//! Counts and logs store entries that another writer has left and that can't be used.

use dillmill_core::EventKind;
use dillmill_node::NodeHandle;
use dillmill_platform::UnreadableEntry;

/// Most log lines for one response of the store; further entries are only counted.
const MAX_LINES: usize = 4;

/// Counts and logs entries that can't be decoded.
pub(crate) fn record_entries(handle: &NodeHandle, entries: &[UnreadableEntry]) {
    for entry in entries.iter().take(MAX_LINES) {
        record_entry(handle, &entry.key, &entry.reason);
    }
    let rest = entries.len().saturating_sub(MAX_LINES);
    handle.metrics.platform_unreadable.inc_by(u64::try_from(rest).unwrap_or(u64::MAX));
}

/// Counts and logs one entry that can't be used.
pub(crate) fn record_entry(handle: &NodeHandle, key: &str, reason: &str) {
    handle.metrics.platform_unreadable.inc();
    handle.journal.record(EventKind::Platform, format!("entry `{key}` not used"), reason);
}
