//! Event log of one process: a ring buffer of events with their causes.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// Category of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started or stopped.
    Process,
    /// A settings revision came into force.
    Settings,
    /// The status of a member changed.
    Member,
    /// A flow began, ended or was forwarded to another agent.
    Flow,
    /// A request was refused, handed over, or ended with an unknown outcome.
    Request,
    /// The platform stopped answering or answered again.
    Platform,
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Process => "process",
            Self::Settings => "settings",
            Self::Member => "member",
            Self::Flow => "flow",
            Self::Request => "request",
            Self::Platform => "platform",
        })
    }
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event, by the clock of the process.
    pub at: Timestamp,
    /// Sequence number within the process, starting at 1.
    pub seq: u64,
    /// Category.
    pub kind: EventKind,
    /// What happened.
    pub what: String,
    /// Why it happened.
    pub cause: String,
}

/// The most recent events of a process.
#[derive(Debug)]
pub struct EventLog {
    events: VecDeque<Event>,
    capacity: usize,
    last_seq: u64,
}

impl EventLog {
    /// Creates a log that keeps the last `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { events: VecDeque::with_capacity(capacity), capacity, last_seq: 0 }
    }

    /// Appends an event; a full log drops its oldest one.
    pub fn push(&mut self, now: Timestamp, kind: EventKind, what: String, cause: String) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.last_seq += 1;
        self.events.push_back(Event { at: now, seq: self.last_seq, kind, what, cause });
    }

    /// Returns the kept events, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }
}
