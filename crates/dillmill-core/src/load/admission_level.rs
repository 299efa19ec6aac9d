//! Decides which new flows of an overloaded service a balancer refuses before it sends them to an
//! agent.
//!
//! Responds to sustained demand beyond all slots of a service, which shows as an expected wait of
//! more than twice a route's timeout at every agent that reports. One agent with a shorter wait is
//! enough to admit everything.
//!
//! A refusal uses up an attempt without any waiting. When the load falls, the callers that still
//! wait are served, so refusals at a shorter wait cost answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::attempt_timeout::MAX_ATTEMPT_TIMEOUT;
use crate::placement::LoadReport;
use crate::{FlowTuple, PRIORITY_CLASSES, Percent, ProcessId, RouteEntry, Timestamp};

/// Interval at which the refused share changes.
const STEP: Duration = Duration::from_millis(100);
/// Percentage points by which the refused share rises in a step.
const RISE: u8 = 5;
/// Percentage points by which the refused share falls in a step. It falls faster than it rises,
/// because a refusal uses up one of the caller's attempts.
const FALL: u8 = 10;
/// Expected wait from which new flows of a class are refused, in percent of the route's timeout. At
/// twice the slots for 15 s, refusals from 100 % on cost 0.5 to 0.8 % of the answers, and from 150 %
/// on up to 0.2 %: callers whose attempts are used up are missing when the load falls.
const FIRST_REFUSED_PERCENT: u32 = 200;
/// Expected wait from which all new flows of a class are refused, in percent of the route's timeout.
const ALL_REFUSED_PERCENT: u32 = 300;
/// Refused share of all lower classes from which a class may be refused, in percent.
const SATURATED: u8 = 90;
/// Age after which a load report no longer counts. Agents whose load changes report every 50 to
/// 200 ms, and without reports everything must be admitted within a second.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which a class counts as in use after its last new flow.
const CLASS_LIFETIME: Duration = Duration::from_secs(2);
/// Time without a step after which the missed steps are not made up for.
const MAX_STEP_GAP: Duration = Duration::from_secs(1);
/// Seed of the hash that chooses the refused flows. A caller's next attempt has another port, and
/// so another hash.
const REFUSAL_SEED: u64 = u64::MAX - 2;

/// Returns the expected wait beyond which new flows with this timeout may be refused.
fn first_refused_wait(timeout: Duration) -> Duration {
    timeout * FIRST_REFUSED_PERCENT / 100
}

/// Returns the expected wait beyond which all new flows with this timeout are refused.
#[must_use]
pub fn all_refused_wait(timeout: Duration) -> Duration {
    timeout * ALL_REFUSED_PERCENT / 100
}

/// Why a new flow is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadRefusal {
    /// Class of the flow's priority.
    pub class: usize,
    /// Shortest expected wait for the class at the agents that report.
    pub wait: Duration,
    /// Refused share of the class.
    pub level: Percent,
}

/// State of one class of priority.
#[derive(Debug, Clone, Copy, Default)]
struct Class {
    last_flow: Option<Timestamp>,
    /// Longest timeout of the routes of the class, all attempts included.
    timeout: Duration,
    level: u8,
}

impl Class {
    fn in_use(&self, now: Timestamp) -> bool {
        self.last_flow.is_some_and(|at| now.since(at) < CLASS_LIFETIME)
    }

    fn note_flow(&mut self, timeout: Duration, now: Timestamp) {
        let longest = if self.in_use(now) { self.timeout } else { Duration::ZERO };
        self.timeout = longest.max(timeout);
        self.last_flow = Some(now);
    }

    /// Returns the share to which the level may rise, in percent.
    fn ceiling(&self, wait: Duration) -> u8 {
        let first = first_refused_wait(self.timeout);
        let beyond = wait.saturating_sub(first).as_millis();
        let range = all_refused_wait(self.timeout).saturating_sub(first).as_millis();
        let share = (beyond * 100).checked_div(range).unwrap_or(0);
        u8::try_from(share.min(100)).unwrap_or(100)
    }
}

