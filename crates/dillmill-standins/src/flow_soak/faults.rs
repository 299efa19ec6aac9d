//! Fault injection of the soak.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use super::expectations::{SharedExpectations, vm_of};
use super::soak_plan::SoakPlan;
use super::{PROPAGATION_LIMIT, SERVICES};
use crate::flow_fleet::wait;
use crate::flow_proxy::ProxyMode;
use crate::platform::PlatformFaults;
use crate::{FlowCaller, FlowFleet, StandinError};

const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Draws random faults and injects them.
pub(super) struct Faults {
    pub(super) rng: StdRng,
    pub(super) names: Vec<String>,
    pub(super) expectations: SharedExpectations,
    pub(super) runs: u32,
    pub(super) version: u64,
    pub(super) plan: SoakPlan,
    /// VMs whose processes have been told to stop by a planned operation and have not ended yet.
    pub(super) stopping: BTreeSet<String>,
    /// Host of the callers of all bursts. A new host for each burst would use the ports of earlier flows
    /// again, which targets hold until the idle timeout.
    pub(super) burst_caller: Rc<FlowCaller>,
}

impl Faults {
    fn random_vm(&mut self) -> String {
        let balancers = usize::from(self.plan.balancers);
        let n = self.rng.random_range(0..self.names.len() + balancers);
        match self.names.get(n) {
            Some(name) => name.clone(),
            None => format!("balancer-{}", n - self.names.len() + 1),
        }
    }

    pub(super) fn record_fault(&self, vm: &str, what: &str) {
        let mut expectations = self.expectations.borrow_mut();
        expectations.log_action(&format!("{what} {vm}"));
        expectations.last_faults.insert(vm.to_owned(), Instant::now());
    }

    pub(super) fn record_change(&self, vm: &str, what: &str) {
        let mut expectations = self.expectations.borrow_mut();
        expectations.log_action(&format!("{what} {vm}"));
        expectations.last_changes.insert(vm.to_owned(), Instant::now());
    }

