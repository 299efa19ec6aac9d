use crate::agent_table::AgentTable;
use crate::route_table::RouteTable;

/// What a decision rests on besides the gate's own state.
#[derive(Debug, Clone, Copy)]
pub struct GateContext<'a> {
    /// Agents that are not known to be down.
    pub agents: &'a AgentTable,
    /// Routes in force.
    pub routes: &'a RouteTable,
    /// The agents are all there are, as far as can be told: not so in the first moments of a process.
    pub settled: bool,
    /// The others have told this agent of all flows whose owners it is to remember.
    pub told: bool,
}
