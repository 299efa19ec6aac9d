use serde::{Deserialize, Serialize};

/// What a run consists of.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadSpec {
    /// `kiosks` or `ristebud`.
    pub deployment: String,
    /// Placement of requests.
    pub placement: String,
    /// Load of the first service, as a share of its slots.
    pub load: f64,
    /// Share of the load that one group asks for; the rest is divided among the others.
    pub flood: f64,
    /// Seconds.
    pub seconds: u64,
    /// Long feeds open meanwhile.
    pub feeds: usize,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Kill a balancer in the middle.
    pub kill_balancer: bool,
    /// Stop an agent as planned in the middle.
    pub stop_agent: bool,
    /// The baseline: callers ask the targets themselves in turn, over HTTP/1.1, past dillmill.
    #[serde(default)]
    pub direct: bool,
}
