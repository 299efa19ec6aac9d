//! Free ports on loopback.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};

use crate::StandinError;

/// Ports given out, so that none is given out twice: the kernel may offer one again as long as its
/// process has not bound it.
#[derive(Debug, Default)]
pub(super) struct Ports(BTreeSet<SocketAddr>);

impl Ports {
    /// Returns an address on `ip` whose port is free for TCP and UDP.
    pub(super) fn take(&mut self, ip: IpAddr) -> Result<SocketAddr, StandinError> {
        for _ in 0..1000 {
            let tcp = TcpListener::bind((ip, 0)).map_err(StandinError::at("find a port"))?;
            let addr = tcp.local_addr().map_err(StandinError::at("find a port"))?;
            if UdpSocket::bind(addr).is_ok() && self.0.insert(addr) {
                return Ok(addr);
            }
        }
        Err(StandinError::new("find a port", "none is free"))
    }
}
