//! Planned operations that come in series and overlap: restarts, signals, replaced targets, changes of the
//! route, and evacuations. Nothing fails in these runs, so callers must notice none of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;

use super::faults::Faults;
use super::soak_plan::ZONES;
use super::{PROPAGATION_LIMIT, SERVICES};
use crate::{FlowFleet, StandinError};

/// Time within which a process must end after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// VMs of each kind that no operation touches, one in each data centre.
const UNTOUCHED: u8 = ZONES;

/// A step of a planned operation.
#[derive(Debug)]
enum Step {
    HangUp(String),
    Terminate(String),
    /// Starts the process again as soon as it has ended, which must be before `limit`.
    Restart {
        vm: String,
        limit: Instant,
    },
    Drain(String),
    ReplaceTarget(String),
    ChangeRoute,
    Evacuate,
}

/// Steps by the time at which they are due.
#[derive(Debug, Default)]
struct Schedule {
    steps: BTreeMap<(Instant, u32), Step>,
    added: u32,
}

impl Schedule {
    fn add(&mut self, at: Instant, step: Step) {
        self.added += 1;
        self.steps.insert((at, self.added), step);
    }

    fn take_due(&mut self, now: Instant) -> Option<Step> {
        let entry = self.steps.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}

impl Faults {
    /// Begins operations until `until`, whether or not earlier ones have ended, and then ends all of them.
    pub(super) async fn run_planned(
        &mut self,
        fleet: &mut FlowFleet,
        until: Instant,
    ) -> Result<(), StandinError> {
        let mut schedule = Schedule::default();
        let mut next_operation = Instant::now();
        while Instant::now() < until || !schedule.steps.is_empty() {
            let now = Instant::now();
            if now >= next_operation && now < until {
                self.draw_operation(&mut schedule, now);
                next_operation = now + self.random_delay(300);
            }
            while let Some(step) = schedule.take_due(now) {
                self.take_step(step, &mut schedule, fleet).await?;
            }
            compio::time::sleep(POLL_INTERVAL / 4).await;
        }
        Ok(())
    }

    fn draw_operation(&mut self, schedule: &mut Schedule, now: Instant) {
        match self.rng.random_range(0..10) {
            0..=3 => {
                let vm = self.random_touched_vm();
                if self.rng.random_ratio(1, 3) {
                    self.hang_up_repeatedly(&vm, schedule, now);
                }
                schedule.add(now + self.random_delay(100), Step::Terminate(vm));
            }
            4 => {
                let vm = self.random_touched_vm();
                self.hang_up_repeatedly(&vm, schedule, now);
            }
            5..=7 => {
                let vm = self.random_touched_target();
                schedule.add(now, Step::Drain(vm.clone()));
                let replaced = now + PROPAGATION_LIMIT + self.random_delay(1000);
                schedule.add(replaced, Step::ReplaceTarget(vm));
            }
            8 => schedule.add(now, Step::ChangeRoute),
            _ => schedule.add(now, Step::Evacuate),
        }
    }

    fn hang_up_repeatedly(&mut self, vm: &str, schedule: &mut Schedule, now: Instant) {
        for _ in 0..self.rng.random_range(1..=6) {
            schedule.add(now + self.random_delay(100), Step::HangUp(vm.to_owned()));
        }
    }

    fn random_touched_target(&mut self) -> String {
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        format!("{service}-{}", self.rng.random_range(UNTOUCHED + 1..=self.plan.targets))
    }

    fn random_touched_vm(&mut self) -> String {
        if self.rng.random_ratio(2, 3) {
            return self.random_touched_target();
        }
        format!("balancer-{}", self.rng.random_range(UNTOUCHED + 1..=self.plan.balancers))
    }

    async fn take_step(
        &mut self,
        step: Step,
        schedule: &mut Schedule,
        fleet: &mut FlowFleet,
    ) -> Result<(), StandinError> {
        match step {
            // No program can obey a signal that arrives before it runs.
            Step::HangUp(ref vm) | Step::Terminate(ref vm) if !fleet.catches_hang_up(vm)? => {
                schedule.add(Instant::now() + POLL_INTERVAL / 4, step);
            }
            Step::HangUp(vm) => {
                self.expectations.borrow_mut().log_action(&format!("hang up {vm}"));
                fleet.hang_up(&vm)?;
            }
            Step::Terminate(vm) if self.stopping.contains(&vm) => {}
            Step::Terminate(vm) => {
                self.record_change(&vm, "stop");
                fleet.terminate(&vm)?;
                self.stopping.insert(vm.clone());
                let now = Instant::now();
                schedule.add(now + POLL_INTERVAL, Step::Restart { vm, limit: now + STOP_LIMIT });
            }
            Step::Restart { vm, limit } => self.restart(vm, limit, schedule, fleet)?,
            Step::Drain(vm) => {
                self.record_change(&vm, "drain target of");
                fleet.target(&vm)?.drain();
            }
            Step::ReplaceTarget(vm) => self.replace_drained(&vm, fleet).await?,
            Step::ChangeRoute => self.change_route(fleet).await?,
            Step::Evacuate => self.evacuate(fleet).await?,
        }
        Ok(())
    }

    /// Starts a process that was told to stop, if it has ended.
    fn restart(
        &mut self,
        vm: String,
        limit: Instant,
        schedule: &mut Schedule,
        fleet: &mut FlowFleet,
    ) -> Result<(), StandinError> {
        let ended = fleet.ended(&vm)?;
        let now = Instant::now();
        if ended.is_none() && now < limit {
            schedule.add(now + POLL_INTERVAL, Step::Restart { vm, limit });
            return Ok(());
        }
        if ended != Some(true) {
            let what = format!("{vm} did not stop as planned: ended {ended:?}");
            self.expectations.borrow_mut().log_violation(&what);
        }
        fleet.run(&vm)?;
        self.stopping.remove(&vm);
        self.record_change(&vm, "start");
        Ok(())
    }
}
