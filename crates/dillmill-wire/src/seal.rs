//! Authenticity of control messages.

use std::fmt;

use ring::hmac;
use serde::Serialize;
use serde::de::DeserializeOwned;

use dillmill_core::flow_id::parse_hex;

const TAG_LEN: usize = 16;

/// The key that all processes of an installation share.
#[derive(Clone)]
pub struct ClusterKey(hmac::Key);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey")
    }
}

/// The text is not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the cluster key is not 64 hexadecimal digits")]
pub struct ClusterKeyError;

/// Why bytes are not an authentic message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The tag is missing or wrong.
    #[error("message without a valid tag")]
    Tag,
    /// The content can't be read or written.
    #[error("message can't be coded: {0}")]
    Code(#[from] postcard::Error),
}

impl ClusterKey {
    /// Reads a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Refuses any other text.
    pub fn from_hex(text: &str) -> Result<Self, ClusterKeyError> {
        let bytes: [u8; 32] = parse_hex(text).ok_or(ClusterKeyError)?;
        Ok(Self(hmac::Key::new(hmac::HMAC_SHA256, &bytes)))
    }

    /// Encodes `message` and adds a tag.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be encoded.
    pub fn seal<T: Serialize>(&self, message: &T) -> Result<Vec<u8>, SealError> {
        let mut bytes = postcard::to_stdvec(message)?;
        let tag = hmac::sign(&self.0, &bytes);
        bytes.extend_from_slice(&tag.as_ref()[..TAG_LEN]);
        Ok(bytes)
    }

    /// Checks the tag and decodes a message.
    ///
    /// # Errors
    ///
    /// Refuses bytes without a valid tag, or that are no `T`.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, SealError> {
        let split = bytes.len().checked_sub(TAG_LEN).ok_or(SealError::Tag)?;
        let (content, tag) = bytes.split_at(split);
        let expected = hmac::sign(&self.0, content);
        let differ = tag.iter().zip(expected.as_ref()).fold(0, |acc, (a, b)| acc | (a ^ b));
        if differ != 0 {
            return Err(SealError::Tag);
        }
        Ok(postcard::from_bytes(content)?)
    }
}