    pub(super) fn random_delay(&mut self, most_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(20..most_ms))
    }

    /// Starts a burst that uses ports again, or injects a fault that lets the packets of flows go through other
    /// balancers than before.
    async fn next_with_reused_ports(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let balancer = format!("balancer-{}", self.rng.random_range(1..=self.plan.balancers));
        match self.rng.random_range(0..8) {
            0..=2 => self.burst(fleet, false).await,
            3 => self.burst(fleet, true).await,
            4 => self.change_route(fleet).await,
            5 | 6 => self.kill_all(&BTreeSet::from([balancer]), fleet).await,
            _ => self.pause(&balancer, fleet).await,
        }
    }

    /// Injects one random fault.
    pub(super) async fn next(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        if self.plan.reused_ports {
            return self.next_with_reused_ports(fleet).await;
        }
        if self.plan.outages {
            return self.next_outage(fleet).await;
        }
        let kinds = match (self.plan.layout.zones, self.plan.layout.overload) {
            (_, true) => 19,
            (1, false) => 12,
            (_, false) => 15,
        };
        match self.rng.random_range(0..kinds) {
            0 | 1 => self.kill(fleet).await,
            2 => self.stop(fleet).await,
            3 | 4 => {
                let vm = self.random_vm();
                self.pause(&vm, fleet).await
            }
            5 => self.replace_target(fleet).await,
            6 => self.drain_target(fleet).await,
            7 | 8 => self.change_route(fleet).await,
            9 => self.break_store(fleet).await,
            10 => self.break_proxy(fleet).await,
            12..=14 => self.evacuate(fleet).await,
            15 | 16 => self.burst(fleet, false).await,
            17.. => self.burst(fleet, true).await,
            _ => {
                let vm = self.random_vm();
                self.expectations.borrow_mut().log_action(&format!("hang up {vm}"));
                fleet.hang_up(&vm)
            }
        }
    }

    /// Kills one to three processes at the same time and restarts them.
    async fn kill(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let count = self.rng.random_range(1..=3);
        let vms: BTreeSet<String> = (0..count).map(|_| self.random_vm()).collect();
        self.kill_all(&vms, fleet).await
    }

    async fn kill_all(
        &mut self,
        vms: &BTreeSet<String>,
        fleet: &mut FlowFleet,
    ) -> Result<(), StandinError> {
        for vm in vms {
            self.record_fault(vm, "kill");
            fleet.kill(vm)?;
        }
        compio::time::sleep(self.random_delay(800)).await;
        for vm in vms {
            fleet.run(vm)?;
            self.record_fault(vm, "start");
        }
        Ok(())
    }

    async fn stop(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.random_vm();
        self.record_change(&vm, "stop");
        if !fleet.stop(&vm).await? {
            self.expectations.borrow_mut().log_violation(&format!("{vm} did not stop as planned"));
        }
        fleet.run(&vm)?;
        self.record_change(&vm, "start");
        Ok(())
    }

    async fn pause(&mut self, vm: &str, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        self.record_fault(vm, "pause");
        fleet.freeze(vm)?;
        compio::time::sleep(self.random_delay(1500)).await;
        fleet.thaw(vm)?;
        self.record_fault(vm, "resume");
        Ok(())
    }

    async fn replace_target(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.names[self.rng.random_range(0..self.names.len())].clone();
        self.runs += 1;
        let run = format!("{vm}/{}", self.runs);
        self.record_change(&vm, &format!("replace target by {run} at"));
        self.expectations.borrow_mut().live_runs.retain(|live_runs| vm_of(live_runs) != vm);
        // Callers open flows at the new run before its first heartbeat.
        let silence = self.random_delay(500);
        fleet.run_silent_target(&vm, &run, silence).await?;
        self.expectations.borrow_mut().live_runs.insert(run);
        Ok(())
    }

    /// Drains a target, checks for a while that it gets no new flows once the drain is acknowledged, and
    /// replaces it by a new run.
    async fn drain_target(&mut self, fleet: &mut FlowFleet) -> Result<(), StandinError> {
        let vm = self.names[self.rng.random_range(0..self.names.len())].clone();
        self.record_change(&vm, "drain target of");
        fleet.target(&vm)?.drain();
        compio::time::sleep(PROPAGATION_LIMIT).await;
        if fleet.target(&vm)?.drain_acknowledged() {
            let opened = fleet.target(&vm)?.opened();
            compio::time::sleep(self.random_delay(800)).await;
            if fleet.target(&vm)?.opened() > opened {
                self.expectations
                    .borrow_mut()
                    .log_violation(&format!("leaving target of {vm} got a new flow"));
            }
        }
        self.replace_drained(&vm, fleet).await
    }

    /// Replaces a target that has been drained by a new run.
    pub(super) async fn replace_drained(
        &mut self,
        vm: &str,
        fleet: &mut FlowFleet,
    ) -> Result<(), StandinError> {
        self.runs += 1;
        let run = format!("{vm}/{}", self.runs);
        self.expectations.borrow_mut().live_runs.retain(|live_runs| vm_of(live_runs) != vm);
        fleet.run_target(vm, &run).await?;
        self.record_change(vm, &format!("drained, replace target by {run} at"));
        self.expectations.borrow_mut().live_runs.insert(run);
        Ok(())
    }

    pub(super) async fn change_route(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        let changes = self.rng.random_range(1..=4);
        // Processes may apply the change before the store's response arrives here; the time limit starts
        // with that response.
        self.expectations.borrow_mut().routes.push((Instant::now(), service));
        for _ in 0..changes {
            self.version += self.rng.random_range(1..=3);
            fleet.set_route(self.version, service).await?;
        }
        self.restart_propagation_limit();
        self.expectations
            .borrow_mut()
            .log_action(&format!("route to {service} in {changes} changes"));
        Ok(())
    }

    /// Orders the evacuation of one data centre, or withdraws the order in force.
    pub(super) async fn evacuate(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let before = self.expectations.borrow_mut().evacuated.take();
        let zone = before
            .map_or_else(|| self.rng.random_range(1..=self.plan.layout.zones), |(zone, _)| zone);
        let ordered = before.is_none();
        fleet.evacuate(&format!("zone-{zone}"), ordered).await?;
        let mut expectations = self.expectations.borrow_mut();
        expectations.log_action(&format!("evacuation of zone-{zone} in force: {ordered}"));
        expectations.evacuated = ordered.then(|| (zone, Instant::now()));
        Ok(())
    }

    async fn break_store(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let faults = match self.rng.random_range(0..3) {
            0 => PlatformFaults { down: true, ..PlatformFaults::default() },
            1 => PlatformFaults { slow_ms: 200, ..PlatformFaults::default() },
            _ => PlatformFaults { forget_history: true, ..PlatformFaults::default() },
        };
        self.expectations.borrow_mut().log_action(&format!("store {faults:?}"));
        fleet.store_faults(&faults).await?;
        compio::time::sleep(self.random_delay(2500)).await;
        fleet.store_faults(&PlatformFaults::default()).await?;
        self.expectations.borrow_mut().log_action("store repaired");
        self.restart_propagation_limit();
        Ok(())
    }

    async fn break_proxy(&mut self, fleet: &FlowFleet) -> Result<(), StandinError> {
        let mode = match self.rng.random_range(0..4) {
            0 => ProxyMode::Delay(Duration::from_millis(300)),
            1 => ProxyMode::Silent,
            2 => ProxyMode::OneWay,
            _ => ProxyMode::Reset,
        };
        self.expectations.borrow_mut().log_action(&format!("connections to the store {mode:?}"));
        fleet.proxy().set(mode);
        compio::time::sleep(self.random_delay(2500)).await;
        fleet.proxy().set(ProxyMode::Pass);
        self.expectations.borrow_mut().log_action("connections to the store repaired");
        self.restart_propagation_limit();
        Ok(())
    }

    /// Restarts the time limit of the last change of the route and of the evacuation order. A change made
    /// while the store could not be read counts from the time at which the store is readable again.
    fn restart_propagation_limit(&self) {
        let mut expectations = self.expectations.borrow_mut();
        if let Some((since, _)) = expectations.routes.last_mut() {
            *since = Instant::now();
        }
        if let Some((_, since)) = &mut expectations.evacuated {
            *since = Instant::now();
        }
    }

    /// Checks that the fleet serves again after the last fault; up to 2 of 20 new flows may fail.
    pub(super) async fn check_recovery(
        &mut self,
        fleet: &mut FlowFleet,
    ) -> Result<(), StandinError> {
        if self.expectations.borrow().evacuated.is_some() {
            self.evacuate(fleet).await?;
        }
        let router = fleet.router();
        let all = usize::from(self.plan.balancers);
        wait(RECOVERY_TIMEOUT, "readiness after the faults", || router.ready() == all).await?;
        let caller = fleet.caller(self.plan.callers).await?;
        let mut ends = Vec::new();
        for n in 0..20 {
            match caller.open(fleet.route()).await {
                Ok(mut flow) => {
                    if let Err(end) = flow.request().await {
                        ends.push(format!("request {n} {end:?}"));
                    }
                }
                Err(end) => ends.push(format!("opening {n} {end:?}")),
            }
        }
        if ends.len() > 2 {
            self.expectations.borrow_mut().log_violation(&format!(
                "of 20 flows after the last fault failed: {}",
                ends.join(", ")
            ));
        }
        Ok(())
    }
}
