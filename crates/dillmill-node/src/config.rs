//! The settings file of a process: what it must know before it can read the settings tree.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

use dillmill_core::{Secret, ServiceName, VmName, ZoneName, watcher_selection};
use dillmill_settings::yaml;
use dillmill_wire::ClusterKey;
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::NodeError;

/// Lowest level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that need an operator's attention.
    Error,
    /// Conditions that may need an operator's attention.
    Warn,
    /// Changes of settings and members, start and stop.
    #[default]
    Info,
    /// Also each refused or forwarded request.
    Debug,
}

/// Content of the settings file of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessConfig {
    /// Name of the VM.
    pub vm: VmName,
    /// Name of the data centre.
    pub zone: ZoneName,
    /// Address for messages between processes, UDP and TCP.
    pub control: SocketAddrV4,
    /// Address for the packets of flows between balancers and agents, UDP.
    pub data: SocketAddrV4,
    /// Address of the administration page, HTTP; a free port on loopback if not set.
    #[serde(default)]
    pub admin: Option<SocketAddrV4>,
    /// URL of the platform, such as `http://10.0.0.1:8000`.
    pub platform: String,
    /// Key of the installation, 64 hexadecimal digits.
    pub cluster_key: Secret,
    /// Control addresses of processes to join through; some may no longer exist.
    #[serde(default)]
    pub peers: Vec<SocketAddrV4>,
    /// Number of processes of the whole fleet that hold a watch at the platform; must be the same in all
    /// settings files.
    #[serde(default = "default_watchers")]
    pub watchers: usize,
    /// Lowest level that is logged.
    #[serde(default)]
    pub log: LogLevel,
    /// Settings of a balancer.
    #[serde(default)]
    pub balancer: Option<BalancerConfig>,
    /// Settings of an agent.
    #[serde(default)]
    pub agent: Option<AgentConfig>,
}

fn default_watchers() -> usize {
    watcher_selection::WATCHERS
}

/// Settings that only a balancer needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerConfig {
    /// Address to bind instead of each service's own address, with the service's port.
    #[serde(default)]
    pub bind: Option<Ipv4Addr>,
}

/// Settings that only an agent needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// Service of the target.
    pub service: ServiceName,
    /// Address of the target, HTTP/1.1.
    pub target: SocketAddrV4,
}

impl ProcessConfig {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a setting is invalid; the error names the file, line and key.
    pub fn open(path: &Path) -> Result<Self, Report<NodeError>> {
        let text = fs::read_to_string(path).map_err(NodeError::io("read", path.display()))?;
        Ok(Self::parse(&text, &path.display().to_string())?)
    }

    /// Parses and checks settings; errors contain `name` as the file's name.
    ///
    /// # Errors
    ///
    /// Fails if a setting is invalid, as [`ProcessConfig::open`].
    pub fn parse(text: &str, name: &str) -> Result<Self, NodeError> {
        let at = |line: Option<usize>| line.map_or(name.to_owned(), |n| format!("{name}:{n}"));
        let config: Self = yaml::read(text).map_err(|e| {
            let what = if e.key == "." { e.message } else { format!("{}: {}", e.key, e.message) };
            NodeError::new("check", at(e.line), what)
        })?;
        let refuse = |key: &str, what: String| {
            Err(NodeError::new("check", at(yaml::line_of(text, key)), format!("{key}: {what}")))
        };
        if let Err(e) = ClusterKey::from_hex(config.cluster_key.reveal()) {
            return refuse("cluster_key", e.to_string());
        }
        if config.control == config.data {
            return refuse("data", format!("{} is also the control address", config.data));
        }
        if config.watchers == 0 {
            return refuse("watchers", "at least 1 process must watch the platform".to_owned());
        }
        if !config.platform.starts_with("http://") {
            return refuse(
                "platform",
                format!("`{}` does not start with http://", config.platform),
            );
        }
        Ok(config)
    }

    /// Returns the key of the installation.
    ///
    /// # Errors
    ///
    /// Fails if the key is one that [`ProcessConfig::parse`] rejects.
    pub fn key(&self) -> Result<ClusterKey, NodeError> {
        ClusterKey::from_hex(self.cluster_key.reveal())
            .map_err(|e| NodeError::new("check", "cluster_key", e))
    }
}
