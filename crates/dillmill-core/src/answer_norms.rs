//! What answers of a target are usually like, and which ones are out of line.
//!
//! A target may answer each request at once with an error while its heartbeats and its health are good. Nobody here
//! reads an answer, but its first packet comes much sooner, and is much shorter, than those of its route usually are.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Answers of a route before anything is out of line: with fewer the averages say little.
const ENOUGH: u32 = 8;
/// An answer is out of line if both its time and its length are below this part of the usual ones: an error comes soon
/// and is short, a sound answer is now and then one of the two.
const PART: u32 = 2;
/// Weight of a usual answer in the averages.
const USUAL_SHARE: u32 = 16;
/// Weight of one that is out of line: a new version that answers sooner and shorter becomes usual after some hundred answers.
const ODD_SHARE: u32 = 64;
/// Weight of an answer in the share of those out of line.
const RATE_SHARE: f64 = 1.0 / 256.0;
/// A row of answers out of line shows a fault if it comes by chance less often than this: once in some ten thousand answers.
const CHANCE: f64 = 1e-4;
/// Shortest and longest row that shows a fault.
const ROW: std::ops::RangeInclusive<u32> = 3..=20;
/// Routes that are told apart at most.
const ROUTES: usize = 256;

/// How an answer compares with the usual ones of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// It is like the others, or too little is known.
    Usual,
    /// It came much sooner and is much shorter.
    Outlier {
        /// How many of them in a row show a fault of the target.
        threshold: u32,
    },
}

#[derive(Debug, Clone, Copy)]
struct Norm {
    answers: u32,
    took: Duration,
    len: u32,
    /// Share of answers that were out of line.
    odd: f64,
}

impl Norm {
    fn blend(&mut self, took: Duration, len: u32, share: u32) {
        // The first answers count alike.
        let share = share.min(self.answers + 1);
        self.took = (self.took * (share - 1) + took) / share;
        self.len = (self.len * (share - 1) + len) / share;
        self.answers = self.answers.saturating_add(1);
    }

    /// Returns the shortest row of answers out of line that does not come by chance.
    fn threshold(&self) -> u32 {
        let by_chance = |n: &u32| self.odd.powi(n.cast_signed()) >= CHANCE;
        ROW.take_while(by_chance).last().map_or(*ROW.start(), |n| n + 1)
    }
}

/// The usual answers of a target, for each route.
#[derive(Debug, Default)]
pub struct AnswerNorms {
    routes: HashMap<SocketAddrV4, Norm>,
}

impl AnswerNorms {
    /// Takes in an answer of `route` whose first packet came after `took` with `len` bytes.
    pub fn note(&mut self, route: SocketAddrV4, took: Duration, len: u16) -> AnswerKind {
        let len = u32::from(len);
        if self.routes.len() >= ROUTES && !self.routes.contains_key(&route) {
            return AnswerKind::Usual;
        }
        let first = Norm { answers: 0, took, len, odd: 0.0 };
        let norm = self.routes.entry(route).or_insert(first);
        let odd = norm.answers >= ENOUGH && took * PART < norm.took && len * PART < norm.len;
        let threshold = norm.threshold();
        norm.odd += (f64::from(u8::from(odd)) - norm.odd) * RATE_SHARE;
        norm.blend(took, len, if odd { ODD_SHARE } else { USUAL_SHARE });
        if odd { AnswerKind::Outlier { threshold } } else { AnswerKind::Usual }
    }
}
