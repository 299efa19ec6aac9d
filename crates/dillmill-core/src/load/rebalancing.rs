//! Chooses the siblings that serve an overloaded agent's opening packets sooner.
//!
//! Responds to a queue that is long at one agent while a sibling has free capacity. A packet goes to a
//! sibling only if it waits there for less time than here by a margin, which is larger for packets that
//! can be answered in time where they are. Each packet sent counts towards the sibling's load at once, so
//! an agent stops sending as soon as half of the difference is balanced, and two agents cannot swap their
//! load.

use std::time::Duration;

use crate::{AgentEntry, AgentLoad, AgentTable, ServiceTag, SiblingLoad, SiblingLoads, Timestamp};

/// Maximum number of times that a waiting packet is moved. The second move makes up for a report that was
/// out of date; more would cost callers more than they gain.
pub const MAX_MOVES: usize = 2;
/// Minimum advantage of a sibling: the transit between two agents and the pauses of a process take some
/// milliseconds.
const MIN_MARGIN: Duration = Duration::from_millis(5);
/// Multiple of a report's age that a sibling must save in addition for a packet that can be in time here.
/// Within 100 ms a target with two slots and 30 ms of work serves seven requests, so an old report says
/// little about the next wait. Without this part, 0.46 of all flows were passed on at full load.
const AGE_FACTOR: u32 = 2;
/// Part of a report's age (one over this number) that a sibling must save in addition for a packet that is
/// delayed here: going to a sibling in vain costs its caller less than staying in vain.
const DELAYED_AGE_DIVISOR: u32 = 8;

/// What a packet gains by going to a sibling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prospect {
    /// The packet is new and can be answered in time here, so it gains little.
    InTime,
    /// The packet waits here, or would be answered late here.
    Delayed,
}

/// Returns by how much a sibling's wait must be shorter than that of an agent with load `own`.
///
/// Traffic between data centres costs, so a far sibling must save the time of a whole request besides.
fn margin(own: &AgentLoad, near: bool, prospect: Prospect, report_age: Duration) -> Duration {
    let by_age = match prospect {
        Prospect::InTime => report_age * AGE_FACTOR,
        Prospect::Delayed => report_age / DELAYED_AGE_DIVISOR,
    };
    let near_margin = own.time_per_request().max(MIN_MARGIN) + by_age;
    if near { near_margin } else { near_margin + own.work }
}

/// Returns the siblings of `service` at which one more request waits less than `wait` by the margin of an
/// agent with load `own` for a packet with this prospect: the best one first.
#[must_use]
pub fn better_siblings<'a>(
    own: &AgentLoad,
    wait: Duration,
    prospect: Prospect,
    service: ServiceTag,
    agents: &'a AgentTable,
    siblings: &SiblingLoads,
    now: Timestamp,
) -> Vec<&'a AgentEntry> {
    let candidate = |known: &SiblingLoad| {
        let agent = agents.get(known.process())?;
        let open = agent.service == service && !agent.evacuated && known.takes_more();
        let load = known.load();
        let cost = load.wait_of_next() + margin(own, agent.near, prospect, now.since(known.at()));
        // Of several siblings with free slots, the one with the smallest share of busy slots is best.
        let busy = load.requests.saturating_mul(1000) / load.slots.max(1);
        (open && cost <= wait).then_some(((cost, busy), agent))
    };
    let mut better: Vec<_> = siblings.current(now).filter_map(candidate).collect();
    better.sort_by_key(|(cost, _)| *cost);
    better.into_iter().map(|(_, agent)| agent).collect()
}
