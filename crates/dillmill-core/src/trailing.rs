//! Trailing fields of messages, which earlier versions do not send.

use serde::{Deserialize, Deserializer};

/// Deserializes the last field of a message. Returns the default if the message ends before the field, as
/// messages of earlier versions do, or if the field can't be read.
///
/// Use it with `#[serde(deserialize_with = "…")]` on the last field of a type that is itself the last
/// part of its messages. Earlier versions ignore the bytes of the field.
///
/// # Errors
///
/// Never fails; the signature is the one that serde requires.
pub fn deserialize<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
