//! Gaps in the logs: decisions that were not logged, and clocks that went back.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::logs::{LogLine, LogTime};

/// Number of VMs listed by name with their unlogged decisions; the others are added up in one remark.
const MAX_NAMED_VMS: usize = 5;

/// Counts of unlogged decisions and clocks that went back, by VM.
#[derive(Debug, Default)]
pub(crate) struct Gaps {
    left_out: BTreeMap<String, Vec<(LogTime, u64)>>,
    newest: HashMap<String, LogTime>,
    went_back: BTreeMap<String, LogTime>,
}

impl Gaps {
    /// Adds a log line; the lines of one process must come in the order in which it wrote them.
    pub(crate) fn add_line(&mut self, line: &LogLine) {
        if let Some(count) = line.left_out() {
            self.left_out.entry(line.vm.clone()).or_default().push((line.at, count));
        }
        let newest = self.newest.entry(line.vm.clone()).or_insert(line.at);
        if line.at < *newest {
            self.went_back.entry(line.vm.clone()).or_insert(line.at);
        }
        *newest = line.at;
    }

    /// Returns remarks on the decisions not logged in a span of time, and on each clock that went back.
    pub(crate) fn remarks(&self, from: LogTime, to: LogTime) -> Vec<String> {
        let back = self.went_back.iter().map(|(vm, at)| {
            format!("the clock of {vm} went back to {at}: its lines may stand at the wrong place")
        });
        self.left_out_remarks(from, to).into_iter().chain(back).collect()
    }

    /// Returns a remark for each of the VMs with the most unlogged decisions, and one for the others
    /// together.
    fn left_out_remarks(&self, from: LogTime, to: LogTime) -> Vec<String> {
        // A process writes the count together with the next line that it logs, mostly one second later.
        let within = |at: LogTime| from.second() <= at.second() && at.second() <= to.second() + 1;
        let sum = |counts: &Vec<(LogTime, u64)>| -> u64 {
            counts.iter().filter(|(at, _)| within(*at)).map(|(_, n)| n).sum()
        };
        let sums = self.left_out.iter().map(|(vm, counts)| (sum(counts), vm));
        let mut sums: Vec<(u64, &String)> = sums.filter(|(n, _)| *n > 0).collect();
        sums.sort_by_key(|(n, _)| Reverse(*n));
        let named = sums.iter().take(MAX_NAMED_VMS);
        let mut remarks: Vec<String> =
            named.map(|(n, vm)| format!("{vm} has left out {n} decisions in this time")).collect();
        let others = &sums[sums.len().min(MAX_NAMED_VMS)..];
        if !others.is_empty() {
            let n: u64 = others.iter().map(|(n, _)| n).sum();
            remarks.push(format!("{} other VMs have left out {n}", others.len()));
        }
        remarks
    }
}
