//! Identifies a packet flow by the addresses and ports of its two ends.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Addresses of the caller and the route of a flow, as in the packets that the caller sends.
///
/// Decisions only compare and hash it. It is kept to 12 bytes, as every table of flows stores it.
///
/// ```
/// use dillmill_core::FlowTuple;
///
/// let flow = FlowTuple::new("100.64.0.7:40001".parse()?, "198.18.0.1:443".parse()?);
/// assert_eq!(flow.to_string(), "100.64.0.7:40001>198.18.0.1:443");
/// assert_eq!(flow.route().port(), 443);
/// assert_eq!(flow.to_string().parse(), Ok(flow));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowTuple {
    caller_ip: u32,
    route_ip: u32,
    caller_port: u16,
    route_port: u16,
}

impl FlowTuple {
    /// Creates the tuple of a flow from `caller` to `route`.
    #[must_use]
    pub fn new(caller: SocketAddrV4, route: SocketAddrV4) -> Self {
        Self {
            caller_ip: u32::from(*caller.ip()),
            route_ip: u32::from(*route.ip()),
            caller_port: caller.port(),
            route_port: route.port(),
        }
    }

    /// Returns the address of the caller.
    #[must_use]
    pub fn caller(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.caller_ip), self.caller_port)
    }

    /// Returns the address of the route.
    #[must_use]
    pub fn route(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.route_ip), self.route_port)
    }

    /// Returns the rendezvous score of the flow for `seed`, which is the same in every process.
    #[must_use]
    pub fn score(&self, seed: u64) -> u64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller_ip.to_be_bytes());
        bytes[4..8].copy_from_slice(&self.route_ip.to_be_bytes());
        bytes[8..10].copy_from_slice(&self.caller_port.to_be_bytes());
        bytes[10..].copy_from_slice(&self.route_port.to_be_bytes());
        xxh3_64_with_seed(&bytes, seed)
    }
}

/// The text does not name a flow.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no flow: CALLER:PORT>ROUTE:PORT")]
pub struct FlowTupleError(String);

impl FromStr for FlowTuple {
    type Err = FlowTupleError;

    fn from_str(text: &str) -> Result<Self, FlowTupleError> {
        let error = || FlowTupleError(text.to_owned());
        let (caller, route) = text.split_once('>').ok_or_else(error)?;
        let addr = |part: &str| part.parse::<SocketAddrV4>().map_err(|_| error());
        Ok(Self::new(addr(caller)?, addr(route)?))
    }
}

impl fmt::Display for FlowTuple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller(), self.route())
    }
}
