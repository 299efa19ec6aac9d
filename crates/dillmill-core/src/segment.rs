//! What the head of a packet says, in terms that decisions use.

use crate::FlowTuple;

/// Kind of a packet within its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SegmentKind {
    /// The caller opens a flow.
    Open {
        /// How many copies the caller has sent before; 0 for the first.
        copies: u32,
    },
    /// The target accepts a flow.
    Accept,
    /// Data or an acknowledgement.
    Data,
    /// The sender will send no more.
    Finish,
    /// The sender has given the flow up.
    Reset,
}

/// The head of a packet of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow, whichever end has sent the packet.
    pub flow: FlowTuple,
    /// Kind of the packet.
    pub kind: SegmentKind,
    /// Number of the first byte that the packet carries.
    pub seq: u32,
    /// Number of the next byte that the sender expects; meaningless on [`SegmentKind::Open`].
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// The target did not take the packet and has given it back.
    pub returned: bool,
    /// The number that the packet was given on its way to the target, where it was given back.
    pub mark: u32,
}

impl Segment {
    /// Returns whether its sender, an end of an open flow, sends it again until an answer comes.
    #[must_use]
    pub fn wants_answer(&self) -> bool {
        match self.kind {
            SegmentKind::Data => self.len > 0,
            SegmentKind::Finish => true,
            SegmentKind::Open { .. } | SegmentKind::Accept | SegmentKind::Reset => false,
        }
    }
}
