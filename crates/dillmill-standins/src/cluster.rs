//! Runs dillmill's programs and the stand-ins around them as processes on loopback.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use cyper::Client;
use tempfile::TempDir;

use crate::fabric::FabricRules;
use crate::process::Process;
use crate::subnet::Subnet;
use crate::{Caller, StandinError};

mod ctl_output;
mod launching;
mod queries;
mod readiness;
mod rules;
mod settings_files;
mod spec;

pub use ctl_output::CtlOutput;
pub use spec::{ClusterSpec, ServiceSpec};

/// Cluster key of the loopback installation.
pub const CLUSTER_KEY: &str = "6b6579206f6620746865206c6f6f706261636b20696e7374616c6c6174696f6e";
/// Secret of the first flow key of the loopback installation.
pub const FLOW_KEY: &str = "2b7e151628aed2a6abf7158809cf4f3c";
/// Environment variable: if set, processes log at level `debug` and their logs are kept.
const KEEP_LOGS_VARIABLE: &str = "DILLMILL_KEEP_LOGS";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

#[derive(Debug, Clone)]
struct Service {
    name: String,
    address: SocketAddr,
}

#[derive(Debug, Clone)]
struct LaunchCommand {
    program: PathBuf,
    args: Vec<String>,
    admin: Option<SocketAddr>,
    control: Option<SocketAddr>,
}

/// A running cluster. Dropping it ends all of its processes. The logs are kept if a panic drops it, as when a
/// test fails.
pub struct Cluster {
    dir: TempDir,
    spec: ClusterSpec,
    client: Client,
    subnet: Subnet,
    next_host: u16,
    certificate: String,
    platform: SocketAddr,
    fabric: SocketAddr,
    services: Vec<Service>,
    launches: BTreeMap<String, LaunchCommand>,
    processes: BTreeMap<String, Process>,
    targets: HashMap<String, SocketAddr>,
    bind_ips: BTreeMap<String, Ipv4Addr>,
    rules: FabricRules,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::env::var_os(KEEP_LOGS_VARIABLE).is_some() || std::thread::panicking() {
            self.dir.disable_cleanup(true);
            eprintln!("logs are kept in {}", self.dir.path().display());
        }
    }
}

impl Cluster {
    /// Starts all processes, writes the settings and waits until every process is serving.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or is not ready within 30 s.
    pub async fn start(spec: ClusterSpec) -> Result<Self, StandinError> {
        let mut cluster = Self::start_platform_and_fabric(spec)?;
        cluster.wait_platform().await?;
        cluster.write_settings()?;
        for i in 1..=cluster.spec.balancers {
            cluster.start_balancer(&format!("b{i}"))?;
        }
        for service in cluster.spec.services.clone() {
            for i in 1..=service.targets {
                cluster.start_target_with_agent(&service, i)?;
            }
        }
        cluster.wait_ready().await?;
        cluster.use_all_balancers().await?;
        Ok(cluster)
    }

    /// Starts the stand-ins of the platform and the fabric.
    fn start_platform_and_fabric(spec: ClusterSpec) -> Result<Self, StandinError> {
        let dir = tempfile::tempdir().map_err(StandinError::at("create a temporary directory"))?;
        let mut subnet = Subnet::take();
        let ip = subnet.ip(1);
        let client = Client::new().map_err(StandinError::at("create an HTTP client"))?;
        let platform = subnet.port(ip);
        let fabric = subnet.port(ip);
        let services = spec
            .services
            .iter()
            .map(|service| Service { name: service.name.clone(), address: subnet.port(ip) })
            .collect();
        let mut cluster = Self {
            dir,
            client,
            subnet,
            next_host: 2,
            certificate: String::new(),
            platform,
            fabric,
            services,
            launches: BTreeMap::new(),
            processes: BTreeMap::new(),
            targets: HashMap::new(),
            bind_ips: BTreeMap::new(),
            rules: FabricRules::default(),
            spec,
        };
        cluster.launch_standin("platform", vec!["--listen".into(), platform.to_string()])?;
        let mut args = vec!["--listen".to_owned(), fabric.to_string()];
        for service in &cluster.services {
            args.extend(["--service".to_owned(), service.address.to_string()]);
        }
        args.extend(["--seed".to_owned(), cluster.spec.seed.to_string()]);
        cluster.launch_standin("fabric", args)?;
        Ok(cluster)
    }

