//! Classification of how a flow ended.

use std::fmt;

use super::overload_decision::OverloadDecision;
use super::turn_reason::TurnReason;

/// How a flow ended, as far as it is logged. Causes have their numbers replaced by `N`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FlowEnd {
    /// A reset was sent to its caller; holds the cause.
    Reset(String),
    /// It was refused or dropped; holds the cause.
    Refused(String),
    /// Admission control refused it; holds the kind of the refusal.
    RefusedForOverload(String),
    /// Its target reset it.
    ResetByTarget,
    /// Its last packet waits at an agent or a balancer.
    Waits,
    /// No process held it, and no reset was sent to its caller.
    Missing,
    /// Its packets were given to the target. Whether the target answered is not logged.
    AtTarget,
    /// It was being passed between processes.
    InTransit,
}

impl FlowEnd {
    /// Returns the end of a flow whose last logged decision is `decided`.
    pub(crate) fn of(decided: &str, cause: &str) -> Self {
        let taken = |reason| match reason {
            TurnReason::Next(_) => Self::AtTarget,
            TurnReason::NoNewFlows => Self::InTransit,
        };
        match OverloadDecision::parse(decided, cause) {
            Some(OverloadDecision::Taken { reason, .. }) => return taken(reason),
            Some(refusal) if refusal.is_refusal() => {
                return Self::RefusedForOverload(refusal.label());
            }
            _ => {}
        }
        let first_word = decided.split(' ').next().unwrap_or_default();
        match (first_word, decided) {
            ("reset", "reset passed on") => Self::ResetByTarget,
            ("given" | "tried", _) | ("reset", "reset held back") => Self::AtTarget,
            ("reset", _) => Self::Reset(without_numbers(cause)),
            ("refused" | "dropped", _) => Self::Refused(without_numbers(cause)),
            ("waits", _) => Self::Waits,
            ("missing", _) => Self::Missing,
            _ => Self::InTransit,
        }
    }

    /// Returns whether this end is reported instead of one that another process logged later.
    ///
    /// The agent logs the reason of a refusal; the balancer's reset that follows names only the agent that
    /// refused.
    pub(crate) fn takes_precedence_over(&self, later: &Self) -> bool {
        let is_relayed = |cause: &String| cause.starts_with("refused behind");
        match (self, later) {
            (Self::Refused(_) | Self::RefusedForOverload(_), Self::Reset(cause)) => {
                is_relayed(cause)
            }
            _ => false,
        }
    }

    /// Returns the title of the section of docs/OPERATIONS.md that covers this end.
    pub(crate) fn page(&self) -> &'static str {
        match self {
            Self::Refused(_) => "1. A new flow is refused",
            Self::RefusedForOverload(_) => "4. Decisions under overload",
            Self::Reset(_) | Self::Missing | Self::ResetByTarget | Self::InTransit => {
                "2. An open flow ends without an answer"
            }
            Self::AtTarget | Self::Waits => "3. An answer comes late",
        }
    }
}

impl fmt::Display for FlowEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reset(why) => write!(f, "reset: {why}"),
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::RefusedForOverload(label) => f.write_str(label),
            Self::ResetByTarget => f.write_str("reset by its target"),
            Self::Waits => f.write_str("waits"),
            Self::Missing => f.write_str("nobody holds it, its caller was not told"),
            Self::AtTarget => f.write_str("with its target (answers are not logged)"),
            Self::InTransit => f.write_str("on its way between processes"),
        }
    }
}

/// Replaces process ids and counts by `N`, so that causes that differ only in these are counted together.
fn without_numbers(cause: &str) -> String {
    let is_number = |word: &str| {
        let digits = word.bytes().filter(u8::is_ascii_digit).count();
        let is_hex = word.len() == 16 && word.bytes().all(|b| b.is_ascii_hexdigit());
        is_hex || (digits > 0 && digits == word.len())
    };
    let words = cause.split(' ').map(|word| if is_number(word) { "N" } else { word });
    words.collect::<Vec<_>>().join(" ")
}
