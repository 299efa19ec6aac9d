use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{IN_FORCE, SoakReport, ZONES};

/// How long after an unplanned fault of its VM a flow may be given up.
const DISTURBED: Duration = Duration::from_secs(5);

/// What is true at a moment, against which callers hold what they see.
pub(super) struct Facts {
    pub(super) started: Instant,
    pub(super) report: SoakReport,
    pub(super) living: BTreeSet<String>,
    pub(super) disturbed: BTreeMap<String, Instant>,
    pub(super) routes: Vec<(Instant, &'static str)>,
    /// The data centre that is evacuated, and since when.
    pub(super) evacuated: Option<(u8, Instant)>,
}

pub(super) type Shared = Rc<RefCell<Facts>>;

impl Facts {
    pub(super) fn act(&mut self, what: &str) {
        let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
        self.report.actions.push(line);
    }

    pub(super) fn breaks(&mut self, what: &str) {
        let line = format!("{:6.2} {what}", self.started.elapsed().as_secs_f64());
        self.report.broken.push(line);
    }

    fn was_disturbed(&self, vm: &str) -> bool {
        let recent = |at: &Instant| at.elapsed() < DISTURBED;
        self.disturbed.get(vm).is_some_and(recent)
            || self.disturbed.iter().any(|(n, at)| n.starts_with("balancer") && recent(at))
    }

    /// Returns the services that a flow opened at `at` may be answered by.
    fn services(&self, at: Instant) -> Vec<&'static str> {
        let begin = at.checked_sub(IN_FORCE).unwrap_or(at);
        let before = self.routes.iter().rfind(|(since, _)| *since <= begin);
        let after = self.routes.iter().filter(|(since, _)| *since > begin);
        before.into_iter().chain(after).map(|(_, service)| *service).collect()
    }

    /// Returns whether a flow that was opened at `at` must not have gone to `run`.
    fn is_evacuated(&self, run: &str, at: Instant) -> bool {
        let number = vm_of(run).rsplit('-').next().and_then(|n| n.parse::<u8>().ok());
        let in_force = |(zone, since): (u8, Instant)| {
            let there = number.is_some_and(|n| (n - 1) % ZONES + 1 == zone);
            there && at > since + IN_FORCE
        };
        self.evacuated.is_some_and(in_force)
    }

    /// Holds an answer on a flow that was opened at `opened` against what may answer it.
    pub(super) fn check_answer(&mut self, before: Option<&str>, run: &str, opened: Instant) {
        self.report.answered += 1;
        match before {
            Some(before) if before != run => {
                self.breaks(&format!("flow of {before} answered by {run}"));
            }
            Some(_) => {}
            None => {
                if self.is_evacuated(run, opened) {
                    self.breaks(&format!(
                        "new flow answered by {run}, whose data centre is evacuated"
                    ));
                }
                let allowed = self.services(opened);
                if !allowed.iter().any(|service| run.starts_with(service)) {
                    self.breaks(&format!("new flow answered by {run}, only {allowed:?} may"));
                }
            }
        }
    }

    pub(super) fn check_reset(&mut self, owner: &str) {
        let vm = vm_of(owner);
        if self.living.contains(owner) && !self.was_disturbed(vm) {
            self.breaks(&format!("flow of {owner} reset while its target lives"));
        }
        self.report.ended += 1;
    }
}

/// A run of a target is named after its VM: `orders-1/4`.
pub(super) fn vm_of(run: &str) -> &str {
    run.split('/').next().unwrap_or(run)
}
