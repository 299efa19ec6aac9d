//! Validated names that operators choose for services, groups, VMs and data centres.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes (the limit of a DNS label, RFC 1035 section 2.3.4).
pub const MAX_NAME_LEN: usize = 63;

/// Error for text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid name `{0}`: use 1 to 63 of a-z, 0-9 and `-`, starting with a letter or digit")]
pub struct NameError(pub String);

fn check(text: &str) -> Result<(), NameError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty()
        || text.len() > MAX_NAME_LEN
        || text.starts_with('-')
        || !text.chars().all(allowed)
    {
        return Err(NameError(text.to_owned()));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text).map(|()| Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check(&text).map(|()| Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name! {
    /// Name of a service, such as `cotiza`.
    ///
    /// ```
    /// use dillmill_core::ServiceName;
    ///
    /// let name: ServiceName = "cotiza".parse()?;
    /// assert_eq!(name.as_str(), "cotiza");
    /// assert!("Cotiza!".parse::<ServiceName>().is_err());
    /// # Ok::<(), dillmill_core::NameError>(())
    /// ```
    ServiceName
}
name! {
    /// Name of a group of callers that shares the pool of targets with other groups.
    GroupName
}
name! {
    /// Name of a VM.
    VmName
}
name! {
    /// Name of a data centre.
    ZoneName
}
