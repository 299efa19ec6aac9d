//! Values that a node inherits unless it gives them.

use std::fmt;
use std::ops::RangeInclusive;

use dillmill_core::placement::Policy;
use dillmill_core::{Interval, Percent, Weight};
use serde::{Deserialize, Serialize};

use crate::NodePath;

/// Where a value in force comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A node of the tree.
    Node(NodePath),
    /// The built-in default.
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

/// A value out of its range, with the key that gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutOfRange {
    /// Key below the section.
    pub key: &'static str,
    /// What is wrong.
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
            /// Returns the values that are out of range.
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
            /// Takes each value from the first of `chain` that gives it.
            #[must_use]
            pub fn resolve(chain: &[&$given]) -> Self {
                Self {
                    $($field: chain
                        .iter()
                        .find_map(|given| given.$field.clone())
                        .unwrap_or($default),)*
                }
            }

            /// Returns each value as text with the place that it comes from.
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

/// How the agent for a request is chosen, as operators write it.
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
    /// Limits that a node gives for a group's requests.
    Limits ->
    /// The limits in force for a group on a service.
    ResolvedLimits {
        /// Share of the group against other groups.
        weight: Weight = Weight(10), Some(Weight(1)..=Weight(1000));
        /// Requests of the group that may wait at one target.
        max_queue: u16 = 64, Some(0..=10_000);
        /// Longest wait for a slot.
        max_wait: Interval = seconds(2), Some(Interval::from_millis(1)..=seconds(600));
        /// Time for a request whose caller gives no deadline, and the longest that a caller gets.
        deadline: Interval = seconds(10), Some(Interval::from_millis(10)..=seconds(3600));
        /// Largest request body, in bytes.
        max_body: u32 = 8 * 1024 * 1024, Some(0..=256 * 1024 * 1024);
    }
}

inherited! {
    /// How a service is operated, as a node gives it.
    Operation ->
    /// How a service is operated.
    ResolvedOperation {
        /// How the target for a request is chosen.
        placement: Placement = Placement::default(), None;
        /// Retries allowed, as a share of first tries.
        retry_share: Percent = Percent(10), Some(Percent(0)..=Percent(100));
        /// How long an idempotency key is remembered.
        claim_window: Interval = seconds(600), Some(seconds(1)..=seconds(86_400));
        /// Time over which a target that has started gets its full number of slots.
        warm_up: Interval = seconds(5), Some(Interval::from_millis(0)..=seconds(600));
        /// Longest time that a planned stop waits for flows and requests.
        drain: Interval = seconds(60), Some(Interval::from_millis(0)..=seconds(86_400));
    }
}
