//! Result of matching a caller's packet with the flows of the target.

/// Whether a caller's packet belongs to a flow of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowMatch {
    /// The target holds the flow.
    Held {
        /// The packet begins a request that is not the first of its flow.
        further: bool,
    },
    /// The caller has acknowledged another target, or the packet is of a later flow of the same addresses and
    /// ports.
    Other,
    /// The flow is unknown.
    Unknown,
}
