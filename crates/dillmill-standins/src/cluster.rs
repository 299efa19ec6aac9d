//! dillmill and its surroundings as processes on loopback.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use cyper::Client;
use dillmill_settings::TokenHash;
use rand::Rng;
use tempfile::TempDir;

use crate::fabric::FabricRules;
use crate::process::{Process, program};
use crate::{Caller, StandinError};

mod ports;
mod questions;
mod readiness;
mod rules;
mod spec;

use ports::Ports;
pub use spec::{ClusterSpec, ServiceSpec};

/// Key of the installation on loopback.
pub const CLUSTER_KEY: &str = "6b6579206f6620746865206c6f6f706261636b20696e7374616c6c6174696f6e";
/// Secret of the first flow key on loopback.
pub const FLOW_KEY: &str = "2b7e151628aed2a6abf7158809cf4f3c";
/// With this variable set, processes log on `debug` and their logs are kept.
const KEEP_LOGS: &str = "DILLMILL_KEEP_LOGS";
const READY_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(25);

#[derive(Debug, Clone)]
struct Service {
    name: String,
    address: SocketAddr,
}

#[derive(Debug, Clone)]
struct Launch {
    program: PathBuf,
    args: Vec<String>,
    admin: Option<SocketAddr>,
    control: Option<SocketAddr>,
}

/// A running cluster; all of its processes end when it is dropped.
pub struct Cluster {
    dir: TempDir,
    spec: ClusterSpec,
    client: Client,
    subnet: (u8, u8),
    ports: Ports,
    next_host: u16,
    certificate: String,
    platform: SocketAddr,
    fabric: SocketAddr,
    services: Vec<Service>,
    launches: BTreeMap<String, Launch>,
    processes: BTreeMap<String, Process>,
    targets: HashMap<String, SocketAddr>,
    bind_ips: BTreeMap<String, IpAddr>,
    rules: FabricRules,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::env::var_os(KEEP_LOGS).is_some() {
            self.dir.disable_cleanup(true);
            eprintln!("logs are in {}", self.dir.path().display());
        }
    }
}

/// Output of `dillmillctl`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CtlOutput {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

fn certificate() -> Result<(String, String), StandinError> {
    let made = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()])
        .map_err(StandinError::at("make certificate"))?;
    Ok((made.cert.pem(), made.signing_key.serialize_pem()))
}

fn indent(text: &str, by: usize) -> String {
    let pad = " ".repeat(by);
    text.lines().fold(String::new(), |mut out, line| {
        let _ = writeln!(out, "{pad}{line}");
        out
    })
}

impl Cluster {
    /// Starts all processes, writes the settings and waits until everything serves.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or is not ready within 30 s.
    pub async fn start(spec: ClusterSpec) -> Result<Self, StandinError> {
        let mut cluster = Self::start_surroundings(spec)?;
        cluster.wait_platform().await?;
        cluster.write_settings()?;
        for i in 1..=cluster.spec.balancers {
            cluster.start_balancer(&format!("b{i}"))?;
        }
        for service in cluster.spec.services.clone() {
            for i in 1..=service.targets {
                cluster.start_pair(&service, i)?;
            }
        }
        cluster.wait_ready().await?;
        cluster.use_all_balancers().await?;
        Ok(cluster)
    }

