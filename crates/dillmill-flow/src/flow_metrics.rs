//! Counters, gauges and histograms of packet flows.

use dillmill_core::PRIORITY_CLASSES;
use dillmill_core::open_queue::TakeReason;
use dillmill_node::{Metrics, NodeError};
use prometheus::{Histogram, IntCounter, IntGauge};

/// Upper bounds of the histogram buckets for answer times, in seconds: from a round trip within a data
/// centre to a caller's deadline.
const WAIT_BUCKETS: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Labels of the classes of priorities; the last one holds all lower priorities.
const PRIORITY_LABELS: [&str; PRIORITY_CLASSES] = ["0", "1", "2", "lower"];

/// Metrics of a balancer.
#[derive(Debug, Clone)]
pub struct BalancerCounters {
    /// Packets received from callers.
    pub packets: IntCounter,
    /// New flows placed at an agent.
    pub placed: IntCounter,
    /// New flows placed at an agent in another data centre.
    pub placed_far: IntCounter,
    /// New flows refused, with a reset.
    pub refused: IntCounter,
    /// New flows refused by admission control, by class of priority.
    pub refused_for_overload: Vec<IntCounter>,
    /// Share of new flows that admission control refuses now, in percent, by class of priority: the
    /// largest over all services.
    pub admission_level: Vec<IntGauge>,
    /// Packets of flows whose owner was not known.
    pub searched: IntCounter,
    /// Flows reset because no agent holds them.
    pub missing: IntCounter,
    /// Packets dropped: malformed, or without an agent to send them to.
    pub dropped: IntCounter,
}

impl BalancerCounters {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Fails if a name is taken.
    pub fn new(metrics: &Metrics) -> Result<Self, NodeError> {
        Ok(Self {
            packets: metrics.counter("dillmill_flow_packets", "Packets of callers")?,
            placed: metrics.counter("dillmill_flow_placed", "New flows given to an agent")?,
            placed_far: metrics
                .counter("dillmill_flow_placed_far", "New flows given to another data centre")?,
            refused: metrics.counter("dillmill_flow_refused", "New flows refused")?,
            refused_for_overload: metrics.counters(
                "dillmill_flow_refused_overload",
                "New flows refused by admission control, by the priority of their routes",
                "priority",
                &PRIORITY_LABELS,
            )?,
            admission_level: metrics.gauges(
                "dillmill_flow_admission_level",
                "Percent of new flows refused by admission control, by the priority of their routes",
                "priority",
                &PRIORITY_LABELS,
            )?,
            searched: metrics
                .counter("dillmill_flow_searched", "Packets whose owner was not known")?,
            missing: metrics
                .counter("dillmill_flow_missing", "Flows reset because no agent holds them")?,
            dropped: metrics.counter("dillmill_flow_dropped", "Packets dropped")?,
        })
    }
}

/// Metrics of an agent.
#[derive(Debug, Clone)]
pub struct AgentCounters {
    /// Packets delivered to the target.
    pub delivered: IntCounter,
    /// Packets of the target sent to callers.
    pub answered: IntCounter,
    /// New flows passed to another agent.
    pub passed_on: IntCounter,
    /// New flows passed from a busy target to a sibling because of the load that the sibling reported.
    pub passed_by_load: IntCounter,
    /// New flows passed from a busy target to a sibling whose load was not known.
    pub passed_blind: IntCounter,
    /// Waiting opening packets moved to a sibling.
    pub moved_out: IntCounter,
    /// Opening packets that siblings have moved here.
    pub moved_in: IntCounter,
    /// Load reports sent to siblings.
    pub exchanges: IntCounter,
    /// Packets passed on in the search for their flow's owner.
    pub searched: IntCounter,
    /// New flows refused, with a reset.
    pub refused: IntCounter,
    /// Waiting new flows refused by admission control, by class of priority.
    pub refused_unservable: Vec<IntCounter>,
    /// Packets that the target returned.
    pub returned: IntCounter,
    /// Packets dropped.
    pub dropped: IntCounter,
    /// Calls made in a target's name that were refused, as they can't be its own.
    pub heartbeats_refused: IntCounter,
    /// Requests that are open now: their answers are outstanding.
    pub requests: IntGauge,
    /// Opening packets and requests on open flows that are queued for the target now.
    pub waiting: IntGauge,
    /// The same by the class of their priority.
    pub waiting_by_class: Vec<IntGauge>,
    /// Packets that left the queue for the target, for each of [`TakeReason::ALL`].
    pub taken: Vec<IntCounter>,
    /// Service time of the target, in milliseconds; 0 until it is known.
    pub service_time: IntGauge,
    /// Load that the open flows are expected to bring, in thousandths of a slot.
    pub flow_demand: IntGauge,
    /// Time from the first bytes of a request to the first bytes of its answer, in seconds.
    pub answer_seconds: Histogram,
}

