//! Header fields of a packet that decisions use.

use crate::FlowTuple;

/// Kind of a packet within its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SegmentKind {
    /// The caller opens a flow.
    Open {
        /// Number of copies that the caller has sent before; 0 for the first packet.
        copies: u32,
    },
    /// The target accepts a flow.
    Accept,
    /// Data or a bare acknowledgement.
    Data,
    /// The sender will send no more data.
    Finish,
    /// The sender has aborted the flow.
    Reset,
}

/// Header of a packet of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow; the same for packets of either end.
    pub flow: FlowTuple,
    /// Kind of the packet.
    pub kind: SegmentKind,
    /// Sequence number of the first byte of data.
    pub seq: u32,
    /// Sequence number of the next byte that the sender expects; meaningless on
    /// [`SegmentKind::Open`].
    pub ack: u32,
    /// Length of the data in bytes.
    pub len: u16,
    /// The target did not take the packet and has returned it.
    pub returned: bool,
    /// Mark that the agent gave the packet on its way to the target, if the target has returned it.
    pub mark: u32,
}

impl Segment {
    /// Returns whether the sender, one end of an open flow, repeats the packet until it gets an
    /// answer.
    #[must_use]
    pub fn wants_answer(&self) -> bool {
        match self.kind {
            SegmentKind::Data => self.len > 0,
            SegmentKind::Finish => true,
            SegmentKind::Open { .. } | SegmentKind::Accept | SegmentKind::Reset => false,
        }
    }
}
