//! Collects the existing records for an agent that has become a directory.
//!
//! An agent becomes a directory when it starts, or when it gets a target after it had none. That it
//! has no record of a flow proves something only once all agents have told it of their flows. So it
//! asks each agent until all have answered.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::{AgentTable, ProcessId, Timestamp};

/// Maximum number of agents asked in one call. Most answers are a few bytes.
const MAX_ASKED_PER_CALL: usize = 32;
/// Time until an agent that has not answered is asked again.
const ASK_RETRY_DELAY: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Unanswered {
    control: SocketAddrV4,
    asked: Option<Timestamp>,
}

/// The agents that have not told yet which flows they hold.
#[derive(Debug, Default)]
pub struct DirectoryCatchUp {
    begun: bool,
    unanswered: BTreeMap<ProcessId, Unanswered>,
}

impl DirectoryCatchUp {
    /// Starts to ask all `agents` other than `me`, which has been a directory since `since`. Call
    /// it once the table of agents is complete.
    ///
    /// If no agent is older, all have started together. They have known each other as directories
    /// from the first flow on, so there are no records to collect.
    pub fn begin(&mut self, agents: &AgentTable, me: ProcessId, since: Timestamp) {
        if self.begun {
            return;
        }
        self.begun = true;
        if !agents.any_started_before(since) {
            return;
        }
        let others = agents.iter().filter(|a| a.process != me);
        let unanswered = |control| Unanswered { control, asked: None };
        self.unanswered = others.map(|a| (a.process, unanswered(a.control))).collect();
    }

    /// Returns the control addresses of the agents to ask now. Call it about every 100 ms.
    pub fn take_due(&mut self, agents: &AgentTable, now: Timestamp) -> Vec<SocketAddrV4> {
        // The flows of an agent that is gone cannot be asked for, and an agent that starts again
        // registers its flows with its directories from the start.
        self.unanswered.retain(|process, _| agents.get(*process).is_some());
        let due = |u: &&mut Unanswered| u.asked.is_none_or(|at| now.since(at) >= ASK_RETRY_DELAY);
        let due = self.unanswered.values_mut().filter(due).take(MAX_ASKED_PER_CALL);
        due.map(|unanswered| {
            unanswered.asked = Some(now);
            unanswered.control
        })
        .collect()
    }

    /// Notes that an agent has told of all its flows.
    pub fn answered(&mut self, process: ProcessId) {
        self.unanswered.remove(&process);
    }

    /// Returns whether all agents have answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.begun && self.unanswered.is_empty()
    }
}
