//! Settings tree of packet flows, with a root, a branch for each service and a leaf for each route.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use dillmill_core::{
    Interval, OverloadPolicy, Percent, Priority, Revision, RouteEntry, RouteTable, ServiceName,
    ServiceTag, Weight,
};
use serde::{Deserialize, Serialize};

use crate::overload::MAX_LOW_PRIORITY_SHARE;
use crate::{Overload, OverloadSettings};

/// The branch of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteService {
    /// Name.
    pub name: ServiceName,
    /// HTTP/1.1 path of the health check of the service's targets.
    pub health_path: Option<String>,
    /// Requests per second that a freshly started target can serve, if specified.
    pub cold_rate: Option<u32>,
    /// Decisions under overload.
    #[serde(skip)]
    pub overload: Overload,
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
    /// Priority of the requests.
    #[serde(skip)]
    pub priority: Option<Priority>,
    /// Decisions under overload.
    #[serde(skip)]
    pub overload: Overload,
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
    /// A node keeps too many turns for low priority.
    #[error("{node}: low-priority-share {share} is above {MAX_LOW_PRIORITY_SHARE}")]
    LowPriorityShare {
        /// The root, a service or a route.
        node: String,
        /// The value.
        share: Percent,
    },
}

/// The whole route tree at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTree {
    revision: Revision,
    idle_timeout_ms: u64,
    services: Vec<RouteService>,
    routes: Vec<Route>,
    #[serde(skip)]
    overload: Overload,
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
        let overload = Overload::default();
        let tree = Self { revision, idle_timeout_ms, services, routes, overload };
        tree.check_overload()?;
        Ok(tree)
    }

    /// Sets the root's settings for overload.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid value.
    pub fn with_root_overload(mut self, overload: Overload) -> Result<Self, RouteTreeError> {
        self.overload = overload;
        self.check_overload()?;
        Ok(self)
    }

    fn check_overload(&self) -> Result<(), RouteTreeError> {
        let root = std::iter::once(("root".to_owned(), &self.overload));
        let services = self.services.iter().map(|s| (format!("service `{}`", s.name), &s.overload));
        let routes = self.routes.iter().map(|r| (format!("route `{}`", r.name), &r.overload));
        let invalid = root.chain(services).chain(routes).find(|(_, overload)| !overload.is_valid());
        match invalid {
            Some((node, overload)) => {
                let share = overload.low_priority_share.unwrap_or_default();
                Err(RouteTreeError::LowPriorityShare { node, share })
            }
            None => Ok(()),
        }
    }

    /// Returns the priorities and the settings for overload of all nodes that have any.
    #[must_use]
    pub fn overload_settings(&self) -> OverloadSettings {
        let none = Overload::default();
        let services = self.services.iter().filter(|s| s.overload != none);
        let routes = self.routes.iter().filter(|r| r.priority.is_some() || r.overload != none);
        OverloadSettings {
            root: self.overload,
            services: services.map(|s| (s.name.clone(), s.overload)).collect(),
            routes: routes.map(|r| (r.name.clone(), r.priority, r.overload)).collect(),
        }
    }

    /// Adds the priorities and the settings for overload that a peer has sent beside the tree.
    #[must_use]
    pub fn with_overload_settings(mut self, settings: &OverloadSettings) -> Self {
        self.overload = settings.root;
        let services: HashMap<_, _> =
            settings.services.iter().map(|(name, overload)| (name, *overload)).collect();
        for service in &mut self.services {
            service.overload = services.get(&service.name).copied().unwrap_or_default();
        }
        let routes: HashMap<_, _> =
            settings.routes.iter().map(|(name, priority, o)| (name, (*priority, *o))).collect();
        for route in &mut self.routes {
            (route.priority, route.overload) = routes.get(&route.name).copied().unwrap_or_default();
        }
        self
    }

    /// Returns the decisions under overload that are in force for a route.
    fn overload_policy(&self, route: &Route) -> OverloadPolicy {
        let root = self.overload.resolve(OverloadPolicy::default());
        let service = route.shares.first().and_then(|(name, _)| self.service(name));
        let service = service.map_or(root, |s| s.overload.resolve(root));
        route.overload.resolve(service)
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
                priority: route.priority.unwrap_or_default(),
                overload: self.overload_policy(route),
            };
            (route.address, entry)
        };
        let rate = |s: &RouteService| Some(((&s.name).into(), s.cold_rate?));
        RouteTable::new(self.revision, self.routes.iter().map(entry))
            .services(self.services.iter().map(|s| (&s.name).into()))
            .cold_rates(self.services.iter().filter_map(rate))
    }
}
