//! Estimates the mean number of bytes and requests that callers send in a flow.

/// Number of flows at which the counts are halved, so that the mean follows the last flows. Some
/// hundred uploads show how long they are, and a change shows within seconds.
const WINDOW: u64 = 64;
/// Flows that must have been counted before their mean number of requests is known.
const MIN_FLOWS: u64 = 4;

/// Decaying counts of the bytes and requests that callers send, and of their flows.
#[derive(Debug, Clone, Copy, Default)]
pub struct FlowVolume {
    bytes: u64,
    requests: u64,
    flows: u64,
}

impl FlowVolume {
    /// Counts bytes that a caller sends.
    pub fn count_bytes(&mut self, bytes: u64) {
        self.bytes += bytes;
    }

    /// Counts a request.
    pub fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Counts a new flow.
    pub fn count_flow(&mut self) {
        self.flows += 1;
        if self.flows >= WINDOW {
            self.flows /= 2;
            self.bytes /= 2;
            self.requests /= 2;
        }
    }

    /// Returns the mean number of bytes per flow.
    #[must_use]
    pub fn per_flow(&self) -> u64 {
        self.bytes / self.flows.max(1)
    }

    /// Returns whether the flows carry two requests or more on average.
    #[must_use]
    pub fn carries_several(&self) -> bool {
        self.flows >= MIN_FLOWS && self.requests >= self.flows * 2
    }
}
