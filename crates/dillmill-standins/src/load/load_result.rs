use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::LoadSpec;

/// Outcomes and waits of one group's requests.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct GroupResult {
    /// Number of requests.
    pub asked: u64,
    /// Complete responses of the right service.
    pub whole: u64,
    /// Responses with the outcome `not-run`.
    pub not_run: u64,
    /// Responses with the outcome `unknown`.
    pub unknown: u64,
    /// Requests without a complete response.
    pub broken: u64,
    /// Median time of complete responses beyond their time at the target, in milliseconds.
    pub wait_p50_ms: f64,
    /// 99th percentile of the same time, in milliseconds.
    pub wait_p99_ms: f64,
}

/// Resources that a process used.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ProcessResult {
    /// Processor time as a share of one core.
    pub core: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Bytes of control traffic sent and received per second.
    pub control_bytes_per_second: f64,
}

/// The result of a load run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadResult {
    /// Parameters of the run.
    pub spec: LoadSpec,
    /// Results by group.
    pub groups: BTreeMap<String, GroupResult>,
    /// Feeds that ended early or had a gap.
    pub broken_feeds: usize,
    /// Idempotency keys that ran more than once.
    pub doubled: u64,
    /// Requests and responses that reached or came from the wrong service.
    pub wrong_service: u64,
    /// Slots in use at the most loaded target divided by the mean over all targets; mean of all samples.
    pub imbalance: f64,
    /// Mean share of the slots that are in use.
    pub utilisation: f64,
    /// Requests handed over between agents, as a share of all requests.
    pub handed_over: f64,
    /// Requests that targets shed because all of their slots were in use.
    pub shed: u64,
    /// Results by process.
    pub processes: BTreeMap<String, ProcessResult>,
}
