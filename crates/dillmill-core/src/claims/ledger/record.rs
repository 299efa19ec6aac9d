//! The ledger's record of one key.

use crate::Timestamp;
use crate::claims::answer::Phase;
use crate::claims::ring::{Epoch, RingMember};

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordState {
    /// Granted to the holder in this epoch. In a later epoch this is only a hint to ask the holder.
    Granted(Epoch),
    /// This agent is the holder and has dispatched the request, or has taken over such a record.
    Dispatched(Phase),
    /// The holder has reported that it dispatched the request.
    DispatchedElsewhere,
}

impl RecordState {
    pub(super) fn is_dispatched(self) -> bool {
        !matches!(self, Self::Granted(_))
    }

    pub(super) fn is_before(self, epoch: Epoch) -> bool {
        matches!(self, Self::Granted(own) if own < epoch)
    }
}

/// The record of one key.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) holder: RingMember,
    pub(super) state: RecordState,
    pub(super) at: Timestamp,
}
