//! The settings file of `dillmillctl`.

use std::net::SocketAddrV4;
use std::path::Path;

use dillmill_core::Secret;
use dillmill_node::NodeError;
use dillmill_platform::Store;
use dillmill_settings::yaml;
use dillmill_store::SettingsStore;
use dillmill_wire::ClusterKey;
use serde::Deserialize;

use crate::error::CtlError;

/// Content of the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CtlConfig {
    /// URL of the platform, such as `http://10.0.0.1:8000`.
    pub(crate) platform: String,
    /// Cluster key of the installation, 64 hexadecimal digits.
    pub(crate) cluster_key: Secret,
    /// Control addresses of some processes, which `status`, `load` and `timeline` ask for the list of
    /// members.
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddrV4>,
    /// Author recorded with each change.
    #[serde(default = "default_author")]
    pub(crate) author: String,
}

fn default_author() -> String {
    "operator".to_owned()
}

impl CtlConfig {
    pub(crate) fn open(path: &Path) -> Result<Self, CtlError> {
        let name = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|e| CtlError::Input(NodeError::new("read", path.display(), e).to_string()))?;
        yaml::read(&text).map_err(|e| {
            let line = e.line.map_or(String::new(), |line| format!(":{line}"));
            CtlError::Input(format!("{name}{line}: {}: {}", e.key, e.message))
        })
    }

    pub(crate) fn key(&self) -> Result<ClusterKey, CtlError> {
        ClusterKey::from_hex(self.cluster_key.reveal())
            .map_err(|e| CtlError::Input(format!("cluster_key: {e}")))
    }

    pub(crate) fn store(&self) -> Result<SettingsStore, CtlError> {
        Ok(SettingsStore::new(Store::new(&self.platform)?))
    }
}