    async fn wait_platform(&self) -> Result<(), StandinError> {
        let started = Instant::now();
        loop {
            match self.platform_counts().await {
                Ok(_) => return Ok(()),
                Err(e) if started.elapsed() > READY_TIMEOUT => {
                    return Err(StandinError::new(e.to_string(), self.log("platform")));
                }
                Err(_) => compio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the process of a name.
    ///
    /// # Errors
    ///
    /// Fails when no process has this name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, StandinError> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| StandinError::new("find process", format!("no process named {name}")))
    }

    /// Removes a process that has ended, so that later steps do not wait for it.
    pub fn remove_process(&mut self, name: &str) {
        self.processes.remove(name);
        self.launches.remove(name);
        self.bind_ips.remove(name);
    }

    /// Returns the names of dillmill's processes, without the stand-ins.
    #[must_use]
    pub fn members(&self) -> Vec<String> {
        let launches = self.launches.iter().filter(|(_, launch)| launch.control.is_some());
        launches.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address of a target.
    ///
    /// # Errors
    ///
    /// Fails when no target has this name.
    pub fn target(&self, name: &str) -> Result<SocketAddr, StandinError> {
        let found = self.targets.get(name).copied();
        found.ok_or_else(|| StandinError::new("find target", format!("no target named {name}")))
    }

    /// Returns the names of the targets in alphabetical order.
    #[must_use]
    pub fn target_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.targets.keys().cloned().collect();
        names.sort();
        names
    }

    /// Returns the number of slots that the cluster's specification sets for a target.
    ///
    /// # Errors
    ///
    /// Fails when no service of the cluster has such a target.
    pub fn target_slots(&self, name: &str) -> Result<usize, StandinError> {
        let service = name.rsplit_once("-t").map(|(service, _)| service);
        let spec = self.spec.services.iter().find(|spec| Some(spec.name.as_str()) == service);
        let missing = || StandinError::new("find slots", format!("no target named {name}"));
        spec.map(|spec| spec.slots).ok_or_else(missing)
    }

    /// Opens a caller's flow to a service.
    ///
    /// # Errors
    ///
    /// Fails when the flow can't be opened.
    pub async fn caller(&self, service: &str) -> Result<Caller, StandinError> {
        Caller::connect(self.service_address(service)?, &self.certificate).await
    }

    /// Returns the certificate that callers trust, as PEM.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the address of a service.
    ///
    /// # Errors
    ///
    /// Fails when there is no such service.
    pub fn service_address(&self, service: &str) -> Result<SocketAddr, StandinError> {
        let found = self.services.iter().find(|s| s.name == service);
        found
            .map(|s| s.address)
            .ok_or_else(|| StandinError::new("find service", format!("no service named {service}")))
    }

    /// Returns the address at which one balancer receives packets of a service.
    ///
    /// # Errors
    ///
    /// Fails when there is no such balancer or service.
    pub fn balancer_address(&self, name: &str, service: &str) -> Result<SocketAddr, StandinError> {
        let ip = self.bind_ips.get(name).copied();
        let ip = ip.ok_or_else(|| {
            StandinError::new("find balancer", format!("no balancer named {name}"))
        })?;
        Ok(SocketAddr::new(IpAddr::V4(ip), self.service_address(service)?.port()))
    }

    /// Returns the directory of the logs and settings files.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.dir.path()
    }

    /// Returns the output and log of a process; empty if no process has this name.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        self.processes.get(name).map(Process::log).unwrap_or_default()
    }
}
