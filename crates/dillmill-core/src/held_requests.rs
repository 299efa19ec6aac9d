//! Requests of open flows that wait while their target is cold.
//!
//! A target may turn cold beside its open flows, as after an evacuation, and their callers go on asking: of 9 targets that carried 10
//! requests a second and had some 55 flows each, 3 fell over at once, with all their flows. A request that comes a moment later is
//! answered; its caller sends it again meanwhile, so that nothing is lost if it is dropped here.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{Envelope, FlowTuple, Timestamp};

/// Requests that wait at most, some 300 bytes each: a target holds 100 flows in calm hours.
const CAPACITY: usize = 400;
/// A request that has waited longer is dropped: its caller has sent it again twice, and the last copy comes later.
const LONGEST: Duration = Duration::from_millis(1400);

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRequest {
    /// Its flow.
    pub flow: FlowTuple,
    /// Its first packet.
    pub packet: Vec<u8>,
    /// What came with it.
    pub envelope: Envelope,
    /// Since when it waits.
    pub since: Timestamp,
}

/// The requests that wait, the oldest first.
#[derive(Debug, Default)]
pub struct HeldRequests {
    held: VecDeque<HeldRequest>,
}

impl HeldRequests {
    /// Lets a request wait. A copy of one that waits is dropped, and so is one for which there is no place.
    pub fn push(&mut self, request: HeldRequest) {
        let known = self.held.iter().any(|held| held.flow == request.flow);
        if !known && self.held.len() < CAPACITY {
            self.held.push_back(request);
        }
    }

    /// Returns the request that has waited for the longest time.
    pub fn take(&mut self, now: Timestamp) -> Option<HeldRequest> {
        while let Some(next) = self.held.pop_front() {
            if now.since(next.since) < LONGEST {
                return Some(next);
            }
        }
        None
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
