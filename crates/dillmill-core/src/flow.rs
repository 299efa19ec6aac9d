//! Packet flows: where a new flow goes, which agent owns an open one, and what an agent does with
//! each packet.
//!
//! | Module | Responsibility |
//! |---|---|
//! | [`flow_gate`] | an agent's decision on each packet: deliver, queue, pass on, search, refuse |
//! | [`flow_placement`] | a balancer's choice of the agent for a new flow, by reported load |
//! | `target_cost` | cost of a new flow at a target, by which the placement compares agents |
//! | [`flow_volume`] | mean number of bytes and requests that callers send in a flow |
//! | [`flow_kinds`] | which routes have flows that carry several requests |
//! | [`flow_lifetimes`] | how long a flow is remembered |
//! | [`route_table`] | routes in force, by address |
//! | [`agent_table`] | agents known to a process, by service, ring position and address |
//! | [`home_table`] | agent that receives the first packet of a QUIC flow |
//! | [`envelope`] | header of a packet between processes, with its purpose |
//! | [`early_packets`] | packets that reach a balancer before it knows routes and agents |
//! | [`owner_cache`] | a balancer's cache of the owners of flows |
//! | [`flow_directory`] | records of the flows of other agents |
//! | [`registrations`] | when a flow is registered with its directories, and registered again |
//! | [`directory_catch_up`] | whether a directory has been told of all flows |
//! | [`pending_searches`] | when a search that found no owner is repeated |

pub mod agent_table;
pub mod directory_catch_up;
pub mod early_packets;
pub mod envelope;
pub mod flow_directory;
pub mod flow_gate;
pub mod flow_kinds;
pub mod flow_lifetimes;
pub mod flow_placement;
pub mod flow_volume;
pub mod home_table;
pub mod owner_cache;
pub mod pending_searches;
pub mod registrations;
pub mod route_table;
mod target_cost;
