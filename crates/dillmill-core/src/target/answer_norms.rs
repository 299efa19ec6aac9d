//! Learns what answers of a target usually look like, and detects outliers.
//!
//! A target may answer every request at once with an error while its heartbeats and health checks
//! are good. The load balancer does not read answers, but the first packet of such an answer
//! arrives much sooner and is much shorter than is usual for its route.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Answers of a route before any can be an outlier: with fewer, the averages are not meaningful.
const MIN_SAMPLES: u32 = 8;
/// An answer is an outlier if both its time and its length are below the usual ones divided by
/// this. Errors are both fast and short; a good answer is occasionally one of the two.
const OUTLIER_DIVISOR: u32 = 2;
/// Inverse weight of a usual answer in the moving averages.
const USUAL_SMOOTHING: u32 = 16;
/// Inverse weight of an outlier in the moving averages. A new version that answers faster and
/// shorter becomes usual after some hundred answers.
const OUTLIER_SMOOTHING: u32 = 64;
/// Weight of an answer in the moving share of outliers.
const OUTLIER_RATE_WEIGHT: f64 = 1.0 / 256.0;
/// A run of consecutive outliers indicates a fault if its probability by chance is below this:
/// once in some ten thousand answers.
const FALSE_POSITIVE_RATE: f64 = 1e-4;
/// Shortest and longest run of outliers that indicates a fault.
const THRESHOLD_RANGE: std::ops::RangeInclusive<u32> = 3..=20;
/// Maximum number of routes with a baseline of their own.
const MAX_ROUTES: usize = 256;

/// How an answer compares with the usual answers of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The answer is like the others, or there are too few to compare with.
    Usual,
    /// The answer came much sooner and is much shorter.
    Outlier {
        /// Number of consecutive outliers that indicates a fault of the target.
        threshold: u32,
    },
}

#[derive(Debug, Clone, Copy)]
struct Norm {
    answers: u32,
    took: Duration,
    len: u32,
    /// Moving share of answers that were outliers.
    outlier_rate: f64,
}

impl Norm {
    fn blend(&mut self, took: Duration, len: u32, smoothing: u32) {
        // The first answers are averaged with equal weights.
        let smoothing = smoothing.min(self.answers + 1);
        self.took = (self.took * (smoothing - 1) + took) / smoothing;
        self.len = (self.len * (smoothing - 1) + len) / smoothing;
        self.answers = self.answers.saturating_add(1);
    }

    /// Returns the shortest run of outliers that is unlikely to occur by chance.
    fn threshold(&self) -> u32 {
        let by_chance = |n: &u32| self.outlier_rate.powi(n.cast_signed()) >= FALSE_POSITIVE_RATE;
        THRESHOLD_RANGE.take_while(by_chance).last().map_or(*THRESHOLD_RANGE.start(), |n| n + 1)
    }
}

/// Baselines of a target's answers, by route.
#[derive(Debug, Default)]
pub struct AnswerNorms {
    routes: HashMap<SocketAddrV4, Norm>,
}

impl AnswerNorms {
    /// Records an answer of `route` whose first packet had `len` bytes and came after `took`, and
    /// classifies it.
    pub fn note(&mut self, route: SocketAddrV4, took: Duration, len: u16) -> AnswerKind {
        let len = u32::from(len);
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return AnswerKind::Usual;
        }
        let first = Norm { answers: 0, took, len, outlier_rate: 0.0 };
        let norm = self.routes.entry(route).or_insert(first);
        let outlier = norm.answers >= MIN_SAMPLES
            && took * OUTLIER_DIVISOR < norm.took
            && len * OUTLIER_DIVISOR < norm.len;
        let threshold = norm.threshold();
        norm.outlier_rate +=
            (f64::from(u8::from(outlier)) - norm.outlier_rate) * OUTLIER_RATE_WEIGHT;
        norm.blend(took, len, if outlier { OUTLIER_SMOOTHING } else { USUAL_SMOOTHING });
        if outlier { AnswerKind::Outlier { threshold } } else { AnswerKind::Usual }
    }
}
