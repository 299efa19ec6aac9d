//! How many bytes a flow brings, on average.

/// Flows over which the bytes of a flow are averaged: some hundred uploads tell how long they are, and a change shows
/// within seconds.
const WINDOW: u64 = 64;

/// Bytes that callers send, and the flows in which they do.
#[derive(Debug, Clone, Copy, Default)]
pub struct FlowVolume {
    bytes: u64,
    flows: u64,
}

impl FlowVolume {
    /// Counts bytes of a flow.
    pub fn count_bytes(&mut self, bytes: u64) {
        self.bytes += bytes;
    }

    /// Counts a new flow.
    pub fn count_flow(&mut self) {
        self.flows += 1;
        if self.flows >= WINDOW {
            self.flows /= 2;
            self.bytes /= 2;
        }
    }

    /// Returns the bytes that a flow brings.
    #[must_use]
    pub fn per_flow(&self) -> u64 {
        self.bytes / self.flows.max(1)
    }
}
