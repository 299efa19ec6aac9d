//! Counters, gauges and histograms of packet flows.

use dillmill_core::PRIORITY_CLASSES;
use dillmill_node::{Metrics, NodeError};
use prometheus::{Histogram, IntCounter, IntGauge};

/// Upper bounds of the histogram buckets for answer times, in seconds: from a round trip within a data
/// centre to a caller's deadline.
const WAIT_BUCKETS: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Registers one metric for each class of priority.
fn by_class<T>(
    register: impl Fn(&str) -> Result<T, NodeError>,
    name: &str,
) -> Result<[T; PRIORITY_CLASSES], NodeError> {
    let [a, b, c, d] = std::array::from_fn(|class| register(&format!("{name}_class_{class}")));
    Ok([a?, b?, c?, d?])
}

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
    pub refused_for_overload: [IntCounter; PRIORITY_CLASSES],
    /// Share of new flows that admission control refuses now, in percent, by class of priority: the
    /// largest over all services.
    pub admission_level: [IntGauge; PRIORITY_CLASSES],
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
            refused_for_overload: by_class(
                |name| metrics.counter(name, "New flows refused by admission control"),
                "dillmill_flow_refused_overload",
            )?,
            admission_level: by_class(
                |name| metrics.gauge(name, "Percent of new flows refused by admission control"),
                "dillmill_flow_admission_level",
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
    /// Packets passed on in the search for their flow's owner.
    pub searched: IntCounter,
    /// New flows refused, with a reset.
    pub refused: IntCounter,
    /// Waiting new flows refused by admission control, by class of priority.
    pub refused_unservable: [IntCounter; PRIORITY_CLASSES],
    /// Packets that the target returned.
    pub returned: IntCounter,
    /// Packets dropped.
    pub dropped: IntCounter,
    /// Calls made in a target's name that were refused, as they can't be its own.
    pub heartbeats_refused: IntCounter,
    /// Requests that are open now: their answers are outstanding.
    pub requests: IntGauge,
    /// Opening packets that are queued for the target now.
    pub waiting: IntGauge,
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
            searched: metrics
                .counter("dillmill_flow_searched", "Packets passed on in search of the owner")?,
            refused: metrics.counter("dillmill_flow_refused", "New flows refused")?,
            refused_unservable: by_class(
                |name| metrics.counter(name, "Waiting new flows refused by admission control"),
                "dillmill_flow_refused_unservable",
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
                .gauge("dillmill_flow_waiting", "New flows that wait for the target now")?,
            answer_seconds: metrics.histogram(
                "dillmill_flow_answer_seconds",
                "First bytes of a request to first bytes of its answer",
                &WAIT_BUCKETS,
            )?,
        })
    }
}
