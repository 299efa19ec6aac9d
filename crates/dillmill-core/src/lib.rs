//! Core types and decision logic of dillmill, without any I/O.
//!
//! Nothing in this crate opens a socket, reads a clock or draws a random number: the current time
//! and any randomness are arguments, so that tests and other front ends can drive every decision.
//!
//! | Module | Decides |
//! |---|---|
//! | [`flow_id`] | which agent owns a QUIC connection id |
//! | [`flow_placement`] | which agent a balancer assigns a new packet flow to |
//! | [`flow_gate`] | what an agent does with a packet: deliver, pass on, search, refuse |
//! | [`flow_kinds`] | which routes have flows that carry several requests |
//! | [`flow_lifetimes`] | how long a flow is remembered |
//! | [`agent_table`] | in which order agents are queried for the owner of a flow |
//! | [`evacuations`] | which data centres receive no new flows |
//! | [`open_queue`] | which opening packet is served next at an overloaded target |
//! | [`admission_level`] | which new flows of an overloaded service a balancer refuses |
//! | [`unservable`] | which waiting packets can't be served within their callers' attempts |
//! | [`return_schedule`] | when refused callers should return |
//! | [`attempt_timeout`] | how long callers wait for an answer to an opening packet |
//! | [`outcomes`] | whether a target that fails requests is ejected for a while |
//! | [`answer_norms`] | which answers of a target are outliers |
//! | [`target_speed`] | how long a target takes for a request |
//! | [`flow_demand`] | how much load the open flows of a target are expected to bring |
//! | [`target_runs`] | which run of a target a heartbeat belongs to |
//! | [`run_confirmation`] | whether the known run of a target still holds its address |
//! | [`link_admission`] | which uploads are admitted to the VM's link |
//! | [`link_queue`] | which datagram leaves next over the VM's link, and when |
//! | [`pending_searches`] | when a search for an owner that had no result is repeated |
//! | [`home_table`] | which agent receives the first packet of a flow |
//! | [`membership`] | which processes are serving, leaving, suspect or down |
//! | [`scheduler`] | which request runs next on a target, and which is refused |
//! | [`claims`] | whether a request that may not be repeated may be dispatched |
//! | [`placement`] | which agent of a service runs a request |
//! | [`directory_catch_up`] | whether an agent's flow directory is complete |
//! | [`registrations`] | when a flow is registered with a directory, and registered again |
//! | [`retry_budget`] | whether a request may be retried |
//! | [`exchange_rounds`] | when, and with which siblings, an overloaded agent exchanges its load |
//! | [`rebalancing`] | which siblings serve an overloaded agent's opening packets sooner |
//! | [`cold_start`] | how many requests a target that has just started receives |
//! | [`warm_up`] | how many slots a target that has just started gets |
//! | [`watcher_selection`] | which processes hold a watch at the platform |
//! | [`start_delay`] | how long a starting process waits for peers before it queries the platform's store |
//! | [`check_schedule`] | when a process checks that its settings are the newest |
//! | [`store_selection`] | which processes keep an entry in the platform's store for others to join through |

pub mod claims;
pub mod duties;
pub mod event;
pub mod flow;
pub mod flow_id;
pub mod flow_tuple;
pub mod generation_cache;
pub mod interval;
pub mod link;
pub mod load;
pub mod membership;
pub mod names;
pub mod numbers;
pub mod pause_detector;
pub mod secret;
pub mod segment;
pub mod service_tag;
pub mod target;
pub mod timestamp;
pub mod trailing;

// The modules of each area are also reachable from the root, which is the path that other packages use.
pub use duties::{check_schedule, evacuations, start_delay, store_selection, watcher_selection};
pub use flow::{
    agent_table, directory_catch_up, early_packets, envelope, flow_directory, flow_gate,
    flow_kinds, flow_lifetimes, flow_placement, flow_volume, home_table, owner_cache,
    pending_searches, registrations, route_table,
};
pub use link::{link_admission, link_queue, link_rate};
pub use load::{
    admission_level, agent_load, attempt_timeout, cold_start, exchange_rounds, open_queue,
    overload_policy, placement, priority, rebalancing, retry_budget, return_schedule, scheduler,
    sibling_loads, unservable, warm_up,
};
pub use membership::member;
pub use target::{
    answer_norms, caller_packets, flow_demand, outcomes, run_confirmation, service_time,
    target_flows, target_load, target_pace, target_run, target_runs, target_speed,
};

pub use admission_level::AdmissionLevel;
pub use agent_load::AgentLoad;
pub use agent_table::{AgentEntry, AgentTable};
pub use caller_packets::CallerPackets;
pub use check_schedule::{CheckOrder, CheckSchedule, Confirmation};
pub use cold_start::ColdStart;
pub use directory_catch_up::DirectoryCatchUp;
pub use early_packets::{EarlyPacket, EarlyPackets};
pub use envelope::{Envelope, PacketPurpose, Search, SearchPlace, SearchScope};
pub use evacuations::{EvacuationChange, Evacuations};
pub use event::{Event, EventKind, EventLog};
pub use exchange_rounds::{ExchangePeer, ExchangeRounds};
pub use flow_directory::{FlowDirectory, FlowRecord};
pub use flow_gate::FlowGate;
pub use flow_id::{FlowId, FlowIdError, FlowKey, FlowKeys};
pub use flow_lifetimes::FlowLifetimes;
pub use flow_placement::FlowPlacement;
pub use flow_tuple::FlowTuple;
pub use home_table::{Home, HomeTable};
pub use interval::Interval;
pub use link_admission::LinkAdmission;
pub use link_queue::{Admission, LinkQueue, OutboundDatagram, PacketId};
pub use link_rate::{LinkRate, LinkRateError};
pub use member::{FlowCoverage, Member, MemberStatus, Role, StoreReach};
pub use membership::Membership;
pub use names::{GroupName, NameError, ServiceName, VmName, ZoneName};
pub use numbers::{Percent, ProcessId, Revision, ServiceNumber, Slots, Weight};
pub use open_queue::OpenQueue;
pub use overload_policy::OverloadPolicy;
pub use owner_cache::{Owner, OwnerCache};
pub use pause_detector::PauseDetector;
pub use pending_searches::PendingSearches;
pub use priority::{PRIORITY_CLASSES, Priority};
pub use registrations::{RecordBatch, Registrations};
pub use return_schedule::ReturnSchedule;
pub use route_table::{RouteEntry, RouteTable};
pub use run_confirmation::RunConfirmation;
pub use secret::Secret;
pub use segment::{Segment, SegmentKind};
pub use service_tag::ServiceTag;
pub use sibling_loads::{SiblingLoad, SiblingLoads};
pub use start_delay::StartDelay;
pub use target_pace::{ColdLoad, TargetPace};
pub use target_run::{StartTime, TargetRun};
pub use target_runs::TargetRuns;
pub use timestamp::Timestamp;
