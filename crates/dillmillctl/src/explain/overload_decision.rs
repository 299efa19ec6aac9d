//! Decisions under overload, read from log lines.

use std::fmt;

use serde::Serialize;

use super::turn_reason::TurnReason;

/// A logged decision under overload with the values that led to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub(crate) enum OverloadDecision {
    /// The turn of a waiting packet came.
    Taken { reason: TurnReason, priority: u8, waited_ms: u64 },
    /// An opening packet was passed from a busy target to another agent. The waits are absent if the
    /// load of that agent was not known.
    Passed { waits: Option<Waits> },
    /// A waiting opening packet was moved to a sibling.
    Moved { waited_ms: u64, waits: Option<Waits> },
    /// An agent refused a waiting opening packet.
    Unservable { turn_ms: u64, waited_ms: u64, attempt_timeout_ms: u64 },
    /// A balancer refused a new flow. Routes without a timeout have none.
    Refused { service: String, class: u8, wait_ms: u64, timeout_ms: Option<u64>, level_percent: u8 },
}

/// Expected waits of one more request at two agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[expect(
    clippy::struct_field_names,
    reason = "the names are keys of the JSON output, with the unit"
)]
pub(crate) struct Waits {
    own_ms: u64,
    sibling_ms: u64,
    /// Age of the sibling's report.
    report_age_ms: u64,
}

impl OverloadDecision {
    /// Reads a decision and its cause; `None` if the line is no decision under overload, or was written
    /// by a version with other values.
    pub(crate) fn parse(decided: &str, cause: &str) -> Option<Self> {
        let busy = ["Full,", "Crowded,"].iter().any(|reason| cause.starts_with(reason));
        match decided.split(' ').next()? {
            "taken" => Some(Self::Taken {
                reason: cause.split(',').next()?.parse().ok()?,
                priority: number_after(cause, ", priority ")?,
                waited_ms: number_after(cause, "has waited ")?,
            }),
            "passed" if busy => Some(Self::Passed { waits: Waits::parse(cause) }),
            "moved" => Some(Self::Moved {
                waited_ms: number_after(cause, "waited_ms: ")?,
                waits: Waits::parse(cause),
            }),
            "refused" if cause.starts_with("Unservable,") => Some(Self::Unservable {
                turn_ms: number_after(cause, "turn in ")?,
                waited_ms: number_after(cause, "has waited ")?,
                attempt_timeout_ms: number_after(cause, "callers wait ")?,
            }),
            "refused" => Some(Self::Refused {
                service: cause.strip_prefix("overload of service ")?.split_once(':')?.0.to_owned(),
                class: number_after(cause, ": class ")?,
                wait_ms: number_after(cause, " waits ")?,
                timeout_ms: number_after(cause, "timeout "),
                level_percent: number_after(cause, "level ")?,
            }),
            _ => None,
        }
    }

    /// Returns the kind of the decision under which it is counted.
    pub(crate) fn label(&self) -> String {
        match self {
            Self::Taken { reason, priority, .. } => {
                format!("taken from the queue: {reason}, priority {priority}")
            }
            Self::Passed { waits: Some(_) } => "passed to a sibling by its load".to_owned(),
            Self::Passed { waits: None } => "passed on, load not known".to_owned(),
            Self::Moved { .. } => "moved to a sibling".to_owned(),
            Self::Unservable { .. } => "refused: Unservable".to_owned(),
            Self::Refused { service, class, .. } => {
                format!("refused: overload of service {service}, class {class}")
            }
        }
    }

    /// Returns whether the decision refuses the flow.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(self, Self::Unservable { .. } | Self::Refused { .. })
    }
}

impl fmt::Display for OverloadDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Taken { reason, waited_ms, .. } => {
                write!(f, "left the queue after {waited_ms} ms: {}", reason.meaning())
            }
            Self::Passed { waits: None } => {
                f.write_str("the target is busy, and the load of the other agent is not known")
            }
            Self::Passed { waits: Some(waits) } => write!(f, "{waits}"),
            Self::Moved { waited_ms, waits } => {
                write!(f, "moved {waited_ms} ms after the start of the attempt")?;
                waits.map_or(Ok(()), |waits| write!(f, "; {waits}"))
            }
            Self::Unservable { turn_ms, waited_ms, attempt_timeout_ms } => write!(
                f,
                "its turn would come in {turn_ms} ms, {waited_ms} ms of the attempt's \
                 {attempt_timeout_ms} ms are over"
            ),
            Self::Refused { class, wait_ms, timeout_ms, level_percent, .. } => {
                write!(f, "requests of class {class} wait at least {wait_ms} ms at every agent, ")?;
                match timeout_ms {
                    Some(timeout_ms) => write!(f, "callers {timeout_ms} ms")?,
                    None => f.write_str("the route has no timeout")?,
                }
                write!(f, "; {level_percent} % of the class are refused")
            }
        }
    }
}

impl Waits {
    fn parse(cause: &str) -> Option<Self> {
        Some(Self {
            own_ms: number_after(cause, "wait here ")?,
            sibling_ms: number_after(cause, "at the sibling ")?,
            report_age_ms: number_after(cause, "reported ")?,
        })
    }
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { own_ms, sibling_ms, report_age_ms } = self;
        write!(
            f,
            "the next request waits {own_ms} ms here and {sibling_ms} ms at the sibling, as \
             reported {report_age_ms} ms before"
        )
    }
}

/// Returns the number that follows the first occurrence of `label`.
fn number_after<T: std::str::FromStr>(text: &str, label: &str) -> Option<T> {
    let (_, rest) = text.split_once(label)?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
