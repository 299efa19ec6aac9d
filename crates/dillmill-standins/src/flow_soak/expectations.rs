//! Expected behaviour of the fleet during a soak, and the checks of observations against it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{PROPAGATION_LIMIT, SoakReport, ZONES};

/// Time after an unplanned fault of its VM, or of any balancer, during which a flow may be reset.
const FAULT_GRACE: Duration = Duration::from_secs(5);

/// The current state of fleet and settings, against which the observations of callers are checked.
pub(super) struct Expectations {
    pub(super) started: Instant,
    pub(super) report: SoakReport,
    pub(super) live_runs: BTreeSet<String>,
    pub(super) last_faults: BTreeMap<String, Instant>,
    pub(super) routes: Vec<(Instant, &'static str)>,
    /// Number of the evacuated data centre, and the time of the order.
    pub(super) evacuated: Option<(u8, Instant)>,
}

pub(super) type SharedExpectations = Rc<RefCell<Expectations>>;

impl Expectations {
    pub(super) fn log_action(&mut self, what: &str) {
        let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
        self.report.actions.push(line);
    }

    pub(super) fn log_violation(&mut self, what: &str) {
        let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
        self.report.violations.push(line);
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
        let number = vm_of(run).rsplit('-').next().and_then(|n| n.parse::<u8>().ok());
        let in_force = |(zone, since): (u8, Instant)| {
            let there = number.is_some_and(|n| (n - 1) % ZONES + 1 == zone);
            there && at > since + PROPAGATION_LIMIT
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
}

/// Returns the VM of a run of a target; runs are named after it, such as `orders-1/4`.
pub(super) fn vm_of(run: &str) -> &str {
    run.split('/').next().unwrap_or(run)
}
