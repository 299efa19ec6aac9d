//! Measures the processor time that a balancer spends on a packet, and that of a minimal forwarder
//! in the same run.

use std::net::{IpAddr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use dillmill_core::{FlowId, FlowKey, FlowKeys, Secret, ServiceNumber};
use serde_json::json;

use crate::cluster::FLOW_KEY;
use crate::process::{Process, program};
use crate::usage::Usage;
use crate::{Cluster, ClusterSpec, ServiceSpec, StandinError};

const PACKETS: u64 = 200_000;
const BURST: u64 = 32;
const ROUNDS: usize = 5;
const PACKET_LEN: usize = 1200;

struct Cost {
    ns_per_packet: f64,
    delivered: f64,
}

/// Measures the costs and prints them as JSON.
///
/// # Errors
///
/// Fails when a process can't be started.
pub async fn run() -> Result<(), StandinError> {
    let spec = ClusterSpec {
        balancers: 1,
        services: vec![ServiceSpec::new("cotiza", 1, 5)],
        ..ClusterSpec::default()
    };
    let mut cluster = Box::pin(Cluster::start(spec)).await?;
    let sink = Sink::open()?;
    let SocketAddr::V4(sink_addr) = sink.addr else {
        return Err(StandinError::new("open sink", "its address is not IPv4"));
    };
    let packet = packet(sink_addr)?;
    let service = cluster.balancer_address("b1", "cotiza")?;
    let balancer = cluster.process("b1")?.id();
    let (_forwarder, forwarder_id, forwarder_addr) = start_forwarder(&cluster, sink.addr)?;
    compio::time::sleep(Duration::from_millis(200)).await;
    let (mut balancer_costs, mut forwarder_costs) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        forwarder_costs.push(sink.measure(forwarder_addr, forwarder_id, &packet)?);
        balancer_costs.push(sink.measure(service, balancer, &packet)?);
    }
    let (balancer_cost, forwarder_cost) = (median(balancer_costs), median(forwarder_costs));
    let result = json!({
        "packets": PACKETS,
        "rounds": ROUNDS,
        "packet_bytes": PACKET_LEN,
        "balancer_ns_per_packet": balancer_cost.ns_per_packet,
        "bare_ns_per_packet": forwarder_cost.ns_per_packet,
        "rate_against_bare": forwarder_cost.ns_per_packet / balancer_cost.ns_per_packet,
        "balancer_delivered": balancer_cost.delivered,
        "bare_delivered": forwarder_cost.delivered,
    });
    println!("{result:#}");
    Ok(())
}

fn median(mut costs: Vec<Cost>) -> Cost {
    costs.sort_by(|a, b| a.ns_per_packet.total_cmp(&b.ns_per_packet));
    costs.swap_remove(costs.len() / 2)
}

fn start_forwarder(
    cluster: &Cluster,
    to: SocketAddr,
) -> Result<(Process, u32, SocketAddr), StandinError> {
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(StandinError::at("find a port"))?;
    let listen = socket.local_addr().map_err(StandinError::at("find a port"))?;
    drop(socket);
    let args = ["forwarder", "--listen", &listen.to_string(), "--to", &to.to_string()];
    let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
    let program = program("dillmill-standins")?;
    let process = Process::spawn("forwarder", &program, &args, cluster.folder())?;
    let id = process.id();
    Ok((process, id, listen))
}

/// Returns a packet of an established flow whose agent is the sink.
fn packet(sink: SocketAddrV4) -> Result<Vec<u8>, StandinError> {
    let key = FlowKey { id: 1, secret: Secret::new(FLOW_KEY) };
    let keys = FlowKeys::new(&[key]).map_err(StandinError::at("read flow key"))?;
    let id = keys.seal(FlowId { service: ServiceNumber(1), agent: sink }, [7; 7]);
    let mut packet = vec![0x40];
    packet.extend_from_slice(&id);
    packet.resize(PACKET_LEN, 0);
    Ok(packet)
}

/// A socket that counts the datagrams that arrive.
struct Sink {
    addr: SocketAddr,
    received: Arc<AtomicU64>,
}

impl Sink {
    fn open() -> Result<Self, StandinError> {
        let ip: IpAddr = [127, 0, 0, 1].into();
        let socket = UdpSocket::bind((ip, 0)).map_err(StandinError::at("open sink"))?;
        let addr = socket.local_addr().map_err(StandinError::at("open sink"))?;
        let received = Arc::new(AtomicU64::new(0));
        let count = received.clone();
        std::thread::spawn(move || {
            let mut buf = vec![0; 64 * 1024];
            while socket.recv(&mut buf).is_ok() {
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        Ok(Self { addr, received })
    }

    fn measure(&self, to: SocketAddr, process: u32, packet: &[u8]) -> Result<Cost, StandinError> {
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(StandinError::at("open source"))?;
        let before = Usage::of(process);
        let received = self.received.load(Ordering::Relaxed);
        for sent in (0..PACKETS).step_by(usize::try_from(BURST).unwrap_or(1)) {
            for _ in 0..BURST {
                let _ = socket.send_to(packet, to);
            }
            // Waits for the packets of this burst, so that the measured cost is that of delivered packets.
            let goal = received + sent + BURST;
            let started = Instant::now();
            while self.received.load(Ordering::Relaxed) < goal
                && started.elapsed() < Duration::from_millis(2)
            {
                std::thread::yield_now();
            }
        }
        std::thread::sleep(Duration::from_millis(50));
        let cpu = Usage::of(process).cpu_since(&before);
        let delivered = self.received.load(Ordering::Relaxed) - received;
        #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
        let cost = Cost {
            ns_per_packet: cpu.as_nanos() as f64 / delivered.max(1) as f64,
            delivered: delivered as f64 / PACKETS as f64,
        };
        Ok(cost)
    }
}
