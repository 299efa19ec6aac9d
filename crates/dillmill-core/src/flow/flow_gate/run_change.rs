//! Effect of a restart of the target on its flows.

use crate::FlowTuple;
use crate::target_flows::EndedFlow;

/// The flows of a target that are affected when another run of the target has begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunChange {
    /// Open flows that have ended with the previous run. Their callers must be told.
    pub ended: Vec<EndedFlow>,
    /// Flows that may have ended. The target must be asked whether it holds them.
    pub in_doubt: Vec<FlowTuple>,
}
