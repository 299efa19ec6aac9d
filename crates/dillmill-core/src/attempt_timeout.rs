//! How long the callers of a route wait for an answer to an opening packet, learned from those that did not.
//!
//! The platform's page names the longest time; callers whose requests may be repeated begin another try sooner,
//! and nobody says when. An opening packet that a target takes after its caller has gone opens no flow: work in
//! vain, and at the same moment the next try of that caller waits behind others.

use std::time::Duration;

use crate::Timestamp;

/// A caller waits at most 1.4 s for the answer to its opening packet (the platform's page on flows); the rest is for
/// the ways to the target, back to the caller, and from it to the target once more.
pub const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1400 - WAYS_MS);
const WAYS_MS: u64 = 40;
/// Tries among which callers spread the time of a request that may be repeated: a first one and two retries (the
/// sheets of the users' kinds of request).
const TRIES: u32 = 3;
/// Waits are told apart to this; a target with 5 slots takes some 10 opening packets in this time.
const STEP: Duration = Duration::from_millis(100);
/// Steps up to the longest wait, 1.4 s.
const STEPS: usize = 14;
/// Callers that must be gone at one step before it counts: one or two may have lost a packet on the way.
const ENOUGH: u32 = 3;
/// What was seen weighs half as much after this time, so that a change is learned, and a wait that is no longer
/// tried is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    opened: u32,
    gone: u32,
}

/// What became of opening packets after their waits.
#[derive(Debug, Clone, Default)]
pub struct AttemptTimeoutEstimator {
    steps: [Outcomes; STEPS],
    halved: Timestamp,
}

impl AttemptTimeoutEstimator {
    /// Notes that a caller opened its flow, or did not, when its opening packet was taken after `waited`.
    pub fn note(&mut self, waited: Duration, opened: bool, now: Timestamp) {
        self.halve_if_due(now);
        let step = &mut self.steps[step(waited)];
        if opened {
            step.opened += 1;
        } else {
            step.gone += 1;
        }
    }

    /// Returns how long callers wait, given what is `assumed` of them.
    #[must_use]
    pub fn refine(&self, assumed: Duration, now: Timestamp) -> Duration {
        if now.since(self.halved) >= HALF_LIFE * 2 {
            return assumed;
        }
        let gone = |step: &Outcomes| step.gone >= ENOUGH && step.gone > step.opened;
        let there = |step: &Outcomes| step.opened >= ENOUGH && step.opened > step.gone;
        let gone_from = self.steps.iter().position(gone).unwrap_or(STEPS);
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
            step.gone /= 2;
        }
    }
}

/// Returns how long callers of a route wait that gives a request `timeout`, as far as can be told before any was seen.
#[must_use]
pub fn assumed(timeout: Option<Duration>, repeatable: bool) -> Duration {
    let Some(timeout) = timeout else { return MAX_ATTEMPT_TIMEOUT };
    let one_try = if repeatable { timeout / TRIES } else { timeout };
    one_try.saturating_sub(Duration::from_millis(WAYS_MS)).min(MAX_ATTEMPT_TIMEOUT)
}

fn wait(steps: usize) -> Duration {
    STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

fn step(waited: Duration) -> usize {
    let step = waited.as_millis() / STEP.as_millis();
    usize::try_from(step).unwrap_or(STEPS).min(STEPS - 1)
}
