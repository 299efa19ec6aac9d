//! Derives the configuration of a process from the settings that the platform provides.

use std::fmt::Write;
use std::net::SocketAddrV4;

use dillmill_core::{Secret, store_selection};
use dillmill_node::{LogLevel, ProcessConfig};
use dillmill_platform::ProcessSettings;
use sha2::{Digest, Sha256};

/// Returns the configuration of a process; `metrics_port` is the port of its administration page.
///
/// The platform provides no secret to processes, so the cluster key is derived from the address of the
/// store. The key keeps apart different installations and processes that got a reused address; it does
/// not protect against an attacker on the network.
#[must_use]
pub fn process_config(settings: &ProcessSettings, metrics_port: Option<u16>) -> ProcessConfig {
    let control_port = settings.internal_port_range.0;
    let at = |port| SocketAddrV4::new(settings.ip, port);
    let digest = Sha256::digest(format!("dillmill {}", settings.store));
    let mut key = String::new();
    for byte in digest {
        // Writing to a `String` can't fail.
        let _ = write!(key, "{byte:02x}");
    }
    ProcessConfig {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        control: at(control_port),
        data: settings.packets,
        admin: metrics_port.map(at),
        platform: format!("http://{}", settings.store),
        cluster_key: Secret::from(key),
        peers: settings.peers.iter().map(|ip| SocketAddrV4::new(*ip, control_port)).collect(),
        watchers: store_selection::WATCHERS,
        log: LogLevel::Info,
        balancer: None,
        agent: None,
    }
}
