//! Estimates how long callers of a route wait for the answer to an opening packet, from those
//! that gave up.
//!
//! The platform's documentation gives the longest time. Callers with repeatable requests start
//! the next attempt sooner, and do not announce when. An opening packet that a target takes after
//! its caller has given up opens no flow: the work is wasted, while the caller's next attempt
//! waits behind others.

use std::time::Duration;

use crate::Timestamp;

/// Longest attempt timeout. A caller waits at most 1.4 s for the answer to its opening packet
/// (the platform's page on flows). From that the transit times are deducted: to the target, back
/// to the caller, and to the target again.
pub const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1400 - TRANSIT_MS);
const TRANSIT_MS: u64 = 40;
/// Attempts over which callers spread the timeout of a repeatable request: the first one and two
/// retries (the users' sheets on kinds of request).
pub const ATTEMPTS: u32 = 3;
/// Width of a histogram step; a target with 5 slots takes some 10 opening packets in this time.
const STEP: Duration = Duration::from_millis(100);
/// Number of steps, up to the longest wait of 1.4 s.
const STEPS: usize = 14;
/// Callers that a step needs before it counts: one or two may have lost a packet on the way.
const MIN_CALLERS: u32 = 3;
/// Interval at which all counts are halved, so that changes are learned and a wait that is no
/// longer tried is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, Default)]
struct StepCounts {
    opened: u32,
    abandoned: u32,
}

/// Histogram of whether callers opened their flow, by how long their opening packet waited.
#[derive(Debug, Clone, Default)]
pub struct AttemptTimeoutEstimator {
    steps: [StepCounts; STEPS],
    halved: Timestamp,
}

impl AttemptTimeoutEstimator {
    /// Records whether the caller opened its flow when its opening packet was taken after
    /// `waited`.
    pub fn note(&mut self, waited: Duration, opened: bool, now: Timestamp) {
        self.halve_if_due(now);
        let step = &mut self.steps[step(waited)];
        if opened {
            step.opened += 1;
        } else {
            step.abandoned += 1;
        }
    }

    /// Returns how long callers wait, by adjusting the `assumed` timeout to the observations.
    #[must_use]
    pub fn refine(&self, assumed: Duration, now: Timestamp) -> Duration {
        if now.since(self.halved) >= HALF_LIFE * 2 {
            return assumed;
        }
        let abandoned =
            |step: &StepCounts| step.abandoned >= MIN_CALLERS && step.abandoned > step.opened;
        let there = |step: &StepCounts| step.opened >= MIN_CALLERS && step.opened > step.abandoned;
        let gone_from = self.steps.iter().position(abandoned).unwrap_or(STEPS);
        let there_until = self.steps[..gone_from].iter().rposition(there).map_or(0, |i| i + 1);
        assumed.max(wait(there_until)).min(wait(gone_from)).min(MAX_ATTEMPT_TIMEOUT)
    }

    fn halve_if_due(&mut self, now: Timestamp) {
        if now.since(self.halved) < HALF_LIFE {
            return;
        }
        self.halved = now;
        for step in &mut self.steps {
            step.opened /= 2;
            step.abandoned /= 2;
        }
    }
}

/// Returns the attempt timeout to assume before any observation, for a route with the request
/// timeout `timeout`.
#[must_use]
pub fn assumed(timeout: Option<Duration>, repeatable: bool) -> Duration {
    let Some(timeout) = timeout else { return MAX_ATTEMPT_TIMEOUT };
    let one_try = if repeatable { timeout / ATTEMPTS } else { timeout };
    one_try.saturating_sub(Duration::from_millis(TRANSIT_MS)).min(MAX_ATTEMPT_TIMEOUT)
}

fn wait(steps: usize) -> Duration {
    STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

fn step(waited: Duration) -> usize {
    let step = waited.as_millis() / STEP.as_millis();
    usize::try_from(step).unwrap_or(STEPS).min(STEPS - 1)
}