/// Refused share of the new flows of one service, by class of priority.
#[derive(Debug, Default)]
pub struct AdmissionLevel {
    reports: HashMap<ProcessId, (LoadReport, Timestamp)>,
    classes: [Class; PRIORITY_CLASSES],
    stepped: Timestamp,
}

impl AdmissionLevel {
    /// Records an agent's load report.
    pub fn report(&mut self, report: LoadReport, now: Timestamp) {
        self.reports.insert(report.process, (report, now));
    }

    /// Returns why a new flow of `route` is refused, or `None` if it is admitted.
    pub fn refusal(
        &mut self,
        flow: &FlowTuple,
        route: &RouteEntry,
        now: Timestamp,
    ) -> Option<OverloadRefusal> {
        if !route.overload.admission_control {
            return None;
        }
        let timeout = route.timeout.unwrap_or(MAX_ATTEMPT_TIMEOUT);
        // Without the order by priority, requests of the route wait behind all others.
        let class = route.effective_priority().class();
        self.classes[class].note_flow(timeout, now);
        let wait = self.shortest_wait(class, now)?;
        if wait <= first_refused_wait(timeout) || !self.lower_saturated(class, now) {
            return None;
        }
        let level = self.classes[class].level;
        let chosen = flow.score(REFUSAL_SEED) % 100 < u64::from(level);
        let refused = chosen || wait > all_refused_wait(timeout);
        refused.then_some(OverloadRefusal { class, wait, level: Percent(level) })
    }

    /// Changes the refused shares by the steps that are due.
    pub fn step(&mut self, now: Timestamp) {
        self.reports.retain(|_, (_, at)| now.since(*at) < REPORT_LIFETIME);
        if self.reports.is_empty() {
            // Without reports, the balancer does not know whether the load is still there.
            self.classes = self.classes.map(|class| Class { level: 0, ..class });
        }
        if now.since(self.stepped) >= MAX_STEP_GAP {
            self.stepped = now - STEP;
        }
        while now.since(self.stepped) >= STEP {
            self.stepped = self.stepped + STEP;
            for class in (0..PRIORITY_CLASSES).rev() {
                self.step_class(class, now);
            }
        }
    }

    fn step_class(&mut self, class: usize, now: Timestamp) {
        let wait = self.shortest_wait(class, now).unwrap_or_default();
        let may_rise = self.lower_saturated(class, now);
        let state = &mut self.classes[class];
        let ceiling = if state.in_use(now) && may_rise { state.ceiling(wait) } else { 0 };
        state.level = if state.level < ceiling {
            (state.level + RISE).min(ceiling)
        } else {
            state.level.saturating_sub(FALL).max(ceiling)
        };
    }

    /// Returns the refused share of a class.
    #[must_use]
    pub fn level(&self, class: usize) -> Percent {
        Percent(self.classes.get(class).map_or(0, |class| class.level))
    }

    /// Returns whether nearly all new flows of the classes below `class` are refused.
    fn lower_saturated(&self, class: usize, now: Timestamp) -> bool {
        let mut lower = self.classes[class + 1..].iter().filter(|lower| lower.in_use(now));
        lower.all(|lower| lower.level >= SATURATED)
    }

    /// Returns the shortest expected wait of one more request of `class`, over the agents with a
    /// current report whose targets take new flows; `None` if there is none.
    fn shortest_wait(&self, class: usize, now: Timestamp) -> Option<Duration> {
        let current = self.reports.values().filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        let open = current.map(|(report, _)| report).filter(|report| report.slots.0 > 0);
        open.map(|report| expected_wait(report, class)).min()
    }
}

/// Returns the expected wait of one more request of `class` at an agent.
fn expected_wait(report: &LoadReport, class: usize) -> Duration {
    // The many requests after a restart end with the cold period and are no sustained demand.
    if report.pace.cold.is_some() {
        return Duration::ZERO;
    }
    let waiting: u32 = report.detail.waiting[..=class].iter().copied().map(u32::from).sum();
    let ahead = u32::from(report.in_use) + u32::from(report.queued) + waiting + 1;
    let slots = u32::from(report.slots.0.max(1));
    report.pace.work.saturating_mul(ahead.saturating_sub(slots)) / slots
}
