//! The VMs of a fleet and the settings of their processes.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use dillmill_core::ServiceName;
use dillmill_platform::ProcessSettings;

use super::PACKET_PORT;
use crate::StandinError;
use crate::flow_target::FlowTarget;
use crate::process::Process;

const FROM_TARGET_PORT: u16 = 18162;
const READINESS_PORT: u16 = 18167;
const HEARTBEAT_PORT: u16 = 18166;
const TARGET_PORT: u16 = 18165;
const INTERNAL_PORTS: (u16, u16) = (17720, 17735);

/// A VM of a fleet with its settings, process and target.
pub(super) struct Vm {
    pub(super) settings: ProcessSettings,
    pub(super) file: PathBuf,
    pub(super) process: Option<Process>,
    pub(super) target: Option<FlowTarget>,
}

impl Vm {
    /// Creates a VM whose process and target are not started. With a service it is the VM of an agent,
    /// else of a balancer.
    pub(super) fn new(
        name: &str,
        ip: Ipv4Addr,
        service: Option<ServiceName>,
        store: SocketAddrV4,
        first_peer: Ipv4Addr,
    ) -> Result<Self, StandinError> {
        let at = |port| SocketAddrV4::new(ip, port);
        let settings = ProcessSettings {
            vm: name.parse().map_err(StandinError::at("name a VM"))?,
            zone: "zone-1".parse().map_err(StandinError::at("name a zone"))?,
            ip,
            packets: at(PACKET_PORT),
            from_target: service.is_some().then(|| at(FROM_TARGET_PORT)),
            readiness: Some(at(READINESS_PORT)),
            heartbeats: Some(at(HEARTBEAT_PORT)),
            target: service.is_some().then(|| at(TARGET_PORT)),
            service,
            internal_port_range: INTERNAL_PORTS,
            peers: vec![first_peer],
            first_start: false,
            store,
            min_lease_ttl: Duration::from_secs(1),
            heartbeat_every: Duration::from_millis(200),
            max_flow_age: Duration::from_mins(1),
            config_limit: Duration::from_secs(3),
            address_reuse_after: Duration::from_secs(2),
            stop_limit: Duration::from_secs(6),
            drain_limit: Duration::from_secs(3),
            link: None,
        };
        Ok(Self { settings, file: PathBuf::new(), process: None, target: None })
    }
}
