//! Settings that a node inherits unless it sets them: their defaults, permitted ranges and resolution.

use std::fmt;
use std::ops::RangeInclusive;

use dillmill_core::placement::Policy;
use dillmill_core::{Interval, Percent, Weight};
use serde::{Deserialize, Serialize};

use crate::NodePath;

/// Origin of an effective value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The value is set by a node of the tree.
    Node(NodePath),
    /// The value is the built-in default.
    Default,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(path) => write!(f, "{path}"),
            Self::Default => f.write_str("default"),
        }
    }
}

/// A value outside its permitted range, with the key that set it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutOfRange {
    /// Key of the value within its section.
    pub key: &'static str,
    /// Description of the problem.
    pub message: String,
}

macro_rules! inherited {
    (
        $(#[$doc:meta])* $given:ident -> $(#[$rdoc:meta])* $resolved:ident {
            $($(#[$fdoc:meta])* $field:ident: $ty:ty = $default:expr, $range:expr;)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $given {
            $($(#[$fdoc])* #[serde(skip_serializing_if = "Option::is_none")] pub $field: Option<$ty>,)*
        }

        $(#[$rdoc])*
        #[derive(Debug, Clone, PartialEq, Eq, Serialize)]
        pub struct $resolved {
            $($(#[$fdoc])* pub $field: $ty,)*
        }

        impl $given {
            /// Returns the values that are outside their permitted ranges.
            #[must_use]
            pub fn out_of_range(&self) -> Vec<OutOfRange> {
                let mut found = Vec::new();
                $(if let Some(value) = &self.$field {
                    let range: Option<RangeInclusive<$ty>> = $range;
                    if let Some(range) = range
                        && !range.contains(value)
                    {
                        found.push(OutOfRange {
                            key: stringify!($field),
                            message: format!(
                                "{} is {}; it must be from {} to {}",
                                stringify!($field), value, range.start(), range.end(),
                            ),
                        });
                    }
                })*
                found
            }
        }

        impl $resolved {
            /// Resolves each value from the first element of `chain` that sets it, or from the default.
            #[must_use]
            pub fn resolve(chain: &[&$given]) -> Self {
                Self {
                    $($field: chain
                        .iter()
                        .find_map(|given| given.$field.clone())
                        .unwrap_or($default),)*
                }
            }

            /// Returns each effective value as text, with its key and origin.
            #[must_use]
            pub fn explain(chain: &[(NodePath, &$given)]) -> Vec<(&'static str, String, Origin)> {
                vec![$({
                    let found = chain
                        .iter()
                        .find_map(|(path, given)| given.$field.clone().map(|v| (v, path)));
                    match found {
                        Some((value, path)) => {
                            (stringify!($field), value.to_string(), Origin::Node(path.clone()))
                        }
                        None => {
                            let value: $ty = $default;
                            (stringify!($field), value.to_string(), Origin::Default)
                        }
                    }
                }),*]
            }
        }
    };
}

const fn seconds(n: u64) -> Interval {
    Interval::from_millis(n * 1000)
}

/// Policy that selects the agent for a request, in the notation of the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Placement(pub Policy);

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Policy::Local => "local",
            Policy::LocalFirst => "local-first",
            Policy::PowerOfTwo => "power-of-two",
            Policy::LeastLoaded => "least-loaded",
        })
    }
}

inherited! {
    /// Limits that a node sets for the requests of groups.
    Limits ->
    /// Effective limits for a group on a service.
    ResolvedLimits {
        /// Scheduling weight of the group relative to other groups.
        weight: Weight = Weight(10), Some(Weight(1)..=Weight(1000));
        /// Maximum number of the group's requests that wait at one target.
        max_queue: u16 = 64, Some(0..=10_000);
        /// Maximum wait for a slot.
        max_wait: Interval = seconds(2), Some(Interval::from_millis(1)..=seconds(600));
        /// Deadline of requests whose caller sets none, and upper bound of the deadlines that callers set.
        deadline: Interval = seconds(10), Some(Interval::from_millis(10)..=seconds(3600));
        /// Maximum size of a request body, in bytes.
        max_body: u32 = 8 * 1024 * 1024, Some(0..=256 * 1024 * 1024);
    }
}

inherited! {
    /// Operation settings of a service that a node sets.
    Operation ->
    /// Effective operation settings of a service.
    ResolvedOperation {
        /// Policy that selects the target for a request.
        placement: Placement = Placement::default(), None;
        /// Retry budget, as a percentage of first attempts.
        retry_share: Percent = Percent(10), Some(Percent(0)..=Percent(100));
        /// Retention time of idempotency keys.
        claim_window: Interval = seconds(600), Some(seconds(1)..=seconds(86_400));
        /// Time after its start over which a target is ramped up to its full number of slots.
        warm_up: Interval = seconds(5), Some(Interval::from_millis(0)..=seconds(600));
        /// Maximum time that a planned stop waits for open flows and requests.
        drain: Interval = seconds(60), Some(Interval::from_millis(0)..=seconds(86_400));
    }
}
