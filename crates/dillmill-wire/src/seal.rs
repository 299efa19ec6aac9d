//! Authenticates control messages with an HMAC tag.

use std::fmt;

use ring::hmac;
use serde::Serialize;
use serde::de::DeserializeOwned;

use dillmill_core::flow_id::parse_hex;

const TAG_LEN: usize = 16;

/// Secret key that all processes of an installation share.
#[derive(Clone)]
pub struct ClusterKey(hmac::Key);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey")
    }
}

/// Error for a text that is not a cluster key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the cluster key is not 64 hexadecimal digits")]
pub struct ClusterKeyError;

/// Reason why a message could not be sealed or opened.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The tag is missing or wrong.
    #[error("message without a valid tag")]
    Tag,
    /// The content can't be decoded or encoded.
    #[error("message can't be encoded or decoded: {0}")]
    Code(#[from] postcard::Error),
}

impl ClusterKey {
    /// Parses a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns an error for any other text.
    pub fn from_hex(text: &str) -> Result<Self, ClusterKeyError> {
        let bytes: [u8; 32] = parse_hex(text).ok_or(ClusterKeyError)?;
        Ok(Self(hmac::Key::new(hmac::HMAC_SHA256, &bytes)))
    }

    /// Encodes `message` and appends an authentication tag.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be encoded.
    pub fn seal<T: Serialize>(&self, message: &T) -> Result<Vec<u8>, SealError> {
        let mut bytes = postcard::to_stdvec(message)?;
        let tag = hmac::sign(&self.0, &bytes);
        bytes.extend_from_slice(&tag.as_ref()[..TAG_LEN]);
        Ok(bytes)
    }

    /// Verifies the tag and decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the tag is missing or wrong, or if the content is not a `T`.
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
