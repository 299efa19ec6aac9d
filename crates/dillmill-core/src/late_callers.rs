//! Callers whose next opening packet brings a request that is late already.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::Timestamp;
use crate::generations::Generations;

/// A caller tries again some milliseconds after a reset; the rest is for its way through the routers.
const RETRY_WITHIN: Duration = Duration::from_millis(50);
/// Callers remembered in one generation.
const CAPACITY: usize = 4096;

/// The callers that were just told that the flow on which they waited is over.
///
/// They open another one at once for the same request. It has waited for long by then and can't be answered in time,
/// but may soon be lost for good, so it goes before others where opening packets wait.
#[derive(Debug)]
pub struct LateCallers {
    told: Generations<Ipv4Addr, (Timestamp, u32)>,
}

impl Default for LateCallers {
    fn default() -> Self {
        Self { told: Generations::new(RETRY_WITHIN, CAPACITY) }
    }
}

impl LateCallers {
    /// Notes that a caller is told that a flow is over on which it waited for an answer.
    pub fn told(&mut self, caller: Ipv4Addr, now: Timestamp) {
        let flows = self.told.peek(&caller).map_or(0, |(_, flows)| *flows);
        self.told.insert(caller, (now, flows + 1), now);
    }

    /// Returns whether an opening packet of `caller` is the next try of a late request; each flow that was over
    /// counts once.
    pub fn tries_again(&mut self, caller: Ipv4Addr, now: Timestamp) -> bool {
        let Some((at, flows)) = self.told.get_mut(&caller, now) else { return false };
        if now.since(*at) > RETRY_WITHIN || *flows == 0 {
            return false;
        }
        *flows -= 1;
        true
    }
}
