//! Why a waiting packet left the queue.

use std::fmt;
use std::str::FromStr;

use dillmill_core::open_queue::TakeReason;
use serde::{Serialize, Serializer};

/// Label of packets that leave the queue because the target takes no new flows.
const NO_NEW_FLOWS: &str = "target takes no new flows";

/// Why a waiting packet left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TurnReason {
    /// The packet was next in the order.
    Next(TakeReason),
    /// The target takes no new flows, so the queue was emptied.
    NoNewFlows,
}

impl TurnReason {
    /// Returns the reason in a sentence's words.
    pub(crate) fn meaning(self) -> &'static str {
        match self {
            Self::Next(TakeReason::LastChance) => "little of its caller's time remains",
            Self::Next(TakeReason::InTime) => "its answer can be in time",
            Self::Next(TakeReason::Late) => "its answer will be late",
            Self::Next(TakeReason::LowPriorityTurn) => "the turn is kept for lower priorities",
            Self::Next(TakeReason::Abandoned) => "its caller has probably given up",
            Self::NoNewFlows => "the target takes no new flows",
        }
    }
}

impl FromStr for TurnReason {
    type Err = ();

    fn from_str(label: &str) -> Result<Self, ()> {
        let next = TakeReason::ALL.into_iter().find(|reason| reason.label() == label);
        let emptied = (label == NO_NEW_FLOWS).then_some(Self::NoNewFlows);
        next.map(Self::Next).or(emptied).ok_or(())
    }
}

impl fmt::Display for TurnReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Next(reason) => reason.label(),
            Self::NoNewFlows => NO_NEW_FLOWS,
        })
    }
}

impl Serialize for TurnReason {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
