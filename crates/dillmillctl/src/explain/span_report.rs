//! The printed report on a span of time.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::second::Second;

/// Maximum number of rows of a table; the number of remaining rows is printed below.
const MAX_ROWS: usize = 20;

/// How the flows of a span of time ended, printed as text or JSON.
#[derive(Debug, Serialize)]
pub(crate) struct SpanReport {
    pub(super) flows: usize,
    pub(super) by_end: BTreeMap<String, u64>,
    pub(super) by_route: BTreeMap<String, BTreeMap<String, u64>>,
    pub(super) by_vm: BTreeMap<String, u64>,
    /// Decisions under overload by kind.
    pub(super) overload: BTreeMap<String, u64>,
    pub(super) seconds: BTreeMap<u64, Second>,
    pub(super) remarks: Vec<String>,
}

impl fmt::Display for SpanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} flows with a decision in this time", self.flows)?;
        writeln!(f, "\nhow they ended, as far as is logged")?;
        write_counts(f, &self.by_end)?;
        for (route, ends) in largest(&self.by_route, |ends| ends.values().sum()) {
            writeln!(f, "\nroute {route}")?;
            write_counts(f, ends)?;
        }
        writeln!(f, "\nVMs with refusals, resets, waits and lost flows")?;
        write_counts(f, &self.by_vm)?;
        if !self.overload.is_empty() {
            writeln!(f, "\ndecisions under overload")?;
            write_counts(f, &self.overload)?;
        }
        writeln!(
            f,
            "\n    second  placed   waits   taken   moved refused   reset missing members left out"
        )?;
        for (second, n) in &self.seconds {
            writeln!(
                f,
                "{second:>10} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8}",
                n.placed,
                n.waits,
                n.taken,
                n.moved,
                n.refused,
                n.reset,
                n.missing,
                n.members,
                n.left_out,
            )?;
        }
        self.remarks.iter().try_for_each(|remark| writeln!(f, "note: {remark}"))
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, counts: &BTreeMap<String, u64>) -> fmt::Result {
    for (name, n) in largest(counts, |n| *n) {
        writeln!(f, "{n:>8}  {name}")?;
    }
    let rest = counts.len().saturating_sub(MAX_ROWS);
    if rest > 0 { writeln!(f, "          and {rest} more") } else { Ok(()) }
}

/// Returns the entries with the largest sizes, at most [`MAX_ROWS`], in descending order.
fn largest<T>(counts: &BTreeMap<String, T>, size: impl Fn(&T) -> u64) -> Vec<(&String, &T)> {
    let mut rows: Vec<(&String, &T)> = counts.iter().collect();
    rows.sort_by_key(|(_, n)| std::cmp::Reverse(size(n)));
    rows.truncate(MAX_ROWS);
    rows
}
