//! The routes in force, indexed by address for a lookup per packet.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::{FlowTuple, OverloadPolicy, Priority, Revision, ServiceTag, Weight};

/// Seed of the hash that chooses among the services of a route. Any number works that does not result
/// from an address.
const SHARE_SEED: u64 = u64::MAX;

/// The services of a route and its limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteEntry {
    /// Services with their shares of new flows.
    pub shares: Vec<(ServiceTag, Weight)>,
    /// Services that had a share in an earlier revision; their open flows stay with them.
    pub former: Vec<ServiceTag>,
    /// Target latency: the time within which an answer is of full use to callers.
    pub latency_aim: Option<Duration>,
    /// Time after which callers give up on a request.
    pub timeout: Option<Duration>,
    /// Whether callers may repeat a request after any failure.
    pub repeatable: bool,
    /// Priority of the requests.
    pub priority: Priority,
    /// Decisions under overload that are in force for the route.
    pub overload: OverloadPolicy,
}

impl RouteEntry {
    /// Returns the service for a new flow, which is the same in every process that has this revision.
    #[must_use]
    pub fn service(&self, flow: &FlowTuple) -> Option<ServiceTag> {
        let total: u64 = self.shares.iter().map(|(_, weight)| u64::from(weight.0)).sum();
        if total == 0 {
            return None;
        }
        let mut point = flow.score(SHARE_SEED) % total;
        for (service, weight) in &self.shares {
            if point < u64::from(weight.0) {
                return Some(*service);
            }
            point -= u64::from(weight.0);
        }
        None
    }

    /// Returns the priority by which waiting requests are ordered: the lowest if priority order is
    /// off for the route.
    pub(crate) fn effective_priority(&self) -> Priority {
        if self.overload.priority_order { self.priority } else { Priority::LOWEST }
    }

    /// Returns whether a new flow may go to `service`.
    #[must_use]
    pub fn allows(&self, service: ServiceTag) -> bool {
        self.shares.iter().any(|(s, weight)| *s == service && weight.0 > 0)
    }

    /// Returns all services that may have flows of this route, former ones included.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceTag> {
        self.shares.iter().map(|(s, _)| *s).chain(self.former.iter().copied()).collect()
    }

    fn add_former(&mut self, before: &Self) {
        for service in before.services() {
            if !self.former.contains(&service) && !self.shares.iter().any(|(s, _)| *s == service) {
                self.former.push(service);
            }
        }
    }
}

/// The routes of one settings revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Revision of the settings.
    pub revision: Revision,
    routes: Vec<(SocketAddrV4, RouteEntry)>,
    /// Services named in the settings in addition to those of routes.
    services: Vec<ServiceTag>,
    /// Requests per second that a newly started target can handle, for services that specify it.
    cold_rates: Vec<(ServiceTag, u32)>,
    /// Services whose targets get requests of several priorities.
    mixed: Vec<ServiceTag>,
}

impl RouteTable {
    /// Creates a table; if two routes have the same address, the first one is used.
    #[must_use]
    pub fn new(
        revision: Revision,
        routes: impl IntoIterator<Item = (SocketAddrV4, RouteEntry)>,
    ) -> Self {
        let mut routes: Vec<_> = routes.into_iter().collect();
        routes.sort_by_key(|(address, _)| *address);
        routes.dedup_by_key(|(address, _)| *address);
        let (services, cold_rates) = (Vec::new(), Vec::new());
        let mixed = mixed_services(&routes);
        Self { revision, routes, services, cold_rates, mixed }
    }

    /// Sets the requests per second that a newly started target of each service can handle.
    #[must_use]
    pub fn cold_rates(mut self, rates: impl IntoIterator<Item = (ServiceTag, u32)>) -> Self {
        self.cold_rates = rates.into_iter().collect();
        self
    }

    /// Sets the services named in the settings.
    #[must_use]
    pub fn services(mut self, services: impl IntoIterator<Item = ServiceTag>) -> Self {
        self.services = services.into_iter().collect();
        self
    }

    /// Returns whether `service` is named in the settings, on its own or as a service of a route.
    #[must_use]
    pub fn names(&self, service: ServiceTag) -> bool {
        let of_route =
            |(_, entry): &(SocketAddrV4, RouteEntry)| entry.services().contains(&service);
        self.services.contains(&service) || self.routes.iter().any(of_route)
    }

    /// Returns the services that get new flows by these routes and that `before` does not name.
    #[must_use]
    pub fn first_named(&self, before: &Self) -> Vec<ServiceTag> {
        let shares = self.routes.iter().flat_map(|(_, entry)| &entry.shares);
        let mut new: Vec<ServiceTag> =
            shares.map(|(service, _)| *service).filter(|s| !before.names(*s)).collect();
        new.sort_unstable();
        new.dedup();
        new
    }

    /// Returns whether any route of `service` has load sharing on, or no route of the service is known.
    #[must_use]
    pub fn shares_load(&self, service: ServiceTag) -> bool {
        let mut routes = self.routes.iter().filter(|(_, entry)| entry.allows(service)).peekable();
        routes.peek().is_none() || routes.any(|(_, entry)| entry.overload.load_sharing)
    }

    /// Returns the requests per second that a newly started target of `service` can handle, if specified.
    #[must_use]
    pub fn cold_rate(&self, service: ServiceTag) -> Option<u32> {
        self.cold_rates.iter().find(|(s, _)| *s == service).map(|(_, rate)| *rate)
    }

    /// Adds the services of `before` as former services of the same routes, as they may have open flows.
    #[must_use]
    pub fn after(mut self, before: &Self) -> Self {
        for (address, entry) in &mut self.routes {
            if let Some(old) = before.get(*address) {
                entry.add_former(old);
            }
        }
        self.mixed = mixed_services(&self.routes);
        self
    }

    /// Returns the route of an address.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&RouteEntry> {
        let i = self.routes.binary_search_by_key(&address, |(a, _)| *a).ok()?;
        Some(&self.routes[i].1)
    }

    /// Returns the decisions under overload for requests on the route `address` at a target of
    /// `service`. Priority order is off unless the target gets requests of several priorities.
    #[must_use]
    pub fn overload(&self, address: SocketAddrV4, service: ServiceTag) -> OverloadPolicy {
        let policy = self.get(address).map(|route| route.overload).unwrap_or_default();
        let in_force = self.get(address).is_some() && policy.priority_order;
        OverloadPolicy { priority_order: in_force && self.mixed.contains(&service), ..policy }
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Returns the services that have routes of several priorities.
fn mixed_services(routes: &[(SocketAddrV4, RouteEntry)]) -> Vec<ServiceTag> {
    let mut seen: Vec<(ServiceTag, Priority)> = Vec::new();
    let mut mixed = Vec::new();
    for (_, entry) in routes {
        let priority = entry.effective_priority();
        for service in entry.services() {
            match seen.iter().find(|(known, _)| *known == service) {
                Some((_, first)) if *first != priority && !mixed.contains(&service) => {
                    mixed.push(service);
                }
                Some(_) => {}
                None => seen.push((service, priority)),
            }
        }
    }
    mixed
}
