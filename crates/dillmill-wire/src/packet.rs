//! Reads the destination of a QUIC packet from its version-independent header (RFC 8999 section 5).

use std::io::Cursor;

use bytes::BytesMut;
use dillmill_core::flow_id::FLOW_ID_LEN;
use quinn_proto::{
    ConnectionId, DEFAULT_SUPPORTED_VERSIONS, FixedLengthConnectionIdParser, LongType,
    PacketDecodeError, ProtectedHeader,
};

const LONG_HEADER_FORM: u8 = 0x80;
const SHORT_HEADER_LEN: usize = 1 + FLOW_ID_LEN + 20;

/// Destination of a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// The packet may start a flow, as its connection id may have been chosen by the caller.
    MayStart(ConnectionId),
    /// The packet belongs to an existing flow, as its connection id was issued by an agent.
    Established(ConnectionId),
}

/// Reads the destination of the first packet in a datagram; `None` if it is not a QUIC packet.
#[must_use]
pub fn packet_destination(datagram: &[u8]) -> Option<Destination> {
    let is_long = datagram.first()? & LONG_HEADER_FORM != 0;
    let end = if is_long { datagram.len() } else { datagram.len().min(SHORT_HEADER_LEN) };
    let parser = FixedLengthConnectionIdParser::new(FLOW_ID_LEN);
    let mut head = Cursor::new(BytesMut::from(&datagram[..end]));
    match ProtectedHeader::decode(&mut head, &parser, DEFAULT_SUPPORTED_VERSIONS, true) {
        Ok(ProtectedHeader::Initial(header)) => Some(Destination::MayStart(header.dst_cid)),
        Ok(ProtectedHeader::Long { ty: LongType::ZeroRtt, dst_cid, .. })
        // The agent responds with the versions that it supports (RFC 9000 section 6).
        | Err(PacketDecodeError::UnsupportedVersion { dst_cid, .. }) => {
            Some(Destination::MayStart(dst_cid))
        }
        Ok(header) => Some(Destination::Established(*header.dst_cid())),
        Err(PacketDecodeError::InvalidHeader(_)) => None,
    }
}
