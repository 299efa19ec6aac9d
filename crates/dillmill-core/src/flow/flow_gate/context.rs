//! State of the process, outside the gate, that decisions on packets use.

use crate::SiblingLoads;
use crate::agent_table::AgentTable;
use crate::route_table::RouteTable;

/// Input of a decision besides the gate's own state.
#[derive(Debug, Clone, Copy)]
pub struct GateContext<'a> {
    /// Agents that are not known to be down.
    pub agents: &'a AgentTable,
    /// Routes of the settings in force.
    pub routes: &'a RouteTable,
    /// The table of agents is complete as far as the process can tell. It is not in the first
    /// moments after the process has started.
    pub settled: bool,
    /// All other agents have told this agent of the flows that it records as their directory.
    pub told: bool,
    /// Loads that the siblings of this agent have reported.
    pub siblings: &'a SiblingLoads,
}
