//! How long processes remember a flow, by the limits that the settings give flows.

use std::time::Duration;

/// Oldest flow that must survive, where the settings give no age.
const DEFAULT_MAX_AGE: Duration = Duration::from_mins(1);
/// Minimum time for which a target's agent remembers a flow after its last packet, also a closed one, for
/// late packets.
const MIN_HELD: Duration = Duration::from_secs(20);
/// Time by which callers and agents may see the last packet of a flow at different moments.
const TRANSIT_MARGIN: Duration = Duration::from_secs(1);
/// Time by which a record outlives the oldest flow, so that it is still found then.
const RECORD_MARGIN: Duration = Duration::from_secs(10);

/// The limits of flows. A flow that has rested for the idle timeout, or that is older than the maximum age,
/// may be forgotten; any other must be found again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLifetimes {
    idle_timeout: Option<Duration>,
    max_age: Duration,
}

impl Default for FlowLifetimes {
    fn default() -> Self {
        Self { idle_timeout: None, max_age: DEFAULT_MAX_AGE }
    }
}

impl FlowLifetimes {
    /// Sets the maximum age.
    #[must_use]
    pub fn max_age(mut self, max_age: Duration) -> Self {
        self.max_age = max_age;
        self
    }

    /// Sets the idle timeout. Until it is known, flows may rest up to their maximum age.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = Some(timeout);
        self
    }

    /// Returns how long a target's agent remembers a flow after its last packet.
    #[must_use]
    pub fn held(&self) -> Duration {
        let rests = self.idle_timeout.map_or(self.max_age, |timeout| timeout.min(self.max_age));
        (rests + TRANSIT_MARGIN).max(MIN_HELD)
    }

    /// Returns how long a directory keeps the record of a flow.
    #[must_use]
    pub fn record(&self) -> Duration {
        self.max_age + RECORD_MARGIN
    }

    /// Returns the age of an agent after which it knows each flow of its target: every flow that began
    /// before the agent started has ended by then or may be forgotten.
    #[must_use]
    pub fn full_coverage(&self) -> Duration {
        self.max_age
    }
}
