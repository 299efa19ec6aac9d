//! Estimates how fast a target is from the times of its answers, whatever the mix of routes and however
//! few requests take many times as long as the others.
//!
//! Each answer's time is compared with the usual time of its route, so another mix of routes is not taken
//! for a change of speed. A change shows in the mean logarithm of the last answers' deviations from the
//! estimate, against the same mean over many answers.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::service_time::{INITIAL_SERVICE_TIME, OBSERVATION_CAP, ServiceTime};

/// Answers of a route before its usual time is known well enough to compare others with it, and answers
/// of a target before its speed is reported.
const MIN_ANSWERS: u32 = 8;
/// Answers over which the speed is averaged while it does not change.
const STEADY_WINDOW: f64 = 64.0;
/// Answers over which the deviation from the estimate is averaged, so that a change of speed shows within
/// about ten answers.
const RECENT_WINDOW: f64 = 8.0;
/// Answers over which the usual deviation is averaged. The usual deviation is below zero, as a logarithm
/// weighs requests that take long less than the mean does. The window grows from the recent one to this, because the
/// first answer alone tells nothing of what is usual.
const BIAS_WINDOW: f64 = 256.0;
/// Mean deviation, as a factor, from which the speed is taken to have changed: 3.4 standard deviations
/// of the recent deviation where the logarithms of times vary by half. A smaller change is averaged in.
const CHANGE_FACTOR: f64 = 1.6;
/// An observation counts as at least the estimate divided by this number, which bounds its logarithm.
const OBSERVATION_FLOOR_DIVISOR: f64 = 100.0;
/// Shortest time that counts. Times are whole milliseconds, and an estimate of zero could not grow, as an
/// observation counts as at most a multiple of it.
const MIN_TIME: Duration = Duration::from_millis(1);
/// Maximum number of routes with a service time of their own.
const MAX_ROUTES: usize = 256;
/// Sum of the weights of all routes at which they are halved, so that the mix follows the last answers.
const MIX_WINDOW: u32 = 512;

#[derive(Debug, Default)]
struct RouteTime {
    usual: ServiceTime,
    /// Share of the route in the target's answers, as a decaying count.
    weight: u32,
}

/// Speed of one target.
#[derive(Debug)]
pub struct TargetSpeed {
    routes: HashMap<SocketAddrV4, RouteTime>,
    /// Time of the target's answers as a multiple of the usual times of their routes.
    ratio: f64,
    /// Answers over which `ratio` is averaged now.
    window: f64,
    /// Natural logarithm of the mean deviation of the last answers from the estimate.
    deviation: f64,
    /// The same mean over many answers: the deviation that is usual while the speed does not change.
    bias: f64,
    /// Answers over which `bias` is averaged now.
    bias_window: f64,
    answers: u32,
    /// Mean of the routes' usual times by their shares in the answers, in seconds.
    mix: f64,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            routes: HashMap::new(),
            ratio: 1.0,
            window: STEADY_WINDOW,
            deviation: 0.0,
            bias: 0.0,
            bias_window: RECENT_WINDOW,
            answers: 0,
            mix: INITIAL_SERVICE_TIME.as_secs_f64(),
        }
    }
}

impl TargetSpeed {
    /// Records that a request of `route` that did not queue took `took`.
    pub fn note(&mut self, route: SocketAddrV4, took: Duration) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return;
        }
        let took = took.max(MIN_TIME).as_secs_f64();
        let usual = self.routes.get(&route).map(|time| time.usual);
        if let Some(usual) = usual.filter(|usual| usual.answers() >= MIN_ANSWERS) {
            self.note_ratio(took / usual.seconds());
        }
        let time = self.routes.entry(route).or_default();
        time.usual.note(took / self.ratio);
        time.weight += 1;
        self.answers = self.answers.saturating_add(1);
        self.update_mix();
    }

    fn note_ratio(&mut self, observed: f64) {
        let observed =
            observed.min(self.ratio * OBSERVATION_CAP).max(self.ratio / OBSERVATION_FLOOR_DIVISOR);
        let deviation = (observed / self.ratio).ln();
        self.bias += (deviation - self.bias) / self.bias_window;
        self.bias_window = (self.bias_window + 1.0).min(BIAS_WINDOW);
        self.deviation += (deviation - self.deviation) / RECENT_WINDOW;
        let change = self.deviation - self.bias;
        if change.abs() >= CHANGE_FACTOR.ln() {
            self.ratio *= change.exp();
            self.deviation = self.bias;
            self.window = RECENT_WINDOW;
        }
        self.ratio += (observed - self.ratio) / self.window;
        self.window = (self.window + 1.0).min(STEADY_WINDOW);
    }

    fn update_mix(&mut self) {
        let total: u32 = self.routes.values().map(|time| time.weight).sum();
        if total >= MIX_WINDOW {
            self.routes.values_mut().for_each(|time| time.weight /= 2);
        }
        let weighted = |time: &RouteTime| (f64::from(time.weight), time.usual.seconds());
        let (weights, sum) = self
            .routes
            .values()
            .map(weighted)
            .fold((0.0, 0.0), |(weights, sum), (w, usual)| (weights + w, sum + w * usual));
        if weights > 0.0 {
            self.mix = sum / weights;
        }
    }

    /// Returns the service time: the time that the target takes for a request that does not queue.
    #[must_use]
    pub fn work(&self) -> Duration {
        Duration::from_secs_f64(self.mix * self.ratio)
    }

    /// Returns the service time once there are enough answers to tell the target's speed.
    #[must_use]
    pub fn measured_work(&self) -> Option<Duration> {
        (self.answers >= MIN_ANSWERS).then(|| self.work())
    }

    /// Returns the time in seconds that the target takes for a request of `route`.
    #[must_use]
    pub fn seconds_of(&self, route: SocketAddrV4) -> f64 {
        self.routes.get(&route).map_or(self.mix, |time| time.usual.seconds()) * self.ratio
    }
}
