//! A request as it passes through the filter chain, and the headers that concern the agent.

use dillmill_core::claims::ClaimKey;
use dillmill_core::{GroupName, ProcessId, ServiceName, Timestamp};
use dillmill_settings::{ResolvedLimits, ResolvedOperation};
use dillmill_wire::ForwardedRequest;
use http::Method;
use ring::digest;

/// Header with the caller's deadline, in milliseconds from the request's arrival.
pub const DEADLINE_HEADER: &str = "dillmill-deadline-ms";
/// Header with the key of a request that may not be repeated (draft-ietf-httpapi-idempotency-key-header).
pub const KEY_HEADER: &str = "idempotency-key";
/// Header that tells the target to which group the request belongs.
pub const GROUP_HEADER: &str = "dillmill-group";
/// Headers that are not passed on: those that concern one hop (RFC 9110 section 7.6.1), and the agent's own.
const DROPPED_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "host",
    "content-length",
    DEADLINE_HEADER,
    GROUP_HEADER,
];

/// An authenticated request with the limits that apply to it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The group that the request belongs to.
    pub group: GroupName,
    /// The service.
    pub service: ServiceName,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Idempotency key.
    pub key: Option<String>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// The complete body.
    pub body: Vec<u8>,
    /// Number of times that the request was handed over.
    pub hops: u8,
    /// Whether the request is a long feed.
    pub feed: bool,
    /// Limits in force.
    pub limits: ResolvedLimits,
    /// Operating settings in force.
    pub operation: ResolvedOperation,
}

impl Request {
    /// Returns whether the request may run twice without harm (RFC 9110 section 9.2.2).
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.key.is_none() && self.method.is_idempotent()
    }

    /// Returns the key under which this request is claimed; `None` without an idempotency key.
    #[must_use]
    pub fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.key.as_ref()?;
        let text = format!("{}\n{}\n{key}", self.service, self.group);
        let hash = digest::digest(&digest::SHA256, text.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_ref()[..16]);
        Some(ClaimKey(bytes))
    }

    /// Returns the message that hands the request over to process `to`.
    #[must_use]
    pub fn to_forwarded(&self, to: ProcessId, now: Timestamp) -> ForwardedRequest {
        let remaining = self.deadline.since(now).as_millis();
        ForwardedRequest {
            to,
            service: self.service.clone(),
            group: self.group.clone(),
            method: self.method.to_string(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            key: self.key.clone(),
            remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
            hops: self.hops + 1,
            body: self.body.clone(),
        }
    }
}

/// Returns the headers of a request or an answer that are passed on.
#[must_use]
pub fn end_to_end_headers(headers: &http::HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