impl AgentCounters {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Fails if a name is taken.
    pub fn new(metrics: &Metrics) -> Result<Self, NodeError> {
        Ok(Self {
            delivered: metrics
                .counter("dillmill_flow_delivered", "Packets handed to the target")?,
            answered: metrics.counter("dillmill_flow_answered", "Packets sent to callers")?,
            passed_on: metrics
                .counter("dillmill_flow_passed_on", "New flows passed to another agent")?,
            passed_by_load: metrics.counter(
                "dillmill_flow_passed_by_load",
                "New flows passed to a sibling by its reported load",
            )?,
            passed_blind: metrics.counter(
                "dillmill_flow_passed_blind",
                "New flows passed to a sibling whose load was not known",
            )?,
            moved_out: metrics
                .counter("dillmill_flow_moved_out", "Waiting new flows moved to a sibling")?,
            moved_in: metrics
                .counter("dillmill_flow_moved_in", "New flows that siblings moved here")?,
            exchanges: metrics
                .counter("dillmill_load_exchanges_sent", "Load reports sent to siblings")?,
            searched: metrics
                .counter("dillmill_flow_searched", "Packets passed on in search of the owner")?,
            refused: metrics.counter("dillmill_flow_refused", "New flows refused")?,
            refused_unservable: metrics.counters(
                "dillmill_flow_refused_unservable",
                "Waiting new flows refused by admission control, by the priority of their routes",
                "priority",
                &PRIORITY_LABELS,
            )?,
            returned: metrics
                .counter("dillmill_flow_returned", "Packets that the target gave back")?,
            dropped: metrics.counter("dillmill_flow_dropped", "Packets dropped")?,
            heartbeats_refused: metrics.counter(
                "dillmill_heartbeats_refused",
                "Calls in a target's name that can't be its own",
            )?,
            requests: metrics.gauge("dillmill_flow_requests", "Requests without an answer now")?,
            waiting: metrics
                .gauge("dillmill_flow_waiting", "Packets that wait for the target now")?,
            waiting_by_class: metrics.gauges(
                "dillmill_flow_waiting_by_priority",
                "Packets that wait for the target now, by the priority of their routes",
                "priority",
                &PRIORITY_LABELS,
            )?,
            taken: metrics.counters(
                "dillmill_flow_taken",
                "Packets that left the queue for the target, by reason",
                "reason",
                &TakeReason::ALL.map(TakeReason::label),
            )?,
            service_time: metrics.gauge(
                "dillmill_flow_service_time_ms",
                "Time of the target for a request that does not queue, in milliseconds",
            )?,
            flow_demand: metrics.gauge(
                "dillmill_flow_demand",
                "Load that open flows are expected to bring, in thousandths of a slot",
            )?,
            answer_seconds: metrics.histogram(
                "dillmill_flow_answer_seconds",
                "First bytes of a request to first bytes of its answer",
                &WAIT_BUCKETS,
            )?,
        })
    }
}
