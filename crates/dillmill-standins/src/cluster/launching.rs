//! Starts and restarts the processes of a cluster.

use std::net::Ipv4Addr;

use super::{CLUSTER_KEY, Cluster, KEEP_LOGS_VARIABLE, LaunchCommand, ServiceSpec};
use crate::StandinError;
use crate::process::{Process, program};

impl Cluster {
    pub(super) fn launch_standin(
        &mut self,
        name: &str,
        args: Vec<String>,
    ) -> Result<(), StandinError> {
        let kind = if name == "platform" || name == "fabric" { name } else { "target" };
        let mut all = vec![kind.to_owned()];
        all.extend(args);
        let program = program("dillmill-standins")?;
        self.launch(name, LaunchCommand { program, args: all, admin: None, control: None })
    }

    fn launch(&mut self, name: &str, launch: LaunchCommand) -> Result<(), StandinError> {
        let process = Process::spawn(name, &launch.program, &launch.args, self.dir.path())?;
        self.launches.insert(name.to_owned(), launch);
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn next_ip(&mut self) -> Ipv4Addr {
        let ip = self.subnet.ip(self.next_host);
        self.next_host += 1;
        ip
    }

    pub(super) fn peers(&self) -> Vec<String> {
        let controls = self.launches.values().filter_map(|launch| launch.control);
        controls.map(|addr| addr.to_string()).collect()
    }

    fn start_dillmill(
        &mut self,
        name: &str,
        role: &str,
        section: &str,
        ip: Ipv4Addr,
    ) -> Result<(), StandinError> {
        let control = self.subnet.port(ip);
        let data = self.subnet.port(ip);
        let admin = self.subnet.port(ip);
        let text = format!(
            "vm: {name}\nzone: zone-1\ncontrol: {control}\ndata: {data}\nadmin: {admin}\n\
             platform: http://{}\ncluster_key: \"{CLUSTER_KEY}\"\npeers: [{}]\nlog: {}\n\
             watchers: {}\n{section}",
            self.platform,
            self.peers().join(", "),
            if std::env::var_os(KEEP_LOGS_VARIABLE).is_some() { "debug" } else { &self.spec.log },
            self.spec.watchers,
        );
        let file = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&file, text).map_err(StandinError::at("write settings file"))?;
        let args = vec![role.to_owned(), "--config".to_owned(), file.display().to_string()];
        let program = program("dillmill")?;
        let launch = LaunchCommand { program, args, admin: Some(admin), control: Some(control) };
        self.launch(name, launch)?;
        self.write_ctl_config(&self.peers())
    }

    /// Starts one more balancer. The fabric sends packets to it only after [`Cluster::use_balancers`].
    ///
    /// # Errors
    ///
    /// Fails when the balancer can't be started.
    pub fn start_balancer(&mut self, name: &str) -> Result<(), StandinError> {
        let ip = self.next_ip();
        self.bind_ips.insert(name.to_owned(), ip);
        self.start_dillmill(name, "balancer", &format!("balancer: {{ bind: {ip} }}\n"), ip)
    }

    /// Starts target `i` of service `S` under the name `S-ti`, and its agent as `S-ai`.
    ///
    /// # Errors
    ///
    /// Fails when the target or the agent can't be started.
    pub fn start_target_with_agent(
        &mut self,
        service: &ServiceSpec,
        i: usize,
    ) -> Result<(), StandinError> {
        let name = format!("{}-t{i}", service.name);
        let ip = self.next_ip();
        let target = self.subnet.port(ip);
        let words = ["--listen", "--service", "--name", "--slots"];
        let values =
            [target.to_string(), service.name.clone(), name.clone(), service.slots.to_string()];
        let args = words.iter().map(|w| (*w).to_owned()).zip(values).flat_map(|(w, v)| [w, v]);
        self.launch_standin(&name, args.collect())?;
        self.targets.insert(name, target);
        let section = format!("agent: {{ service: {}, target: {target} }}\n", service.name);
        self.start_dillmill(&format!("{}-a{i}", service.name), "agent", &section, ip)
    }

    /// Restarts a process with its previous command line and settings file.
    ///
    /// # Errors
    ///
    /// Fails when no process has this name or it can't be started.
    pub fn restart(&mut self, name: &str) -> Result<(), StandinError> {
        let launch = self.launches.get(name).cloned();
        let launch = launch
            .ok_or_else(|| StandinError::new("restart", format!("no process named {name}")))?;
        self.processes.remove(name);
        self.launch(name, launch)
    }
}
