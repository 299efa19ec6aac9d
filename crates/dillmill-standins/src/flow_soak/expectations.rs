//! Expected behaviour of the fleet during a soak, and the checks of observations against it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::soak_plan::ZONES;
use super::{PROPAGATION_LIMIT, SoakReport};
use crate::flow_caller::FlowError;

/// Time after an unplanned fault of its VM, or of any balancer, during which a flow may be reset.
const FAULT_GRACE: Duration = Duration::from_secs(5);
/// Violations that are reported in full. One cause can refuse thousands of flows.
const MAX_VIOLATIONS: usize = 50;

/// The current state of fleet and settings, against which the observations of callers are checked.
pub(super) struct Expectations {
    pub(super) started: Instant,
    pub(super) report: SoakReport,
    pub(super) live_runs: BTreeSet<String>,
    pub(super) last_faults: BTreeMap<String, Instant>,
    /// Last planned stop or start of each VM's process or target.
    pub(super) last_changes: BTreeMap<String, Instant>,
    /// End of the last burst of flows.
    pub(super) last_burst: Option<Instant>,
    pub(super) routes: Vec<(Instant, &'static str)>,
    /// Number of the evacuated data centre, and the time of the order.
    pub(super) evacuated: Option<(u8, Instant)>,
    /// Only planned operations take place, so that a new flow must always be answered.
    pub(super) planned: bool,
}

pub(super) type SharedExpectations = Rc<RefCell<Expectations>>;

impl Expectations {
    pub(super) fn log_action(&mut self, what: &str) {
        let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
        self.report.actions.push(line);
    }

    pub(super) fn log_violation(&mut self, what: &str) {
        if self.report.violations.len() < MAX_VIOLATIONS {
            let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
            self.report.violations.push(line);
        }
    }

    fn had_recent_fault(&self, vm: &str) -> bool {
        let recent = |at: &Instant| at.elapsed() < FAULT_GRACE;
        self.last_faults.get(vm).is_some_and(recent)
            || self.last_faults.iter().any(|(n, at)| n.starts_with("balancer") && recent(at))
    }

    /// Returns the services that may answer a flow opened at `at`.
    fn services(&self, at: Instant) -> Vec<&'static str> {
        let begin = at.checked_sub(PROPAGATION_LIMIT).unwrap_or(at);
        let before = self.routes.iter().rfind(|(since, _)| *since <= begin);
        let after = self.routes.iter().filter(|(since, _)| *since > begin);
        before.into_iter().chain(after).map(|(_, service)| *service).collect()
    }

    /// Returns whether a flow opened at `at` must not go to `run`, as the evacuation of its data centre was in
    /// force by then.
    fn is_evacuated(&self, run: &str, at: Instant) -> bool {
        let in_force = |(zone, since): (u8, Instant)| {
            zone_of(run) == Some(zone) && at > since + PROPAGATION_LIMIT
        };
        self.evacuated.is_some_and(in_force)
    }

    /// Checks the answer of `run` on a flow opened at `opened`; `before` is the run that answered the flow
    /// earlier.
    pub(super) fn check_answer(&mut self, before: Option<&str>, run: &str, opened: Instant) {
        self.report.answered += 1;
        match before {
            Some(before) if before != run => {
                self.log_violation(&format!("flow of {before} answered by {run}"));
            }
            Some(_) => {}
            None => {
                if self.is_evacuated(run, opened) {
                    self.log_violation(&format!(
                        "new flow answered by {run}, whose data centre is evacuated"
                    ));
                }
                let allowed = self.services(opened);
                if !allowed.iter().any(|service| run.starts_with(service)) {
                    self.log_violation(&format!(
                        "new flow answered by {run}, only {allowed:?} may"
                    ));
                }
            }
        }
    }

    /// Checks the reset of a flow: it is a violation if the run `owner` is live and no recent fault
    /// explains it.
    pub(super) fn check_reset_allowed(&mut self, owner: &str) {
        let vm = vm_of(owner);
        if self.live_runs.contains(owner) && !self.had_recent_fault(vm) {
            self.log_violation(&format!("flow of {owner} reset while its target is live"));
        }
        self.report.ended_unanswered += 1;
    }

