//! Loopback addresses and ports that nobody else uses.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};

use rand::Rng;

/// Nets in use in this process, by their second and third byte.
static TAKEN: Mutex<BTreeSet<(u8, u8)>> = Mutex::new(BTreeSet::new());
/// Ports below those that the kernel gives out itself; another program's net may be the same one, so each net
/// begins somewhere in them.
const FIRST_PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Loopback addresses from `127.A.B.0` on.
///
/// Ports are counted, not found by binding them: a process that is just being started by another thread holds a copy of
/// each socket that is open here, and a port found free would still be in use when its owner binds it.
#[derive(Debug)]
pub(crate) struct Subnet {
    second: u8,
    third: u8,
    next_port: u16,
}

impl Subnet {
    /// Takes a net that is not in use in this process.
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

    /// Returns the address of a host; those from 256 on lie in the nets behind this one.
    pub(crate) fn ip(&self, host: u16) -> Ipv4Addr {
        let [third, fourth] = (u16::from(self.third) * 256 + host).to_be_bytes();
        Ipv4Addr::new(127, self.second, third, fourth)
    }

    /// Returns `ip` with a port that no other process of this net gets.
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
