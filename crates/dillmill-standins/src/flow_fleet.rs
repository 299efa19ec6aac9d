//! Fleets of balancers and agents for packet flows, run as processes on loopback with stand-ins for store,
//! proxy, routers, targets and callers.

mod ctl;
mod fleet_layout;
mod processes;
mod vm;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cyper::Client;
use dillmill_core::{Interval, LinkRate, Priority, Revision, ServiceName, Weight};
use dillmill_platform::{
    Freshness, LeaseId, ProcessSettings, Store, Transaction, document, operator_key,
};
use dillmill_settings::{Overload, Route, RouteTree};
pub use fleet_layout::FleetLayout;
use tempfile::TempDir;
use vm::Vm;

use crate::flow_proxy::FlowProxy;
use crate::flow_router::FlowRouter;
use crate::platform::{PlatformCounts, PlatformFaults};
use crate::process::{Process, program};
use crate::subnet::Subnet;
use crate::{FlowCaller, StandinError};

const PACKET_PORT: u16 = 18172;
const METRICS_PORT: u16 = 18164;
const STORE_PORT: u16 = 18169;
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Prefix of the keys of process entries.
const PROCESS_PREFIX: &str = "dillmill/processes/";
const STORE_HOST: u8 = 1;
const PROXY_HOST: u8 = 2;
const FIRST_CALLER: u8 = 200;
/// Port of the first route that no caller uses.
const FIRST_UNUSED_PORT: u16 = 1001;

/// Timeout and latency objective of the routes of a fleet with overload.
const REQUEST_TIMEOUT: Interval = Interval::from_millis(1200);
const LATENCY_OBJECTIVE: Interval = Interval::from_millis(250);

/// A running fleet; all of its processes end when it is dropped.
pub struct FlowFleet {
    dir: TempDir,
    layout: FleetLayout,
    subnet: Subnet,
    vms: BTreeMap<String, Vm>,
    store: Store,
    _store_process: Process,
    proxy: FlowProxy,
    router: Rc<FlowRouter>,
}

impl Drop for FlowFleet {
    /// Keeps the logs if a panic drops the fleet, as when a test fails.
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.keep_logs().display());
        }
    }
}

