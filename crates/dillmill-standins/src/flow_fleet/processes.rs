//! Control of the processes and targets of a fleet: start, stop, kill, signals, logs and metrics.

use std::time::Duration;

use cyper::Client;

use super::{FlowFleet, METRICS_PORT, PROCESS_TIMEOUT};
use crate::StandinError;
use crate::flow_target::FlowTarget;
use crate::process::{Process, program};

impl FlowFleet {
    /// Starts the process of a VM: an agent if its settings name a service, else a balancer.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub fn run(&mut self, name: &str) -> Result<(), StandinError> {
        let dir = self.dir.path().to_owned();
        let vm = self.vm(name)?;
        vm.file = dir.join(format!("{name}.json"));
        std::fs::write(&vm.file, vm.settings.to_string())
            .map_err(StandinError::at("write settings"))?;
        let role = if vm.settings.service.is_some() { "agent" } else { "balancer" };
        let args =
            [role, "--platform", "--metrics-port", &METRICS_PORT.to_string()].map(str::to_owned);
        let env = [(dillmill_platform::process_settings::PATH_VARIABLE, vm.file.as_path())];
        let process = Process::spawn_with(name, &program("dillmill")?, &args, &env, &dir)?;
        vm.process = Some(process);
        Ok(())
    }

    /// Replaces the target of a VM by a new run named `id`.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn run_target(&mut self, name: &str, id: &str) -> Result<(), StandinError> {
        self.run_silent_target(name, id, Duration::ZERO).await
    }

    /// Replaces the target as [`run_target`](Self::run_target) does; the new run takes flows at once, and
    /// sends its first heartbeat after `silence`.
    ///
    /// # Errors
    ///
    /// As [`run_target`](Self::run_target).
    pub async fn run_silent_target(
        &mut self,
        name: &str,
        id: &str,
        silence: Duration,
    ) -> Result<(), StandinError> {
        let capacity = self.layout.capacity();
        let vm = self.vm(name)?;
        let run = match vm.target.take() {
            Some(previous) => previous.replace(&vm.settings, id, silence, capacity).await?,
            None => FlowTarget::spawn(&vm.settings, id, silence, capacity).await?,
        };
        vm.target = Some(run);
        Ok(())
    }

    /// Sets the service of the next target of a VM. Its running agent keeps its settings.
    ///
    /// # Errors
    ///
    /// Fails if there is no such VM or service name.
    pub fn set_service(&mut self, name: &str, service: &str) -> Result<(), StandinError> {
        let service = service.parse().map_err(StandinError::at("name a service"))?;
        self.vm(name)?.settings.service = Some(service);
        Ok(())
    }

    /// Returns the target of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no target.
    pub fn target(&self, name: &str) -> Result<&FlowTarget, StandinError> {
        let vm = self.vms.get(name).and_then(|vm| vm.target.as_ref());
        vm.ok_or_else(|| StandinError::new("find a target", name))
    }

    /// Kills the process of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn kill(&mut self, name: &str) -> Result<(), StandinError> {
        self.vm(name)?.process.take().ok_or_else(|| StandinError::new("kill", name))?.kill();
        Ok(())
    }

    /// Takes the power from a VM: its process and its target end at once.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn power_off(&mut self, name: &str) -> Result<(), StandinError> {
        self.crash_target(name)?;
        self.kill(name)
    }

    /// Ends the target of a VM at once, if it has one.
    ///
    /// # Errors
    ///
    /// Fails if there is no such VM.
    pub fn crash_target(&mut self, name: &str) -> Result<(), StandinError> {
        self.vm(name)?.target = None;
        Ok(())
    }

    /// Requests the planned stop of the process of a VM, and returns whether it ended with success.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub async fn stop(&mut self, name: &str) -> Result<bool, StandinError> {
        let process = self.vm(name)?.process.take();
        let mut process = process.ok_or_else(|| StandinError::new("stop", name))?;
        process.terminate()?;
        Ok(process.wait(PROCESS_TIMEOUT).await == Some(true))
    }

    /// Requests the planned stop of the process of a VM and does not wait for its end.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn terminate(&mut self, name: &str) -> Result<(), StandinError> {
        let process = self.vm(name)?.process.as_ref();
        process.ok_or_else(|| StandinError::new("stop", name))?.terminate()
    }

    /// Returns whether the process of a VM has ended with success, or `None` if it is still running.
    ///
    /// # Errors
    ///
    /// Fails if the VM has had no process.
    pub fn ended(&mut self, name: &str) -> Result<Option<bool>, StandinError> {
        let process = self.vm(name)?.process.as_mut();
        Ok(process.ok_or_else(|| StandinError::new("look for the end", name))?.ended())
    }

    /// Sends SIGHUP to the process of a VM, on which it reads its settings file again.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn hang_up(&mut self, name: &str) -> Result<(), StandinError> {
        let process = self.vm(name)?.process.as_ref();
        process.ok_or_else(|| StandinError::new("signal", name))?.hang_up()
    }

    /// Returns whether the process of a VM has begun to catch SIGHUP, which would end it before.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn catches_hang_up(&mut self, name: &str) -> Result<bool, StandinError> {
        let process = self.vm(name)?.process.as_ref();
        Ok(process.ok_or_else(|| StandinError::new("read signals", name))?.catches_hang_up())
    }

    /// Suspends the process of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn freeze(&mut self, name: &str) -> Result<(), StandinError> {
        let process = self.vm(name)?.process.as_ref();
        process.ok_or_else(|| StandinError::new("freeze", name))?.freeze()
    }

    /// Resumes the suspended process of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn thaw(&mut self, name: &str) -> Result<(), StandinError> {
        let process = self.vm(name)?.process.as_ref();
        process.ok_or_else(|| StandinError::new("thaw", name))?.thaw()
    }

    /// Returns the log of the process of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no running process.
    pub fn log(&mut self, name: &str) -> Result<String, StandinError> {
        let process = self.vm(name)?.process.as_ref();
        Ok(process.ok_or_else(|| StandinError::new("read the log", name))?.log())
    }

    /// Returns the value of a metric of a VM's process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer or has no such metric.
    pub async fn metric(&mut self, vm: &str, name: &str) -> Result<f64, StandinError> {
        let step = || StandinError::at("read a metric");
        let url = format!("http://{}:{METRICS_PORT}/metrics", self.vm(vm)?.settings.ip);
        let req = Client::new().map_err(step())?.get(url).map_err(step())?;
        let text = req.send().await.map_err(step())?.text().await.map_err(step())?;
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.ok_or_else(|| StandinError::new("read a metric", name))
    }
}
