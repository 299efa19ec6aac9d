//! A target as its agent observes it: its runs, flows, speed and health.
//!
//! | Module | Responsibility |
//! |---|---|
//! | [`target_flows`] | flows of the target and the requests on them |
//! | `tracked_flow` | state of one flow |
//! | `flow_match` | whether a caller's packet belongs to a flow of the target |
//! | `target_packet_effect` | what the agent does after a packet of the target |
//! | `slot_use` | when the target begins to serve each request |
//! | [`target_load`] | requests and flows of the target |
//! | [`target_run`] | identity of one run of a target |
//! | [`target_runs`] | run of the target that a heartbeat belongs to |
//! | [`run_confirmation`] | whether the known run may have lost its address to another target |
//! | [`target_pace`] | speed of a target, as load reports carry it |
//! | [`target_speed`] | estimate of the speed of a target |
//! | [`service_time`] | usual time of a route's requests |
//! | [`flow_demand`] | load that open flows are expected to bring |
//! | [`outcomes`] | ejection of a target that fails requests |
//! | [`answer_norms`] | which answers are outliers |
//! | [`caller_packets`] | packets of callers with which a new run is asked for its flows |

pub mod answer_norms;
pub mod caller_packets;
pub mod flow_demand;
mod flow_match;
pub mod outcomes;
pub mod run_confirmation;
pub mod service_time;
mod slot_use;
pub mod target_flows;
pub mod target_load;
pub mod target_pace;
mod target_packet_effect;
pub mod target_run;
pub mod target_runs;
pub mod target_speed;
mod tracked_flow;