impl FlowFleet {
    /// Keeps the folder with the logs of all processes after the fleet is dropped, and returns its path.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.dir.disable_cleanup(true);
        self.dir.path().to_owned()
    }

    /// Starts the store, `balancers` balancers, and for each service the given number of targets with
    /// agents.
    ///
    /// The route with port 443 leads to the first service.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or is not ready in time.
    pub async fn start(balancers: u8, services: &[(&str, u8)]) -> Result<Self, StandinError> {
        Self::start_with_layout(FleetLayout::default(), balancers, services).await
    }

    /// Starts a fleet as [`start`](Self::start) does, with this link rate in the balancers' settings.
    ///
    /// # Errors
    ///
    /// As [`start`](Self::start).
    pub async fn start_with_link(
        link: Option<LinkRate>,
        balancers: u8,
        services: &[(&str, u8)],
    ) -> Result<Self, StandinError> {
        let layout = FleetLayout { link, ..FleetLayout::default() };
        Self::start_with_layout(layout, balancers, services).await
    }

    /// Starts a fleet as [`start`](Self::start) does, with this layout of VMs.
    ///
    /// # Errors
    ///
    /// As [`start`](Self::start).
    pub async fn start_with_layout(
        layout: FleetLayout,
        balancers: u8,
        services: &[(&str, u8)],
    ) -> Result<Self, StandinError> {
        let dir = tempfile::tempdir().map_err(StandinError::at("make a folder"))?;
        let subnet = Subnet::take();
        let ip = |host: u8| subnet.ip(u16::from(host));
        let store_addr = SocketAddrV4::new(ip(STORE_HOST), STORE_PORT);
        let args = ["platform".to_owned(), "--listen".to_owned(), store_addr.to_string()];
        let standins = program("dillmill-standins")?;
        let store_process = Process::spawn("platform", &standins, &args, dir.path())?;
        let proxy_addr = SocketAddrV4::new(ip(PROXY_HOST), STORE_PORT);
        let proxy = FlowProxy::spawn(proxy_addr, store_addr).await?;
        let store = Store::new(format!("http://{store_addr}"))
            .map_err(|e| StandinError::new("make a client", e.current_context()))?;
        let mut hosts = 10_u8..;
        let mut host = || hosts.next().unwrap_or(u8::MAX);
        let first_peer = ip(10);
        let mut vms = BTreeMap::new();
        for n in 1..=balancers {
            let name = format!("balancer-{n}");
            let mut vm = Vm::new(&name, ip(host()), None, proxy_addr, first_peer)?;
            vm.settings.zone = layout.zone(n)?;
            vm.settings.link = layout.link;
            vms.insert(name, vm);
        }
        for (service, targets) in services {
            for n in 1..=*targets {
                let name = format!("{service}-{n}");
                let service = service.parse().map_err(StandinError::at("name a service"))?;
                let mut vm = Vm::new(&name, ip(host()), Some(service), proxy_addr, first_peer)?;
                vm.settings.zone = layout.zone(n)?;
                vms.insert(name, vm);
            }
        }
        let entry: Vec<ProcessSettings> = vms
            .values()
            .filter(|vm| vm.settings.service.is_none())
            .map(|vm| vm.settings.clone())
            .collect();
        let router = Rc::new(FlowRouter::spawn(&entry));
        let mut fleet =
            Self { dir, layout, subnet, vms, store, _store_process: store_process, proxy, router };
        fleet.wait_for_store().await?;
        fleet.set_route(1, services[0].0).await?;
        let names: Vec<String> = fleet.vms.keys().cloned().collect();
        for name in names {
            fleet.run(&name)?;
            if fleet.vms[&name].settings.service.is_some() {
                fleet.run_target(&name, &name).await?;
            }
        }
        let all = usize::from(balancers);
        let router = fleet.router.clone();
        wait(PROCESS_TIMEOUT, "readiness of all balancers", || router.ready() == all).await?;
        Ok(fleet)
    }

    async fn wait_for_store(&self) -> Result<(), StandinError> {
        let started = Instant::now();
        while self.store.get(operator_key::DOCUMENT, Freshness::Newest).await.is_err() {
            if started.elapsed() > PROCESS_TIMEOUT {
                return Err(StandinError::new("wait", "the store does not answer"));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn vm(&mut self, name: &str) -> Result<&mut Vm, StandinError> {
        self.vms.get_mut(name).ok_or_else(|| StandinError::new("find a VM", name))
    }

    /// Writes a configuration whose only route leads to `service`.
    ///
    /// # Errors
    ///
    /// Fails when the write to the store fails.
    pub async fn set_route(&self, version: u64, service: &str) -> Result<(), StandinError> {
        self.set_routes(version, service, &[]).await
    }

    /// Writes a configuration as [`set_route`](Self::set_route) does, with a route that no caller uses for
    /// each of `others`.
    ///
    /// Agents refuse heartbeats of another service than their own if the configuration does not name it.
    ///
    /// # Errors
    ///
    /// As [`set_route`](Self::set_route).
    pub async fn set_routes(
        &self,
        version: u64,
        service: &str,
        others: &[&str],
    ) -> Result<(), StandinError> {
        let mut routes = vec![route("main", self.route(), service)?];
        if self.layout.overload {
            let urgent = route("urgent", self.urgent_route(), service)?;
            routes[0].priority = Some(Priority(2));
            routes.push(Route { priority: Some(Priority(1)), ..urgent });
            for route in &mut routes {
                route.timeout = Some(REQUEST_TIMEOUT);
                route.latency_aim = Some(LATENCY_OBJECTIVE);
            }
        }
        for (port, other) in (FIRST_UNUSED_PORT..).zip(others) {
            let address = SocketAddrV4::new(*self.route().ip(), port);
            routes.push(route(&format!("unused-{port}"), address, other)?);
        }
        let idle = self.layout.idle_timeout;
        let tree = RouteTree::new(Revision(version), idle, Vec::new(), routes)
            .map_err(StandinError::at("make a configuration"))?;
        let value = document::encode(&tree);
        let put = self.store.put(operator_key::DOCUMENT, value, LeaseId::default()).await;
        put.map_err(|e| StandinError::new("write the configuration", e.current_context()))?;
        Ok(())
    }

    /// Writes an entry into the store, as another writer may.
    ///
    /// # Errors
    ///
    /// Fails when the write to the store fails.
    pub async fn write_entry(&self, key: &str, value: &str) -> Result<(), StandinError> {
        let put = self.store.put(key, value.as_bytes().to_vec(), LeaseId::default()).await;
        put.map_err(|e| StandinError::new("write an entry", e.current_context()))?;
        Ok(())
    }

    /// Orders the evacuation of a data centre, or withdraws the order.
    ///
    /// # Errors
    ///
    /// Fails when the write to the store fails.
    pub async fn evacuate(&self, zone: &str, ordered: bool) -> Result<(), StandinError> {
        let key = operator_key::evacuation_key(zone);
        let done = if ordered {
            self.store.put(&key, b"{}".to_vec(), LeaseId::default()).await
        } else {
            let removal = Transaction { removals: vec![key], ..Transaction::default() };
            self.store.commit(&removal).await
        };
        done.map_err(|e| StandinError::new("order to evacuate", e.current_context()))?;
        Ok(())
    }

    /// Sets the faults of the store.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn store_faults(&self, faults: &PlatformFaults) -> Result<(), StandinError> {
        let step = || StandinError::at("set faults");
        let client = Client::new().map_err(step())?;
        let url = format!("{}/standin/faults", self.store.base());
        let req = client.put(url).map_err(step())?.json(faults).map_err(step())?;
        req.send().await.map_err(step())?;
        Ok(())
    }

    /// Returns the names of the VMs whose processes have an entry in the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn registered(&self) -> Result<Vec<String>, StandinError> {
        let page = self.store.list(PROCESS_PREFIX, "", Freshness::Newest).await;
        let page = page.map_err(|e| StandinError::new("list entries", e.current_context()))?;
        let addresses: Vec<SocketAddrV4> = page
            .entries
            .iter()
            .filter_map(|entry| std::str::from_utf8(&entry.value).ok()?.parse().ok())
            .collect();
        let has_entry = |vm: &Vm| addresses.iter().any(|addr| *addr.ip() == vm.settings.ip);
        Ok(self.vms.iter().filter(|(_, vm)| has_entry(vm)).map(|(name, _)| name.clone()).collect())
    }

    /// Returns the names of all VMs.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.vms.keys().cloned().collect()
    }

    /// Returns the number of watches that wait for a change at the store.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn open_watches(&self) -> Result<u64, StandinError> {
        let step = || StandinError::at("count watches");
        let client = Client::new().map_err(step())?;
        let url = format!("{}/standin/counts", self.store.base());
        let res = client.get(url).map_err(step())?.send().await.map_err(step())?;
        let counts: PlatformCounts = res.json().await.map_err(step())?;
        Ok(counts.watches)
    }

    /// Returns the address of the route that callers use.
    #[must_use]
    pub fn route(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
    }

    /// Returns the address of the route of higher priority, which a fleet with overload has in addition.
    #[must_use]
    pub fn urgent_route(&self) -> SocketAddrV4 {
        SocketAddrV4::new(*self.route().ip(), 444)
    }

    /// Returns the proxy between all processes and the store.
    #[must_use]
    pub fn proxy(&self) -> &FlowProxy {
        &self.proxy
    }

    /// Returns the routers in front of the balancers.
    #[must_use]
    pub fn router(&self) -> &FlowRouter {
        &self.router
    }

    /// Starts a host of callers.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be bound.
    pub async fn caller(&self, n: u8) -> Result<FlowCaller, StandinError> {
        let ip = self.subnet.ip(u16::from(FIRST_CALLER + n));
        FlowCaller::spawn(ip, PACKET_PORT, self.router.clone()).await
    }
}

fn route(name: &str, address: SocketAddrV4, service: &str) -> Result<Route, StandinError> {
    let service: ServiceName = service.parse().map_err(StandinError::at("name a service"))?;
    Ok(Route {
        name: name.to_owned(),
        address,
        shares: vec![(service, Weight(1))],
        timeout: None,
        repeatable: false,
        latency_aim: None,
        priority: None,
        overload: Overload::default(),
    })
}

/// Waits up to `limit` until `done` returns true.
///
/// # Errors
///
/// Fails after `limit`; the message names `what`.
pub async fn wait(
    limit: Duration,
    what: &str,
    mut done: impl FnMut() -> bool,
) -> Result<(), StandinError> {
    let started = Instant::now();
    while !done() {
        if started.elapsed() > limit {
            return Err(StandinError::new("wait", format!("timed out waiting for {what}")));
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
