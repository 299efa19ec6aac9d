//! Faults that hit many machines or connections at once, with changes of the route in between.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::SERVICES;
use super::expectations::vm_of;
use super::faults::Faults;
use crate::{FlowFleet, StandinError};

impl Faults {
    /// Injects an outage, or changes the route.
    pub(super) async fn next_outage(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        match self.rng.random_range(0..7) {
            0 | 1 => self.lose_power(fleet).await,
            2 | 3 => self.crash_target(fleet).await,
            4 => self.silence_connections(fleet).await,
            _ => self.change_route(fleet).await,
        }
    }

    /// Takes the power from all VMs whose processes have an entry in the store, and from some others, often just
    /// before a change of the route. One target of each service and one balancer are left.
    async fn lose_power(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let mut lost: BTreeSet<String> = fleet.registered().await?.into_iter().collect();
        lost.extend(fleet.names().into_iter().filter(|_| self.rng.random_ratio(1, 3)));
        for kind in SERVICES.into_iter().chain(["balancer"]) {
            let all: Vec<String> =
                fleet.names().into_iter().filter(|name| name.starts_with(kind)).collect();
            if all.iter().all(|name| lost.contains(name))
                && let Some(kept) = all.choose(&mut self.rng)
            {
                lost.remove(kept);
            }
        }
        for vm in &lost {
            self.record_fault(vm, "power off");
            self.expectations.borrow_mut().live_runs.retain(|run| vm_of(run) != vm);
            fleet.power_off(vm)?;
        }
        if self.rng.random_ratio(2, 3) {
            self.change_route(fleet).await?;
        }
        compio::time::sleep(self.random_delay(4500)).await;
        for vm in lost {
            fleet.run(&vm)?;
            if self.names.contains(&vm) {
                self.start_run(&vm, Duration::ZERO, fleet).await?;
            }
            self.record_fault(&vm, "power on");
        }
        Ok(())
    }

    /// Crashes a target; another run starts at its address, as soon as that may be used again.
    async fn crash_target(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.names[self.rng.random_range(0..self.names.len())].clone();
        self.record_fault(&vm, "crash target of");
        self.expectations.borrow_mut().live_runs.retain(|run| vm_of(run) != vm);
        fleet.crash_target(&vm)?;
        compio::time::sleep(Duration::from_secs(2) + self.random_delay(500)).await;
        let silence = self.random_delay(600);
        self.start_run(&vm, silence, fleet).await?;
        self.record_fault(&vm, "new target at");
        Ok(())
    }

    async fn start_run(
        &mut self,
        vm: &str,
        silence: Duration,
        fleet: &mut FlowFleet,
    ) -> Result<(), StandinError> {
        self.runs += 1;
        let run = format!("{vm}/{}", self.runs);
        fleet.run_silent_target(vm, &run, silence).await?;
        self.expectations.borrow_mut().live_runs.insert(run);
        Ok(())
    }

    /// Silences connections to the store for good: all, or those that have rested.
    async fn silence_connections(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let idle = if self.rng.random() { Duration::ZERO } else { Duration::from_secs(2) };
        let count = fleet.proxy().silence_idle_connections(idle);
        let what = format!("{count} connections to the store, idle for {idle:?}, go silent");
        self.expectations.borrow_mut().log_action(&what);
        // Processes are in touch with the store again when their next calls have opened new connections.
        compio::time::sleep(Duration::from_secs(4)).await;
        self.change_route(fleet).await
    }
}
