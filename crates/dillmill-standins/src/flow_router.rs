//! The platform's routers: they hand each packet to a balancer by a hash over those that are ready.

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

const ASK_EVERY: Duration = Duration::from_millis(100);
const MISSES: u32 = 2;

#[derive(Debug)]
struct Balancer {
    packets: SocketAddrV4,
    misses: u32,
}

/// Routers before some balancers; they end when they are dropped.
pub struct FlowRouter {
    balancers: Rc<RefCell<Vec<Balancer>>>,
    _tasks: Vec<JoinHandle<()>>,
}

impl FlowRouter {
    /// Starts to ask the balancers whether they are ready.
    #[must_use]
    pub fn spawn(settings: &[ProcessSettings]) -> Self {
        let made = settings.iter().map(|s| Balancer { packets: s.packets, misses: MISSES });
        let balancers = Rc::new(RefCell::new(made.collect::<Vec<_>>()));
        let tasks = settings
            .iter()
            .enumerate()
            .filter_map(|(i, s)| Some((i, s.readiness?)))
            .map(|(i, readiness)| compio::runtime::spawn(ask(i, readiness, balancers.clone())))
            .collect();
        Self { balancers, _tasks: tasks }
    }

    /// Returns the number of balancers that are in.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.balancers.borrow().iter().filter(|b| b.misses < MISSES).count()
    }

    /// Sends a caller's packet to the balancer that is its turn.
    pub async fn send(&self, socket: &UdpSocket, flow: &FlowTuple, packet: Vec<u8>) {
        let to = {
            let balancers = self.balancers.borrow();
            let ready: Vec<_> = balancers.iter().filter(|b| b.misses < MISSES).collect();
            if ready.is_empty() {
                return;
            }
            let turn = flow.score(0) % u64::try_from(ready.len()).unwrap_or(1);
            ready[usize::try_from(turn).unwrap_or(0)].packets
        };
        // A datagram that can't be sent is as one that was lost.
        let BufResult(_, _) = socket.send_to(packet, SocketAddr::V4(to)).await;
    }
}

async fn ask(i: usize, readiness: SocketAddrV4, balancers: Rc<RefCell<Vec<Balancer>>>) {
    let Ok(client) = Client::new() else { return };
    let url = format!("http://{readiness}{READY_PATH}");
    loop {
        let asked = async { client.get(&url).ok()?.send().await.ok() };
        let answer = compio::time::timeout(ASK_EVERY * 3, asked).await.ok().flatten();
        let ready = answer.is_some_and(|res| res.status().is_success());
        {
            let balancer = &mut balancers.borrow_mut()[i];
            balancer.misses = if ready { 0 } else { balancer.misses + 1 };
        }
        compio::time::sleep(ASK_EVERY).await;
    }
}
