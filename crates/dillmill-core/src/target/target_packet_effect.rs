//! Effect of a packet of the target on its agent.

use std::time::Duration;

/// What the agent has to do after a packet of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetPacketEffect {
    /// The flow is new and must be registered in the directory.
    pub new: bool,
    /// Duration of the request whose answer begins with this packet.
    pub answered: Option<Duration>,
    /// The target resets a flow that it may never have owned: the caller may have acknowledged
    /// another target that received a copy of the opening packet.
    pub stray_reset: bool,
}
