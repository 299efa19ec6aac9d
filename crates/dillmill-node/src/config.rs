//! A process's own settings: what it must know before it can read the tree.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

use dillmill_core::{Secret, ServiceName, VmName, ZoneName, watcher_selection};
use dillmill_settings::yaml;
use dillmill_wire::ClusterKey;
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::NodeError;

/// Least level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that an operator must see.
    Error,
    /// What may need an operator.
    Warn,
    /// What changes: settings, members, start and stop.
    #[default]
    Info,
    /// Each refused or handed-over request too.
    Debug,
}

/// The settings file of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessConfig {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre.
    pub zone: ZoneName,
    /// Address for messages between processes, UDP and TCP.
    pub control: SocketAddrV4,
    /// Address for packets of flows between balancers and agents, UDP.
    pub data: SocketAddrV4,
    /// Address of the administration page, HTTP; on loopback unless set otherwise.
    #[serde(default)]
    pub admin: Option<SocketAddrV4>,
    /// The platform, such as `http://10.0.0.1:8000`.
    pub platform: String,
    /// Key of the installation, 64 hexadecimal digits.
    pub cluster_key: Secret,
    /// Control addresses of processes to join through; some may be gone.
    #[serde(default)]
    pub peers: Vec<SocketAddrV4>,
    /// Processes of the whole fleet that hold a watch at the platform; the same everywhere.
    #[serde(default = "default_watchers")]
    pub watchers: usize,
    /// Least level that is logged.
    #[serde(default)]
    pub log: LogLevel,
    /// For a balancer.
    #[serde(default)]
    pub balancer: Option<BalancerConfig>,
    /// For an agent.
    #[serde(default)]
    pub agent: Option<AgentConfig>,
}

fn default_watchers() -> usize {
    watcher_selection::WATCHERS
}

/// What only a balancer needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerConfig {
    /// Address to bind in place of each service's own, with the service's port.
    #[serde(default)]
    pub bind: Option<Ipv4Addr>,
}

/// What only an agent needs.
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
    /// Names the file, and the line and key of what is wrong.
    pub fn open(path: &Path) -> Result<Self, Report<NodeError>> {
        let text = fs::read_to_string(path).map_err(NodeError::io("read", path.display()))?;
        Ok(Self::parse(&text, &path.display().to_string())?)
    }

    /// Reads and checks settings; `name` is for errors.
    ///
    /// # Errors
    ///
    /// As [`ProcessConfig::open`].
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
            return refuse("data", format!("{} is the control address too", config.data));
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
    /// Fails on a key that [`ProcessConfig::parse`] would have refused.
    pub fn key(&self) -> Result<ClusterKey, NodeError> {
        ClusterKey::from_hex(self.cluster_key.reveal())
            .map_err(|e| NodeError::new("check", "cluster_key", e))
    }
}
