use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use dillmill_core::ServiceName;
use dillmill_platform::ProcessSettings;

use super::PACKETS;
use crate::StandinError;
use crate::flow_target::FlowTarget;
use crate::process::Process;

const FROM_TARGET: u16 = 18162;
const READINESS: u16 = 18167;
const HEARTBEATS: u16 = 18166;
const TARGET: u16 = 18165;
const OWN_PORTS: (u16, u16) = (17720, 17735);

/// A VM of the fleet.
pub(super) struct Vm {
    pub(super) settings: ProcessSettings,
    pub(super) file: PathBuf,
    pub(super) process: Option<Process>,
    pub(super) target: Option<FlowTarget>,
}

impl Vm {
    /// Creates a VM without any process: an agent's if it has a service, else a balancer's.
    pub(super) fn new(
        name: &str,
        ip: Ipv4Addr,
        service: Option<ServiceName>,
        store: SocketAddrV4,
        first: Ipv4Addr,
    ) -> Result<Self, StandinError> {
        let at = |port| SocketAddrV4::new(ip, port);
        let settings = ProcessSettings {
            vm: name.parse().map_err(StandinError::at("name a VM"))?,
            zone: "zone-1".parse().map_err(StandinError::at("name a zone"))?,
            ip,
            packets: at(PACKETS),
            from_target: service.is_some().then(|| at(FROM_TARGET)),
            readiness: Some(at(READINESS)),
            heartbeats: Some(at(HEARTBEATS)),
            target: service.is_some().then(|| at(TARGET)),
            service,
            internal_port_range: OWN_PORTS,
            peers: vec![first],
            first_start: false,
            store,
            min_lease_ttl: Duration::from_secs(1),
            heartbeat_every: Duration::from_millis(200),
            stop_limit: Duration::from_secs(6),
            drain_limit: Duration::from_secs(3),
            link: None,
        };
        Ok(Self { settings, file: PathBuf::new(), process: None, target: None })
    }
}
