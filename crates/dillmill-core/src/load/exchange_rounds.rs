//! Schedules the exchange of loads between the agents of a service: when, and with which siblings.
//!
//! Responds to an agent whose target is full or for which packets wait; an idle agent sends nothing. The cost of an agent does not depend on the size of the service: requests and replies are both
//! limited to two per interval.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::membership::RandomIndex;
use crate::{AgentTable, ProcessId, ServiceTag, Timestamp};

/// Interval between two exchanges of an agent.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Siblings asked per exchange. The better of two random ones is much better than one; more bring little.
const SIBLINGS_ASKED: usize = 2;
/// One exchange in this number asks a sibling in another data centre.
const FAR_EVERY: u32 = 4;
/// Time in which an agent may send one more reply: on average as many as it sends requests.
const REPLY_INTERVAL: Duration = Duration::from_millis(50);
/// Replies that an agent may send in a row. In a large service, the siblings that ask within one
/// interval are rarely more.
const MAX_REPLY_BURST: u32 = 4;

/// Maximum number of siblings that are remembered, about as many as the largest services have. Without
/// an entry a sibling is asked once more whether it exchanges loads.
const MAX_KNOWN: usize = 1024;

/// A sibling with which an agent exchanges loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangePeer {
    /// Control address of the sibling.
    pub control: SocketAddrV4,
    /// Whether the sibling has exchanged loads before. One that has not may run an earlier version and
    /// is first sent a message that each version knows.
    pub known: bool,
}

/// State of an agent's exchanges.
#[derive(Debug, Clone, Default)]
pub struct ExchangeRounds {
    /// Siblings that have exchanged loads.
    known: HashSet<ProcessId>,
    /// When the next exchange is due.
    next: Timestamp,
    /// Number of exchanges so far.
    round: u32,
    /// Replies that may be sent now.
    replies_left: u32,
    /// When replies were last added.
    replies_refilled: Timestamp,
}

impl ExchangeRounds {
    /// Returns whether the next exchange is due, if the agent is under pressure.
    #[must_use]
    pub fn due(&self, now: Timestamp) -> bool {
        now >= self.next
    }

    /// Begins an exchange; returns the siblings of `me` to ask.
    pub fn begin(
        &mut self,
        me: ProcessId,
        service: ServiceTag,
        agents: &AgentTable,
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Vec<ExchangePeer> {
        // A check that comes late does not delay the exchanges after it.
        let punctual = now.since(self.next) < EXCHANGE_INTERVAL;
        self.next = if punctual { self.next } else { now } + EXCHANGE_INTERVAL;
        self.round = self.round.wrapping_add(1);
        let siblings = agents.taking_new(service).filter(|a| a.process != me);
        let (mut near, mut far): (Vec<_>, Vec<_>) = siblings.partition(|a| a.near);
        let asks_far = self.round.is_multiple_of(FAR_EVERY);
        let near_count = if asks_far && !far.is_empty() { 1 } else { SIBLINGS_ASKED };
        let mut asked = Vec::with_capacity(SIBLINGS_ASKED);
        while asked.len() < SIBLINGS_ASKED && !(near.is_empty() && far.is_empty()) {
            let pick_near = !near.is_empty() && (asked.len() < near_count || far.is_empty());
            let from = if pick_near { &mut near } else { &mut far };
            let sibling = from.swap_remove(draw(from.len()));
            let known = self.known.contains(&sibling.process);
            asked.push(ExchangePeer { control: sibling.control, known });
        }
        asked
    }

    /// Notes that a sibling has exchanged loads; returns whether this is the first time.
    ///
    /// The first load of a sibling replies to a request for the load (`AskLoad`), which does not carry
    /// this agent's own load. The message that sends it afterwards does not count as a reply.
    pub fn note_known(&mut self, process: ProcessId) -> bool {
        if self.known.len() >= MAX_KNOWN {
            self.known.clear();
        }
        self.known.insert(process)
    }

    /// Returns whether a sibling that asks for the load gets a reply, and counts the reply. The load that
    /// the sibling has sent with its request is recorded in any case.
    pub fn may_reply(&mut self, now: Timestamp) -> bool {
        let elapsed = now.since(self.replies_refilled);
        let gained = elapsed.as_millis() / REPLY_INTERVAL.as_millis();
        if gained >= u128::from(MAX_REPLY_BURST) {
            (self.replies_left, self.replies_refilled) = (MAX_REPLY_BURST, now);
        } else if let Ok(gained) = u32::try_from(gained) {
            self.replies_left = (self.replies_left + gained).min(MAX_REPLY_BURST);
            self.replies_refilled = self.replies_refilled + REPLY_INTERVAL * gained;
        }
        let allowed = self.replies_left > 0;
        self.replies_left = self.replies_left.saturating_sub(1);
        allowed
    }
}