    /// Starts the platform and the fabric.
    fn start_surroundings(spec: ClusterSpec) -> Result<Self, StandinError> {
        let dir = tempfile::tempdir().map_err(StandinError::at("make a folder"))?;
        let mut rng = rand::rng();
        let subnet = (rng.random_range(16..=250), rng.random_range(1..=247));
        let ip = IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1, 1));
        let client = Client::new().map_err(StandinError::at("make a client"))?;
        let mut ports = Ports::default();
        let platform = ports.take(ip)?;
        let fabric = ports.take(ip)?;
        let services = spec
            .services
            .iter()
            .map(|service| {
                let address = ports.take(ip)?;
                Ok(Service { name: service.name.clone(), address })
            })
            .collect::<Result<Vec<_>, StandinError>>()?;
        let mut cluster = Self {
            dir,
            client,
            subnet,
            ports,
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

    fn launch_standin(&mut self, name: &str, args: Vec<String>) -> Result<(), StandinError> {
        let kind = if name == "platform" || name == "fabric" { name } else { "target" };
        let mut all = vec![kind.to_owned()];
        all.extend(args);
        let program = program("dillmill-standins")?;
        self.launch(name, Launch { program, args: all, admin: None, control: None })
    }

    fn launch(&mut self, name: &str, launch: Launch) -> Result<(), StandinError> {
        let process = Process::spawn(name, &launch.program, &launch.args, self.dir.path())?;
        self.launches.insert(name.to_owned(), launch);
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn next_ip(&mut self) -> IpAddr {
        let [high, low] = (u16::from(self.subnet.1) * 256 + self.next_host).to_be_bytes();
        let ip = Ipv4Addr::new(127, self.subnet.0, high, low);
        self.next_host += 1;
        IpAddr::V4(ip)
    }

    async fn wait_platform(&self) -> Result<(), StandinError> {
        let started = Instant::now();
        loop {
            match self.platform_counts().await {
                Ok(_) => return Ok(()),
                Err(e) if started.elapsed() > READY_LIMIT => return Err(e),
                Err(_) => compio::time::sleep(POLL).await,
            }
        }
    }

    fn write_settings(&mut self) -> Result<(), StandinError> {
        let (certificate, key) = certificate()?;
        let peers: Vec<String> = Vec::new();
        self.write_ctl_config(&peers)?;
        let root = format!(
            "flow_keys:\n  - {{ id: 1, secret: \"{FLOW_KEY}\" }}\n{}",
            self.spec.root_extra
        );
        self.set("root", &root)?;
        for (i, service) in self.spec.services.clone().iter().enumerate() {
            let text = format!(
                "number: {}\naddress: {}\nslots: {}\nfeeds: [/feed]\ntls:\n  certificate: |\n{}  key: |\n{}{}",
                i + 1,
                self.services[i].address,
                service.slots,
                indent(&certificate, 4),
                indent(&key, 4),
                service.extra,
            );
            self.set(&format!("services/{}", service.name), &text)?;
        }
        for (group, weight) in self.spec.groups.clone() {
            let token = TokenHash::of(&format!("token-{group}"));
            let text = format!("tokens: [\"{token}\"]\nlimits: {{ weight: {weight} }}\n");
            self.set(&format!("groups/{group}"), &text)?;
        }
        self.certificate = certificate;
        Ok(())
    }

    fn write_ctl_config(&self, peers: &[String]) -> Result<(), StandinError> {
        let text = format!(
            "platform: http://{}\ncluster_key: \"{CLUSTER_KEY}\"\npeers: [{}]\nauthor: test\n",
            self.platform,
            peers.join(", "),
        );
        std::fs::write(self.ctl_config(), text).map_err(StandinError::at("write settings"))
    }

    fn ctl_config(&self) -> PathBuf {
        self.dir.path().join("dillmillctl.yaml")
    }

    /// Writes a node and returns what `dillmillctl` said.
    ///
    /// # Errors
    ///
    /// Fails when the edit is not accepted.
    pub fn set(&self, path: &str, text: &str) -> Result<String, StandinError> {
        let file = self.dir.path().join("node.yaml");
        std::fs::write(&file, text).map_err(StandinError::at("write node"))?;
        let output = self.ctl(&["set", path, &file.display().to_string()])?;
        if output.code == 0 { Ok(output.out) } else { Err(StandinError::new("set", output.err)) }
    }

    /// Runs `dillmillctl` to its end.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub fn ctl(&self, args: &[&str]) -> Result<CtlOutput, StandinError> {
        let output = Command::new(program("dillmillctl")?)
            .args(args)
            .arg("--config")
            .arg(self.ctl_config())
            .stdin(Stdio::null())
            .output()
            .map_err(StandinError::at("run dillmillctl"))?;
        Ok(CtlOutput {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    fn peers(&self) -> Vec<String> {
        let controls = self.launches.values().filter_map(|launch| launch.control);
        controls.map(|addr| addr.to_string()).collect()
    }

    fn start_dillmill(
        &mut self,
        name: &str,
        role: &str,
        section: &str,
        ip: IpAddr,
    ) -> Result<(), StandinError> {
        let control = self.ports.take(ip)?;
        let data = self.ports.take(ip)?;
        let admin = self.ports.take(ip)?;
        let text = format!(
            "vm: {name}\nzone: zone-1\ncontrol: {control}\ndata: {data}\nadmin: {admin}\n\
             platform: http://{}\ncluster_key: \"{CLUSTER_KEY}\"\npeers: [{}]\nlog: {}\n\
             watchers: {}\n{section}",
            self.platform,
            self.peers().join(", "),
            if std::env::var_os(KEEP_LOGS).is_some() { "debug" } else { &self.spec.log },
            self.spec.watchers,
        );
        let file = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&file, text).map_err(StandinError::at("write settings"))?;
        let args = vec![role.to_owned(), "--config".to_owned(), file.display().to_string()];
        let program = program("dillmill")?;
        let launch = Launch { program, args, admin: Some(admin), control: Some(control) };
        self.launch(name, launch)?;
        self.write_ctl_config(&self.peers())
    }

    /// Starts one more balancer; the fabric uses it after [`Cluster::use_balancers`].
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub fn start_balancer(&mut self, name: &str) -> Result<(), StandinError> {
        let ip = self.next_ip();
        self.bind_ips.insert(name.to_owned(), ip);
        self.start_dillmill(name, "balancer", &format!("balancer: {{ bind: {ip} }}\n"), ip)
    }

    /// Starts target `i` of a service and its agent: `S-ti` and `S-ai`.
    ///
    /// # Errors
    ///
    /// Fails when one can't be started.
    pub fn start_pair(&mut self, service: &ServiceSpec, i: usize) -> Result<(), StandinError> {
        let name = format!("{}-t{i}", service.name);
        let ip = self.next_ip();
        let target = self.ports.take(ip)?;
        let words = ["--listen", "--service", "--name", "--slots"];
        let values =
            [target.to_string(), service.name.clone(), name.clone(), service.slots.to_string()];
        let args = words.iter().map(|w| (*w).to_owned()).zip(values).flat_map(|(w, v)| [w, v]);
        self.launch_standin(&name, args.collect())?;
        self.targets.insert(name, target);
        let section = format!("agent: {{ service: {}, target: {target} }}\n", service.name);
        self.start_dillmill(&format!("{}-a{i}", service.name), "agent", &section, ip)
    }

    /// Starts a process again, with the settings that it had.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub fn restart(&mut self, name: &str) -> Result<(), StandinError> {
        let launch = self.launches.get(name).cloned();
        let launch = launch.ok_or_else(|| StandinError::new("restart", format!("no {name}")))?;
        self.processes.remove(name);
        self.launch(name, launch)
    }

    /// Returns a process.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, StandinError> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| StandinError::new("find process", format!("no {name}")))
    }

    /// Forgets a process that has ended, so that nothing waits for it.
    pub fn forget(&mut self, name: &str) {
        self.processes.remove(name);
        self.launches.remove(name);
        self.bind_ips.remove(name);
    }

    /// Returns the names of dillmill's processes.
    #[must_use]
    pub fn members(&self) -> Vec<String> {
        let launches = self.launches.iter().filter(|(_, launch)| launch.control.is_some());
        launches.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address of a target.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name.
    pub fn target(&self, name: &str) -> Result<SocketAddr, StandinError> {
        let found = self.targets.get(name).copied();
        found.ok_or_else(|| StandinError::new("find target", format!("no {name}")))
    }

    /// Returns the names of the targets, in order.
    #[must_use]
    pub fn target_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.targets.keys().cloned().collect();
        names.sort();
        names
    }

    /// Opens a flow of a caller to a service.
    ///
    /// # Errors
    ///
    /// Fails when no flow can be opened.
    pub async fn caller(&self, service: &str) -> Result<Caller, StandinError> {
        Caller::connect(self.service_address(service)?, &self.certificate).await
    }

    /// Returns the certificate that callers trust.
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
            .ok_or_else(|| StandinError::new("find service", format!("no {service}")))
    }

    /// Returns the address of a service on one balancer.
    ///
    /// # Errors
    ///
    /// Fails when there is no such balancer or service.
    pub fn balancer_address(&self, name: &str, service: &str) -> Result<SocketAddr, StandinError> {
        let ip = self.bind_ips.get(name).copied();
        let ip = ip.ok_or_else(|| StandinError::new("find balancer", format!("no {name}")))?;
        Ok(SocketAddr::new(ip, self.service_address(service)?.port()))
    }

    /// Returns the folder of logs and settings files.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.dir.path()
    }

    /// Returns what a process has printed and logged.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        self.processes.get(name).map(Process::log).unwrap_or_default()
    }
}
