//! Which balancer a packet for a caller leaves through.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dillmill_core::Timestamp;
use dillmill_core::membership::RandomIndex;

/// While a caller's packets came through a balancer this recently, answers go back through it.
pub const RETURN_PATH_LIFETIME: Duration = Duration::from_millis(300);
const FORGET: Duration = Duration::from_mins(2);

/// The balancer through which each caller was last heard.
///
/// Any balancer can send for a service's address. The last one heard is known to work; after a
/// silence a random serving one is taken for each packet, so that a balancer that died can't hold
/// back a feed whose caller has nothing to say.
#[derive(Debug, Default)]
pub struct ReturnPaths {
    heard: HashMap<SocketAddr, (SocketAddr, Timestamp)>,
}

impl ReturnPaths {
    /// Records that a packet of `caller` came through `balancer`.
    pub fn heard(&mut self, caller: SocketAddr, balancer: SocketAddr, now: Timestamp) {
        self.heard.insert(caller, (balancer, now));
    }

    /// Chooses a balancer for a packet to `caller`; `serving` are those taken for serving.
    pub fn choose(
        &self,
        caller: SocketAddr,
        serving: &[SocketAddr],
        now: Timestamp,
        draw: &mut RandomIndex<'_>,
    ) -> Option<SocketAddr> {
        match self.heard.get(&caller) {
            Some((balancer, at)) if now.since(*at) < RETURN_PATH_LIFETIME => Some(*balancer),
            _ if !serving.is_empty() => Some(serving[draw(serving.len())]),
            Some((balancer, _)) => Some(*balancer),
            None => None,
        }
    }

    /// Returns the number of callers known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Returns whether no caller is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// Forgets callers that have been silent for two minutes.
    pub fn expire(&mut self, now: Timestamp) {
        self.heard.retain(|_, (_, at)| now.since(*at) < FORGET);
    }
}
