//! How an agent that has become a directory hears of the flows that it is to remember for others.
//!
//! It becomes one when it starts, or when a target comes to an agent that had none. That it has not heard of a flow
//! proves something only once all agents have told it of theirs. So it asks each one, until all have answered.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::{AgentTable, ProcessId, Timestamp};

/// Agents asked at once: an answer is mostly a few bytes.
const AT_ONCE: usize = 32;
/// Time until an agent that has not answered is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(400);

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
    /// Begins to ask all `agents` other than `me`, which has been a directory from `since` on; call it when they are all
    /// there are.
    ///
    /// If none of them is older, all have started together: they know each other's directories from the first flow on,
    /// and nobody has anything to tell.
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

    /// Returns the control addresses of agents that are to be asked now; call it every 100 ms or so.
    pub fn take_due(&mut self, agents: &AgentTable, now: Timestamp) -> Vec<SocketAddrV4> {
        // Flows of an agent that is gone can't be asked for, and one that starts again begins with its directories.
        self.unanswered.retain(|process, _| agents.get(*process).is_some());
        let due = |u: &&mut Unanswered| u.asked.is_none_or(|at| now.since(at) >= ASK_AGAIN);
        let due = self.unanswered.values_mut().filter(due).take(AT_ONCE);
        due.map(|unanswered| {
            unanswered.asked = Some(now);
            unanswered.control
        })
        .collect()
    }

    /// Takes in that an agent has told of all its flows.
    pub fn answered(&mut self, process: ProcessId) {
        self.unanswered.remove(&process);
    }

    /// Returns whether all agents have told.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.begun && self.unanswered.is_empty()
    }
}