    /// Checks the end of a new flow, opened at `opened`, that got no answer; `accepted` tells whether a target
    /// had accepted it.
    pub(super) fn check_new_flow_end(&mut self, end: FlowError, accepted: bool, opened: Instant) {
        match (end, accepted) {
            (FlowError::Reset, false) => self.check_end_allowed(end, opened),
            (FlowError::Reset, true) => self.check_first_reset_allowed(opened),
            (FlowError::Silent, false) if self.planned => self.check_end_allowed(end, opened),
            (FlowError::Silent, _) => self.report.ended_unanswered += 1,
        }
    }

    /// Checks the `end` of a new flow opened at `opened`: it is a violation if each service that may answer it
    /// has a target that nothing has disturbed lately. Overloaded targets may refuse.
    fn check_end_allowed(&mut self, end: FlowError, opened: Instant) {
        self.report.ended_unanswered += 1;
        let overloaded = self.last_burst.is_some_and(|at| at + PROPAGATION_LIMIT > opened);
        let services = self.services(opened);
        if !overloaded && services.iter().all(|service| self.has_calm_target(service, opened)) {
            let what = match end {
                FlowError::Reset => "refused",
                FlowError::Silent => "not answered",
            };
            self.log_violation(&format!("new flow {what}, targets of {services:?} are live"));
        }
    }

    /// Checks the reset of a flow, opened at `opened`, whose first request got no answer. In addition to
    /// [`check_end_allowed`](Self::check_end_allowed), the target that accepted it may have ended since.
    fn check_first_reset_allowed(&mut self, opened: Instant) {
        let events = self.last_faults.iter().chain(&self.last_changes);
        if events.into_iter().any(|(_, at)| *at >= opened) {
            self.report.ended_unanswered += 1;
        } else {
            self.check_end_allowed(FlowError::Reset, opened);
        }
    }

    /// Returns whether a target of `service` was available at `at` and nothing has happened to it shortly
    /// before.
    fn has_calm_target(&self, service: &str, at: Instant) -> bool {
        let calm = |events: &BTreeMap<String, Instant>, vm: &str| {
            events.get(vm).is_none_or(|event| *event + PROPAGATION_LIMIT < at)
        };
        let mut runs = self.live_runs.iter().filter(|run| vm_of(run).starts_with(service));
        runs.any(|run| {
            let vm = vm_of(run);
            let ordered = self.evacuated.is_some_and(|(zone, _)| zone_of(run) == Some(zone));
            !ordered && calm(&self.last_faults, vm) && calm(&self.last_changes, vm)
        })
    }

    /// Checks that a request on an open flow of `owner`, sent at `sent`, got no answer: it is a violation if
    /// the run is live and no fault or change of its VM explains it.
    pub(super) fn check_silence_allowed(&mut self, owner: &str, sent: Instant) {
        self.report.ended_unanswered += 1;
        let since = sent.checked_sub(FAULT_GRACE).unwrap_or(sent);
        let undisturbed = |events: &BTreeMap<String, Instant>| {
            events.get(vm_of(owner)).is_none_or(|event| *event < since)
        };
        let calm = undisturbed(&self.last_faults) && undisturbed(&self.last_changes);
        if calm && self.live_runs.contains(owner) {
            self.log_violation(&format!(
                "request to {owner} not answered while its target is live"
            ));
        }
    }
}

/// Returns the number of the data centre of a run's VM.
fn zone_of(run: &str) -> Option<u8> {
    let number = vm_of(run).rsplit('-').next().and_then(|n| n.parse::<u8>().ok())?;
    Some((number - 1) % ZONES + 1)
}

/// Returns the VM of a run of a target; runs are named after it, such as `orders-1/4`.
pub(super) fn vm_of(run: &str) -> &str {
    run.split('/').next().unwrap_or(run)
}
