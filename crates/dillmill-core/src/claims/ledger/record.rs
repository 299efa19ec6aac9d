use crate::Timestamp;
use crate::claims::answer::Phase;
use crate::claims::ring::{Epoch, RingMember};

/// What a record says of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// Granted to the holder in this epoch; in a later one only a hint to ask the holder.
    Granted(Epoch),
    /// This agent is the holder and has dispatched it.
    Dispatched(Phase),
    /// The holder has dispatched it, by its own word.
    DispatchedElsewhere,
}

impl Standing {
    pub(super) fn is_dispatched(self) -> bool {
        !matches!(self, Self::Granted(_))
    }

    pub(super) fn is_before(self, epoch: Epoch) -> bool {
        matches!(self, Self::Granted(own) if own < epoch)
    }
}

/// What is held of one key.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) holder: RingMember,
    pub(super) state: Standing,
    pub(super) at: Timestamp,
}
