//! Metrics of an agent.

use dillmill_node::{Metrics, NodeError};
use prometheus::{IntCounter, IntGauge};

/// Counters and gauges of an agent.
#[derive(Debug, Clone)]
pub struct AgentMetrics {
    /// Packets delivered to the QUIC endpoint.
    pub delivered: IntCounter,
    /// First packets passed on to another agent.
    pub passed: IntCounter,
    /// Packets of other services that were dropped.
    pub other_service: IntCounter,
    /// Packets dropped because their connection id belongs to no flow of this agent.
    pub foreign: IntCounter,
    /// Requests received from callers or siblings.
    pub requests: IntCounter,
    /// Requests handed over to a sibling.
    pub handed_over: IntCounter,
    /// Requests handed to the target.
    pub dispatched: IntCounter,
    /// Requests answered "not run".
    pub not_run: IntCounter,
    /// Requests answered "unknown".
    pub unknown: IntCounter,
    /// Requests answered from the record of an earlier request with the same key.
    pub replayed: IntCounter,
    /// Retries after a failed attempt.
    pub retries: IntCounter,
    /// Slots in use.
    pub slots_in_use: IntGauge,
    /// Requests waiting for a slot.
    pub queued: IntGauge,
    /// Requests of callers and siblings that are not answered yet, wherever they run.
    pub open_requests: IntGauge,
    /// Open long feeds.
    pub feeds: IntGauge,
    /// Claim records held.
    pub claims: IntGauge,
}

impl AgentMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is already registered.
    pub fn new(m: &Metrics) -> Result<Self, NodeError> {
        Ok(Self {
            delivered: m.counter("dillmill_delivered", "Packets taken")?,
            passed: m.counter("dillmill_passed", "First packets passed to another agent")?,
            other_service: m.counter("dillmill_dropped_other_service", "Packets of others")?,
            foreign: m.counter("dillmill_dropped_foreign", "Packets with foreign ids")?,
            requests: m.counter("dillmill_requests", "Requests taken from callers")?,
            handed_over: m.counter("dillmill_handed_over", "Requests handed to a sibling")?,
            dispatched: m.counter("dillmill_dispatched", "Requests handed to the target")?,
            not_run: m.counter("dillmill_not_run", "Requests answered not run")?,
            unknown: m.counter("dillmill_unknown", "Requests answered outcome unknown")?,
            replayed: m.counter("dillmill_replayed", "Requests answered from a record")?,
            retries: m.counter("dillmill_retries", "Retries after a failed try")?,
            slots_in_use: m.gauge("dillmill_slots_in_use", "Slots in use")?,
            queued: m.gauge("dillmill_queued", "Requests waiting")?,
            open_requests: m.gauge("dillmill_open_requests", "Requests not answered yet")?,
            feeds: m.gauge("dillmill_feeds", "Open long feeds")?,
            claims: m.gauge("dillmill_claims", "Claim records held")?,
        })
    }
}
