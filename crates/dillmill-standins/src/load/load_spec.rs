use serde::{Deserialize, Serialize};

/// Parameters of a load run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadSpec {
    /// Name of the deployment: `kiosks` or `ristebud`.
    pub deployment: String,
    /// Placement policy of requests.
    pub placement: String,
    /// Load of the first service, as a share of its slots.
    pub load: f64,
    /// Share of the load that one group makes; the rest is divided among the other groups.
    pub flood: f64,
    /// Duration in seconds.
    pub seconds: u64,
    /// Number of long feeds that are open during the run.
    pub feeds: usize,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Kills a balancer halfway through the run.
    pub kill_balancer: bool,
    /// Stops an agent gracefully halfway through the run.
    pub stop_agent: bool,
    /// Baseline without dillmill: callers send HTTP/1.1 requests to the targets directly, in turn.
    #[serde(default)]
    #[serde(rename = "straight")]
    pub direct: bool,
}
