//! Counts of one second.

use serde::Serialize;

/// Numbers of decisions on flows, changes of members and unlogged decisions in one second.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Second {
    pub(super) placed: u64,
    pub(super) waits: u64,
    pub(super) taken: u64,
    pub(super) moved: u64,
    pub(super) refused: u64,
    pub(super) reset: u64,
    pub(super) missing: u64,
    pub(super) members: u64,
    pub(super) left_out: u64,
}

impl Second {
    /// Counts a decision on a flow. A reset that was held back is not counted, as its caller did not get it.
    pub(super) fn count(&mut self, decided: &str) {
        let counter = match decided.split(' ').next() {
            Some("placed") => &mut self.placed,
            Some("waits") => &mut self.waits,
            Some("taken") => &mut self.taken,
            Some("moved") => &mut self.moved,
            Some("refused") => &mut self.refused,
            Some("reset") if decided != "reset held back" => &mut self.reset,
            Some("missing") => &mut self.missing,
            _ => return,
        };
        *counter += 1;
    }
}
