//! Reads the processor time and memory of a process from Linux's `/proc`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Clock ticks per second of the times in `/proc` (`sysconf(_SC_CLK_TCK)`, 100 on Linux).
const TICKS_PER_SECOND: u64 = 100;
const KIB: u64 = 1024;

/// Processor time and memory that a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub memory: u64,
}

impl Usage {
    /// Reads the usage of process `id`; zero if the process has ended.
    #[must_use]
    pub fn of(id: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // Of the fields after the process name in brackets, the 12th and 13th are user and system time.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let memory = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok())
            .unwrap_or(0_u64);
        let cpu_ms = (ticks(11) + ticks(12)) * 1000 / TICKS_PER_SECOND;
        Self { cpu_ms, memory: memory * KIB }
    }

    /// Returns the processor time used since `earlier`.
    #[must_use]
    pub fn cpu_since(&self, earlier: &Self) -> Duration {
        Duration::from_millis(self.cpu_ms.saturating_sub(earlier.cpu_ms))
    }
}
