//! Limits the turns that last chances, requests with little of their timeout left, get while packets
//! wait that can be answered in time.

use super::serving_order::WHOLE_TURN;

/// Hundredths of a turn for last chances that each turn earns. Under a lasting overload all surplus
/// requests come to their last chance, and each of their turns makes another request late.
const EARNED_PER_TURN: u32 = 15;
/// Maximum number of turns that are saved up: about a second of a target with 3 slots and requests
/// of 50 ms. When an overload ends soon, the requests that are overtaken by last chances are still
/// served, while last chances that get no turn end unserved.
const MAX_SAVED_TURNS: u32 = 50;

/// Turns that last chances may take from packets that can be answered in time.
#[derive(Debug)]
pub(super) struct LastChanceTurns {
    /// Hundredths of a turn.
    saved: u32,
    /// Whether the latest turn for which both competed went to a last chance.
    taken: bool,
}

impl Default for LastChanceTurns {
    fn default() -> Self {
        Self { saved: MAX_SAVED_TURNS * WHOLE_TURN, taken: false }
    }
}

impl LastChanceTurns {
    /// Counts a turn of any packet.
    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_TURN).min(MAX_SAVED_TURNS * WHOLE_TURN);
    }

    /// Returns whether a last chance gets a turn for which a packet that can be answered in time
    /// competes. Last chances get at most every second of these turns, as the packets that compete
    /// may have a higher priority.
    pub(super) fn next(&mut self) -> bool {
        self.taken = !self.taken && self.saved >= WHOLE_TURN;
        if self.taken {
            self.saved -= WHOLE_TURN;
        }
        self.taken
    }
}
