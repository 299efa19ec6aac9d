//! The header before a packet between a balancer and an agent.

use std::net::SocketAddr;

use dillmill_core::ServiceNumber;
use serde::{Deserialize, Serialize};

/// Longest encoded header, in bytes.
pub const MAX_FRAME_LEN: usize = 48;

/// Says whose packet follows.
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
    /// Service whose address the packet came to or leaves from.
    pub service: ServiceNumber,
    /// The caller.
    pub caller: SocketAddr,
    /// How often an agent has passed the packet to another.
    pub hops: u8,
    /// Balancer that answers go through; `None` means the sender.
    pub balancer: Option<SocketAddr>,
}

/// Why bytes are not a frame.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a frame: {0}")]
pub struct FrameError(#[from] postcard::Error);

impl Frame {
    /// Appends the header and `packet` to `buf`.
    pub fn encode(&self, packet: &[u8], buf: &mut Vec<u8>) {
        let mut head = [0; MAX_FRAME_LEN];
        // The header's longest form is 2 x (1 + 16 + 3) + 3 + 1 + 1 bytes, which fits.
        if let Ok(head) = postcard::to_slice(self, &mut head) {
            buf.extend_from_slice(head);
            buf.extend_from_slice(packet);
        }
    }

    /// Splits `bytes` into header and packet.
    ///
    /// # Errors
    ///
    /// Refuses bytes that do not start with a header.
    pub fn decode(bytes: &[u8]) -> Result<(Self, &[u8]), FrameError> {
        Ok(postcard::take_from_bytes(bytes)?)
    }
}
