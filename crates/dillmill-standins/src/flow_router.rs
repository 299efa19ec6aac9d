//! Stand-in for the platform's routers: forwards each packet to one of the ready balancers, chosen by a
//! hash of the flow.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use cyper::Client;
use dillmill_core::FlowTuple;
use dillmill_platform::ProcessSettings;
use dillmill_platform::endpoint::READY_PATH;

const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const MAX_FAILED_PROBES: u32 = 2;

#[derive(Debug)]
struct Balancer {
    packets: SocketAddrV4,
    failed_probes: u32,
}

/// Routers in front of some balancers; their readiness probes end when this is dropped.
pub struct FlowRouter {
    balancers: Rc<RefCell<Vec<Balancer>>>,
    _tasks: Vec<JoinHandle<()>>,
}

impl FlowRouter {
    /// Starts to probe the readiness of the balancers.
    #[must_use]
    pub fn spawn(settings: &[ProcessSettings]) -> Self {
        let initial = settings
            .iter()
            .map(|s| Balancer { packets: s.packets, failed_probes: MAX_FAILED_PROBES });
        let balancers = Rc::new(RefCell::new(initial.collect::<Vec<_>>()));
        let tasks = settings
            .iter()
            .enumerate()
            .filter_map(|(i, s)| Some((i, s.readiness?)))
            .map(|(i, readiness)| compio::runtime::spawn(probe(i, readiness, balancers.clone())))
            .collect();
        Self { balancers, _tasks: tasks }
    }

    /// Returns the number of balancers that are ready.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.balancers.borrow().iter().filter(|b| b.failed_probes < MAX_FAILED_PROBES).count()
    }

    /// Sends a caller's packet to the balancer chosen by the flow's hash; without a ready balancer it is
    /// dropped.
    pub async fn send(&self, socket: &UdpSocket, flow: &FlowTuple, packet: Vec<u8>) {
        let to = {
            let balancers = self.balancers.borrow();
            let ready: Vec<_> =
                balancers.iter().filter(|b| b.failed_probes < MAX_FAILED_PROBES).collect();
            if ready.is_empty() {
                return;
            }
            let index = flow.score(0) % u64::try_from(ready.len()).unwrap_or(1);
            ready[usize::try_from(index).unwrap_or(0)].packets
        };
        // A datagram that can't be sent counts as lost.
        let BufResult(_, _) = socket.send_to(packet, SocketAddr::V4(to)).await;
    }
}

async fn probe(i: usize, readiness: SocketAddrV4, balancers: Rc<RefCell<Vec<Balancer>>>) {
    let Ok(client) = Client::new() else { return };
    let url = format!("http://{readiness}{READY_PATH}");
    loop {
        let response = async { client.get(&url).ok()?.send().await.ok() };
        let answer = compio::time::timeout(PROBE_INTERVAL * 3, response).await.ok().flatten();
        let ready = answer.is_some_and(|res| res.status().is_success());
        {
            let balancer = &mut balancers.borrow_mut()[i];
            balancer.failed_probes = if ready { 0 } else { balancer.failed_probes + 1 };
        }
        compio::time::sleep(PROBE_INTERVAL).await;
    }
}
