//! Contents of the nodes of a settings tree, one type for each kind of node.

use std::fmt;
use std::net::SocketAddrV4;

use dillmill_core::flow_id::parse_hex;
use dillmill_core::{FlowKey, Secret, ServiceNumber, Slots};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Limits, Operation};

/// Content of `root`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RootNode {
    /// Keys of connection ids: the first one seals new ids, and any of them opens existing ids.
    pub flow_keys: Vec<FlowKey>,
    /// Limits for all groups on all services.
    #[serde(default)]
    pub limits: Limits,
    /// Operation settings of all services.
    #[serde(default)]
    pub operation: Operation,
}

/// Content of `services/S`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNode {
    /// Number that identifies the service in connection ids; it must never change or be reused.
    pub number: ServiceNumber,
    /// Address to which callers connect.
    pub address: SocketAddrV4,
    /// Number of requests that one target runs concurrently.
    pub slots: Slots,
    /// Path prefixes of long-lived feeds, which occupy a connection but no slot.
    #[serde(default)]
    pub feeds: Vec<String>,
    /// Certificate and key that are presented to callers.
    pub tls: Tls,
    /// Limits for all groups on this service.
    #[serde(default)]
    pub limits: Limits,
    /// Operation settings of this service.
    #[serde(default)]
    pub operation: Operation,
}

/// Credentials with which an agent terminates TLS.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain, PEM (RFC 7468).
    pub certificate: String,
    /// Private key, PEM.
    pub key: Secret,
}

/// Content of `groups/G`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupNode {
    /// SHA-256 of each bearer token (RFC 6750) of the group.
    #[serde(default)]
    pub tokens: Vec<TokenHash>,
    /// Limits for the group on all services.
    #[serde(default)]
    pub limits: Limits,
}

/// Content of `groups/G/S`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafNode {
    /// Limits for the group on this service.
    #[serde(default)]
    pub limits: Limits,
}

/// SHA-256 hash of a bearer token, as the tree does not store the token itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// Hashes a token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Error for a text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a SHA-256 hash of 64 hexadecimal digits")]
pub struct TokenHashError(String);

impl TryFrom<String> for TokenHash {
    type Error = TokenHashError;

    fn try_from(text: String) -> Result<Self, TokenHashError> {
        parse_hex(&text).map(Self).ok_or(TokenHashError(text))
    }
}

impl From<TokenHash> for String {
    fn from(hash: TokenHash) -> Self {
        hash.to_string()
    }
}
