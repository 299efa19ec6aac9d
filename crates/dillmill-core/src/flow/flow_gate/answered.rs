//! Result of a packet from the target to a caller.

use std::time::Duration;

use crate::flow_directory::FlowRecord;

/// What the agent has to do for a packet from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// Record of a new flow, to be sent to the flow's directories.
    pub record: Option<FlowRecord>,
    /// Duration of the request whose answer begins with this packet.
    pub answered: Option<Duration>,
    /// The packet resets a flow that the target may never have owned, and must not reach the
    /// caller.
    pub stray_reset: bool,
}
