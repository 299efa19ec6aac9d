//! Defines the header that precedes each QUIC packet between a balancer and an agent.

use std::net::SocketAddr;

use dillmill_core::ServiceNumber;
use serde::{Deserialize, Serialize};

/// Maximum length of an encoded header, in bytes.
pub const MAX_FRAME_LEN: usize = 48;

/// Header that identifies the service and the caller of the packet that follows.
///
/// ```
/// use dillmill_core::ServiceNumber;
/// use dillmill_wire::Frame;
///
/// let frame = Frame {
///     service: ServiceNumber(1),
///     caller: "192.0.2.1:5000".parse().unwrap(),
///     hops: 0,
///     balancer: None,
/// };
/// let mut buf = Vec::new();
/// frame.encode(b"packet", &mut buf);
/// assert_eq!(Frame::decode(&buf).unwrap(), (frame, &b"packet"[..]));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Service to whose address the packet was sent, or from whose address it is sent.
    pub service: ServiceNumber,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Number of times that an agent has forwarded the packet to another agent.
    pub hops: u8,
    /// Balancer through which responses are sent; `None` means the sender of the frame.
    pub balancer: Option<SocketAddr>,
}

/// Error for bytes that do not start with a valid frame header or envelope.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid frame header or envelope: {0}")]
pub struct FrameError(#[from] postcard::Error);

impl Frame {
    /// Appends the header and `packet` to `buf`.
    pub fn encode(&self, packet: &[u8], buf: &mut Vec<u8>) {
        let mut head = [0; MAX_FRAME_LEN];
        // Encoding can't fail: a header takes at most 2 x (1 + 16 + 3) + 3 + 1 + 1 bytes, which fits.
        if let Ok(head) = postcard::to_slice(self, &mut head) {
            buf.extend_from_slice(head);
            buf.extend_from_slice(packet);
        }
    }

    /// Splits `bytes` into the header and the packet after it.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` does not start with a header.
    pub fn decode(bytes: &[u8]) -> Result<(Self, &[u8]), FrameError> {
        Ok(postcard::take_from_bytes(bytes)?)
    }
}
