//! Allocates loopback addresses and ports for a cluster that no other cluster of this process uses.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};

use rand::Rng;

/// Subnets in use in this process, by their second and third byte.
static TAKEN: Mutex<BTreeSet<(u8, u8)>> = Mutex::new(BTreeSet::new());
/// Ports below the range from which the kernel assigns ports. Another program may use the same
/// subnet, so each subnet begins at a random port of this range.
const FIRST_PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// The loopback addresses from `127.A.B.0` on, and a counter of ports.
///
/// Ports are assigned by counting and not by binding them to find a free one: a process that another thread
/// is just starting holds a copy of each socket that is open here, so a port found free would still be in
/// use when its owner binds it.
#[derive(Debug)]
pub(crate) struct Subnet {
    second: u8,
    third: u8,
    next_port: u16,
}

impl Subnet {
    /// Reserves a subnet that is not in use in this process.
    pub(crate) fn take() -> Self {
        let mut rng = rand::rng();
        let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let (second, third) = (rng.random_range(16..=250), rng.random_range(1..=247));
            if taken.insert((second, third)) {
                return Self { second, third, next_port: rng.random_range(FIRST_PORT_RANGE) };
            }
        }
    }

    /// Returns the address of a host. Hosts from 256 on lie in the subnets that follow this one.
    pub(crate) fn ip(&self, host: u16) -> Ipv4Addr {
        let [third, fourth] = (u16::from(self.third) * 256 + host).to_be_bytes();
        Ipv4Addr::new(127, self.second, third, fourth)
    }

    /// Returns `ip` with a port that no other process of this subnet gets.
    pub(crate) fn port(&mut self, ip: Ipv4Addr) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::new(IpAddr::V4(ip), self.next_port)
    }
}

impl Drop for Subnet {
    fn drop(&mut self) {
        let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        taken.remove(&(self.second, self.third));
    }
}
