//! Opening packets that wait at an agent, as its target has more to do than it can in time.
//!
//! A refused caller tries again at once, some tries in a row, and then gives its request up. One whose opening
//! packet waits is served as soon as there is room: those that can still be served in time first, the newest of them
//! before the others, and the late ones when the target would have nothing to do otherwise.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{Envelope, FlowTuple, Timestamp};

/// A caller waits 1.4 s for the answer to its opening packet; after this time it would come too late.
const LONGEST: Duration = Duration::from_millis(1200);
/// Opening packets that wait at most: a target of 5 slots takes 120 of 50 ms in the longest wait.
const CAPACITY: usize = 120;

/// How long a caller has waited when it sends a copy of its opening packet.
const COPIES_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];

/// Returns since when the caller waits whose opening packet came at `now` after so many others.
#[must_use]
pub fn waiting_since(copies: u32, now: Timestamp) -> Timestamp {
    let i = usize::try_from(copies).unwrap_or(usize::MAX).min(COPIES_AFTER.len() - 1);
    now - COPIES_AFTER[i]
}

/// An opening packet that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingOpen {
    /// Its flow.
    pub flow: FlowTuple,
    /// The packet.
    pub packet: Vec<u8>,
    /// What came with it.
    pub envelope: Envelope,
    /// Time that it may spend here and behind the requests of the target to be served in time.
    pub limit: Duration,
    /// Since when its caller waits.
    pub since: Timestamp,
}

/// The opening packets that wait at one agent, oldest first.
#[derive(Debug, Default)]
pub struct OpenQueue {
    waiting: VecDeque<WaitingOpen>,
}

impl OpenQueue {
    /// Returns whether the opening packet of `flow` waits here.
    #[must_use]
    pub fn contains(&self, flow: &FlowTuple) -> bool {
        self.waiting.iter().any(|open| open.flow == *flow)
    }

    /// Lets a packet wait, unless another copy of it does; returns the one that must be refused for it, if there are
    /// too many.
    pub fn push(&mut self, open: WaitingOpen) -> Option<WaitingOpen> {
        if self.contains(&open.flow) {
            return None;
        }
        let younger = self.waiting.iter().rev().take_while(|other| other.since > open.since);
        let at = self.waiting.len() - younger.count();
        self.waiting.insert(at, open);
        if self.waiting.len() > CAPACITY { self.waiting.pop_front() } else { None }
    }

    /// Forgets the opening packet of `flow`: a copy of it has gone another way.
    pub fn remove(&mut self, flow: &FlowTuple) {
        self.waiting.retain(|open| open.flow != *flow);
    }

    /// Returns the next packet that there is room for: behind `ahead`, the time that the target's requests take, or
    /// late, if the target is `idle` in part.
    pub fn take(&mut self, ahead: Duration, idle: bool, now: Timestamp) -> Option<WaitingOpen> {
        let in_time = |open: &WaitingOpen| now.since(open.since) + ahead <= open.limit;
        let newest = self.waiting.iter().rposition(in_time);
        let next = newest.or_else(|| (idle && !self.waiting.is_empty()).then_some(0))?;
        self.waiting.remove(next)
    }

    /// Returns the packets that have waited so long that their callers have given up, or are about to.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<WaitingOpen> {
        let expired = self.waiting.iter().take_while(|open| now.since(open.since) >= LONGEST);
        let n = expired.count();
        self.waiting.drain(..n).collect()
    }

    /// Returns all packets: there is nothing to wait for here any more.
    pub fn take_all(&mut self) -> Vec<WaitingOpen> {
        self.waiting.drain(..).collect()
    }

    /// Returns the number of packets that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no packet waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
