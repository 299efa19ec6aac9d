//! Settings tree of packet flows, with a root, a branch for each service and a leaf for each route.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use dillmill_core::{Interval, Revision, RouteEntry, RouteTable, ServiceName, ServiceTag, Weight};
use serde::{Deserialize, Serialize};

/// The branch of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteService {
    /// Name.
    pub name: ServiceName,
    /// HTTP/1.1 path of the health check of the service's targets.
    pub health_path: Option<String>,
    /// Requests per second that a freshly started target can serve, if specified.
    pub cold_rate: Option<u32>,
}

/// The leaf of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Address to which callers send.
    pub address: SocketAddrV4,
    /// Services with their shares of new flows.
    pub shares: Vec<(ServiceName, Weight)>,
    /// Whether callers may retry a request after any failure.
    pub repeatable: bool,
    /// Timeout of a request on the route.
    pub timeout: Option<Interval>,
    /// Target latency, within which a response has its full value.
    pub latency_aim: Option<Interval>,
}

/// Reason why a route tree is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RouteTreeError {
    /// A route has no service.
    #[error("route `{0}` has no service")]
    NoService(String),
    /// Two services have the same tag.
    #[error("services `{0}` and `{1}` have the same tag: rename one")]
    SameTag(ServiceName, ServiceName),
}

/// The whole route tree at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTree {
    revision: Revision,
    idle_timeout_ms: u64,
    services: Vec<RouteService>,
    routes: Vec<Route>,
}

impl RouteTree {
    /// Creates and validates a tree.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid route or services.
    pub fn new(
        revision: Revision,
        idle_timeout: Interval,
        services: Vec<RouteService>,
        routes: Vec<Route>,
    ) -> Result<Self, RouteTreeError> {
        if let Some(route) = routes.iter().find(|r| r.shares.is_empty()) {
            return Err(RouteTreeError::NoService(route.name.clone()));
        }
        let mut tags: HashMap<ServiceTag, &ServiceName> = HashMap::new();
        let named = routes.iter().flat_map(|r| r.shares.iter().map(|(name, _)| name));
        for name in named.chain(services.iter().map(|s| &s.name)) {
            let other = *tags.entry(name.into()).or_insert(name);
            if other != name {
                return Err(RouteTreeError::SameTag(other.clone(), name.clone()));
            }
        }
        let idle_timeout_ms = u64::try_from(idle_timeout.duration().as_millis()).unwrap_or(0);
        Ok(Self { revision, idle_timeout_ms, services, routes })
    }

    /// Returns the revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the time after which an idle flow may be dropped; the root sets it for all routes.
    #[must_use]
    pub fn idle_timeout(&self) -> Interval {
        Interval::from_millis(self.idle_timeout_ms)
    }

    /// Returns the branch of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RouteService> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Returns the routes, which are the leaves of the tree.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns a table of the routes for lookups by address.
    #[must_use]
    pub fn table(&self) -> RouteTable {
        let entry = |route: &Route| {
            let shares = route.shares.iter().map(|(name, weight)| (name.into(), *weight)).collect();
            let latency_aim = route.latency_aim.map(Interval::duration);
            let timeout = route.timeout.map(Interval::duration);
            let entry = RouteEntry {
                shares,
                former: Vec::new(),
                latency_aim,
                timeout,
                repeatable: route.repeatable,
            };
            (route.address, entry)
        };
        let rate = |s: &RouteService| Some(((&s.name).into(), s.cold_rate?));
        RouteTable::new(self.revision, self.routes.iter().map(entry))
            .services(self.services.iter().map(|s| (&s.name).into()))
            .cold_rates(self.services.iter().filter_map(rate))
    }
}
