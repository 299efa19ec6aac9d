//! Chooses the balancer through which a packet for a caller is sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dillmill_core::Timestamp;
use dillmill_core::membership::RandomIndex;

/// Time after a caller's last packet within which answers go back through the balancer that it came through.
pub const RETURN_PATH_LIFETIME: Duration = Duration::from_millis(300);
const CALLER_LIFETIME: Duration = Duration::from_mins(2);

/// The balancer through which the last packet of each caller came.
///
/// Any balancer can send from a service's address. The balancer of a recent packet is known to work. After
/// a silence, a random serving balancer is chosen for each packet, so that a balancer that has failed cannot
/// hold up a feed whose caller sends nothing.
#[derive(Debug, Default)]
pub struct ReturnPaths {
    balancers: HashMap<SocketAddr, (SocketAddr, Timestamp)>,
}

impl ReturnPaths {
    /// Records that a packet of `caller` came through `balancer`.
    pub fn record(&mut self, caller: SocketAddr, balancer: SocketAddr, now: Timestamp) {
        self.balancers.insert(caller, (balancer, now));
    }

    /// Chooses a balancer for a packet to `caller`; `serving` are the balancers known as serving.
    pub fn choose(
        &self,
        caller: SocketAddr,
        serving: &[SocketAddr],
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Option<SocketAddr> {
        match self.balancers.get(&caller) {
            Some((balancer, at)) if now.since(*at) < RETURN_PATH_LIFETIME => Some(*balancer),
            _ if !serving.is_empty() => Some(serving[draw(serving.len())]),
            Some((balancer, _)) => Some(*balancer),
            None => None,
        }
    }

    /// Returns the number of callers known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.balancers.len()
    }

    /// Returns whether no caller is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.balancers.is_empty()
    }

    /// Removes callers that have sent nothing for two minutes.
    pub fn expire(&mut self, now: Timestamp) {
        self.balancers.retain(|_, (_, at)| now.since(*at) < CALLER_LIFETIME);
    }
}
