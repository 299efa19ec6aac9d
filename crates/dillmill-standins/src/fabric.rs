//! Stand-in of the network fabric: sends each packet of a caller to a random balancer, and the
//! balancers' packets back to the caller.
//!
//! On loopback the fabric is bound to the service addresses. It opens one socket for each caller,
//! which is the caller's address as balancers see it. The fabric forwards every packet that a
//! balancer sends to this socket to the caller, from the service's address.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use compio::buf::BufResult;
use compio::net::UdpSocket;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::{StandinError, serve};

const MAX_DATAGRAM: usize = 64 * 1024;

/// Where the fabric sends packets, and how it loses, duplicates, reorders and delays them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FabricRules {
    /// Addresses of the balancers for each service address.
    pub balancers: HashMap<SocketAddr, Vec<SocketAddr>>,
    /// Probability that a packet is lost, in thousandths.
    pub lose_permille: u32,
    /// Probability that a packet is delivered twice, in thousandths.
    pub double_permille: u32,
    /// Probability that a packet is delayed so that later ones overtake it, in thousandths.
    pub cross_permille: u32,
    /// Delay of each packet in each direction, in milliseconds.
    pub delay_ms: u64,
}

struct Fabric {
    rules: FabricRules,
    rng: SmallRng,
    packets: HashMap<SocketAddr, u64>,
}

type Shared = Arc<Mutex<Fabric>>;

fn lock(fabric: &Shared) -> MutexGuard<'_, Fabric> {
    fabric.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns one delay for each copy of a packet to send; none if the packet is lost.
fn copy_delays(fabric: &mut Fabric) -> Vec<Duration> {
    let Fabric { rules, rng, .. } = fabric;
    let mut happens = |permille: u32| permille > 0 && rng.random_range(0..1000) < permille;
    if happens(rules.lose_permille) {
        return Vec::new();
    }
    let n = if happens(rules.double_permille) { 2 } else { 1 };
    let reorder_delay_ms = if happens(rules.cross_permille) { 15 } else { 0 };
    vec![Duration::from_millis(rules.delay_ms + reorder_delay_ms); n]
}

/// Forwards packets of the given service addresses, and serves the rules over HTTP on `control`,
/// until the process ends.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub async fn run(
    control: SocketAddr,
    services: Vec<SocketAddr>,
    seed: u64,
) -> Result<(), StandinError> {
    let fabric: Shared = Arc::new(Mutex::new(Fabric {
        rules: FabricRules::default(),
        rng: SmallRng::seed_from_u64(seed),
        packets: HashMap::new(),
    }));
    for service in services {
        let socket =
            UdpSocket::bind(service).await.map_err(StandinError::at(format!("bind {service}")))?;
        compio::runtime::spawn(forward_from_callers(service, socket, fabric.clone())).detach();
    }
    let router = Router::new()
        .route("/standin/rules", get(rules).put(set_rules))
        .route("/standin/packets", get(packets))
        .with_state(fabric);
    serve::serve_until_exit(control, router).await
}

async fn rules(State(fabric): State<Shared>) -> Json<FabricRules> {
    Json(lock(&fabric).rules.clone())
}

async fn set_rules(State(fabric): State<Shared>, Json(rules): Json<FabricRules>) {
    lock(&fabric).rules = rules;
}

async fn packets(State(fabric): State<Shared>) -> Json<HashMap<SocketAddr, u64>> {
    Json(lock(&fabric).packets.clone())
}

async fn forward_from_callers(service: SocketAddr, socket: UdpSocket, fabric: Shared) {
    let mut callers: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buf = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buf.clear();
        let BufResult(outcome, filled) = socket.recv_from(buf).await;
        buf = filled;
        let Ok((n, caller)) = outcome else { continue };
        let caller_socket = match callers.entry(caller) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => {
                let local = SocketAddr::new(service.ip(), 0);
                let Ok(caller_socket) = UdpSocket::bind(local).await else { continue };
                let back = forward_to_caller(
                    caller,
                    caller_socket.clone(),
                    socket.clone(),
                    fabric.clone(),
                );
                compio::runtime::spawn(back).detach();
                new.insert(caller_socket)
            }
        };
        let sends: Vec<(Duration, SocketAddr)> = {
            let mut fabric = lock(&fabric);
            let balancers = fabric.rules.balancers.get(&service).cloned().unwrap_or_default();
            if balancers.is_empty() {
                continue;
            }
            let delays = copy_delays(&mut fabric);
            let mut sends = Vec::with_capacity(delays.len());
            for delay in delays {
                let balancer = balancers[fabric.rng.random_range(0..balancers.len())];
                *fabric.packets.entry(balancer).or_default() += 1;
                sends.push((delay, balancer));
            }
            sends
        };
        for (delay, to) in sends {
            send_after(caller_socket, buf[..n].to_vec(), to, delay).await;
        }
    }
}

async fn forward_to_caller(
    caller: SocketAddr,
    caller_socket: UdpSocket,
    service: UdpSocket,
    fabric: Shared,
) {
    let mut buf = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buf.clear();
        let BufResult(outcome, filled) = caller_socket.recv_from(buf).await;
        buf = filled;
        let Ok((n, _)) = outcome else { continue };
        let delays = copy_delays(&mut lock(&fabric));
        for delay in delays {
            send_after(&service, buf[..n].to_vec(), caller, delay).await;
        }
    }
}

async fn send_after(socket: &UdpSocket, packet: Vec<u8>, to: SocketAddr, delay: Duration) {
    if delay.is_zero() {
        let _ = socket.send_to(packet, to).await;
        return;
    }
    let socket = socket.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(delay).await;
        let _ = socket.send_to(packet, to).await;
    })
    .detach();
}
