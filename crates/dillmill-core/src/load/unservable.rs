//! Decides which waiting opening packets can no longer be served within their callers' attempts.
//!
//! Responds to sustained demand beyond the slots of one target, when its queue holds more than the
//! target serves in three times the callers' timeout, so that balancers refuse all new flows that
//! could wait there. A refusal uses up an attempt, and callers begin their last attempts earlier,
//! with less time left than the agent knows of. In shorter queues, refusals cost up to 7 % of the
//! answers at twice the slots.

use std::time::Duration;

use crate::admission_level::all_refused_wait;
use crate::attempt_timeout::ATTEMPTS;
use crate::{Percent, Priority, Timestamp};

/// A waiting packet, in the order in which packets are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedTurn {
    /// Whether the answer can no longer be in time.
    pub late: bool,
    /// Whether the packet may be refused: it opens a flow, admission control is on for its route,
    /// it has waited for [`min_wait`], and the attempt is not known to be its caller's last one.
    pub refusable: bool,
    /// When the caller's attempt ends.
    pub attempt_ends: Timestamp,
    /// How long callers on the packet's route wait, all attempts included.
    pub timeout: Duration,
    /// Priority of the packet.
    pub priority: Priority,
    /// Percentage of turns kept for lower priorities.
    pub low_priority_share: Percent,
}

/// How fast a target serves its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainRate {
    /// Requests that must end before the first waiting packet is served.
    pub first_after: u32,
    /// Mean time between two requests that the target begins: service time by slots.
    pub interval: Duration,
}

impl DrainRate {
    /// Returns the time until a packet with `position` others ahead of it is served.
    fn turn(self, position: u32) -> Duration {
        self.interval.saturating_mul(self.first_after.saturating_add(position))
    }
}

/// A packet that can't be served within its caller's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unservable {
    /// Index of the packet in the order of the queue.
    pub index: usize,
    /// Time until its turn would come.
    pub turn: Duration,
}

/// Returns the packets to be refused, given all waiting packets in the order in which they are
/// served.
///
/// Later packets that overtake the present ones are not foreseen, and packets whose callers will
/// be gone do not count as ahead, so that a packet is refused too late rather than too early.
#[must_use]
pub fn unservable(turns: &[QueuedTurn], drain: DrainRate, now: Timestamp) -> Vec<Unservable> {
    let present = turns.iter().filter(|packet| packet.attempt_ends > now).count();
    let queue_time = drain.interval.saturating_mul(u32::try_from(present).unwrap_or(u32::MAX));
    let highest = turns.iter().map(|packet| packet.priority).min().unwrap_or_default();
    let (mut ahead, mut lower_ahead) = (0_u32, 0_u32);
    let mut lowest_kept = None;
    let mut refused = Vec::new();
    for (index, packet) in turns.iter().enumerate() {
        let lower = highest.is_above(packet.priority);
        let shared =
            if lower { shared_position(lower_ahead, packet.low_priority_share) } else { u32::MAX };
        let turn = drain.turn(ahead.min(shared));
        // The packet of a caller that has ended its attempt needs no refusal.
        let waits = packet.attempt_ends > now;
        if now + turn < packet.attempt_ends {
            ahead += 1;
            lowest_kept = lowest_kept.max(Some(packet.priority));
            lower_ahead += u32::from(lower);
        } else if waits
            && packet.late
            && packet.refusable
            && queue_time > all_refused_wait(packet.timeout)
        {
            refused.push(Unservable { index, turn });
        } else {
            lowest_kept = lowest_kept.max(Some(packet.priority));
        }
    }
    // No packet is refused while one of lower priority keeps its place.
    refused.retain(|lost| Some(turns[lost.index].priority) >= lowest_kept);
    refused
}

/// Returns how long a packet waits at least before it may be refused.
///
/// A refusal uses up an attempt, and a caller that is refused early in each attempt is gone when the
/// load falls. After this wait in each attempt, a caller has waited for its whole timeout.
#[must_use]
pub fn min_wait(timeout: Duration) -> Duration {
    timeout / ATTEMPTS
}

/// Returns the number of packets ahead of a packet of lower priority that has `lower_ahead` others
/// of lower priority ahead of it, by the share of turns kept for them.
fn shared_position(lower_ahead: u32, share: Percent) -> u32 {
    if share.0 == 0 {
        return u32::MAX;
    }
    (lower_ahead.saturating_add(1)).saturating_mul(100) / u32::from(share.0)
}
