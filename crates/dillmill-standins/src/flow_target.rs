//! Stand-in for a target of packet flows: answers requests, returns packets of flows that it does not
//! hold, and sends heartbeats to its agent.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compio::buf::BufResult;
use compio::net::{TcpListener, UdpSocket};
use compio::runtime::JoinHandle;
use cyper::Client;
use dillmill_core::{FlowTuple, Segment, SegmentKind, ServiceName, StartTime, ZoneName};
use dillmill_platform::endpoint::TARGET_PATH;
use dillmill_platform::packet::{self, Sender};
use dillmill_platform::{Heartbeat, ProcessSettings, TargetState};
use rand::Rng;

use crate::StandinError;
use crate::target_capacity::TargetCapacity;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const MAX_DATAGRAM: usize = 2048;

#[derive(Debug)]
struct State {
    id: String,
    service: ServiceName,
    address: SocketAddrV4,
    zone: ZoneName,
    started: StartTime,
    announced: TargetState,
    /// Initial sequence number of each flow, as sent by this target.
    flows: HashMap<FlowTuple, u32>,
    opened: u64,
    returned_packets: u64,
    /// Executed requests: flow and sequence number of the first byte.
    executed: BTreeSet<(FlowTuple, u32)>,
    acknowledged: Option<TargetState>,
    capacity: TargetCapacity,
    /// Times at which the requests that take the slots end, in order.
    busy_until: VecDeque<Instant>,
    /// Requests that are not answered yet.
    unanswered: HashSet<(FlowTuple, u32)>,
}

/// Answer of a request that takes time.
struct Answer {
    due: Instant,
    request: (FlowTuple, u32),
    packet: Vec<u8>,
}

/// A running target; its tasks end when it is dropped.
pub struct FlowTarget {
    state: Rc<RefCell<State>>,
    tasks: [JoinHandle<()>; 4],
    socket: UdpSocket,
    health: TcpListener,
}

impl FlowTarget {
    /// Starts the target on the VM of the agent with `settings`; `id` names this run of the target. It
    /// takes flows at once, and sends its first heartbeat after `silence`.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be bound.
    pub async fn spawn(
        settings: &ProcessSettings,
        id: &str,
        silence: Duration,
        capacity: TargetCapacity,
    ) -> Result<Self, StandinError> {
        let step = format!("start target {id}");
        let app = settings.target.ok_or_else(|| missing_address(id))?;
        let socket = UdpSocket::bind(app).await.map_err(StandinError::at(step.clone()))?;
        let health = TcpListener::bind(app).await.map_err(StandinError::at(step))?;
        Self::run(settings, id, silence, capacity, (socket, health))
    }

    /// Ends this run of the target and starts another one as [`spawn`](Self::spawn) does.
    ///
    /// The new run takes over the bound sockets, and packets that arrive between the two runs. If the address
    /// were bound again, it could be in use: a process that another thread is starting holds copies of the
    /// closed sockets for a moment.
    ///
    /// # Errors
    ///
    /// Fails when the settings lack an address.
    pub async fn replace(
        self,
        settings: &ProcessSettings,
        id: &str,
        silence: Duration,
        capacity: TargetCapacity,
    ) -> Result<Self, StandinError> {
        for task in self.tasks {
            task.cancel().await;
        }
        Self::run(settings, id, silence, capacity, (self.socket, self.health))
    }

    fn run(
        settings: &ProcessSettings,
        id: &str,
        silence: Duration,
        capacity: TargetCapacity,
        (socket, health): (UdpSocket, TcpListener),
    ) -> Result<Self, StandinError> {
        let missing = || missing_address(id);
        let app = settings.target.ok_or_else(missing)?;
        let outbound = settings.from_target.ok_or_else(missing)?;
        let heartbeats = settings.heartbeats.ok_or_else(missing)?;
        let service = settings.service.clone().ok_or_else(missing)?;
        let state = Rc::new(RefCell::new(State {
            id: id.to_owned(),
            service,
            address: app,
            zone: settings.zone.clone(),
            started: now(),
            announced: TargetState::Ready,
            flows: HashMap::new(),
            opened: 0,
            returned_packets: 0,
            executed: BTreeSet::new(),
            acknowledged: None,
            capacity,
            busy_until: VecDeque::new(),
            unanswered: HashSet::new(),
        }));
        let outbound = SocketAddr::V4(outbound);
        let (tx, rx) = flume::unbounded();
        let packets = receive_packets(socket.clone(), outbound, state.clone(), tx);
        let answers = send_answers(socket.clone(), outbound, state.clone(), rx);
        let url = format!("http://{heartbeats}{TARGET_PATH}/{}", reported_id(id));
        let tasks = [
            compio::runtime::spawn(packets),
            compio::runtime::spawn(answers),
            compio::runtime::spawn(accept(health.clone())),
            compio::runtime::spawn(send_heartbeats(url, silence, state.clone())),
        ];
        Ok(Self { state, tasks, socket, health })
    }

    /// Reports with the next heartbeat that the target is leaving.
    pub fn drain(&self) {
        self.state.borrow_mut().announced = TargetState::Draining;
    }

    /// Returns whether its agent has acknowledged a heartbeat that reports it as ready.
    #[must_use]
    pub fn ready_acknowledged(&self) -> bool {
        self.state.borrow().acknowledged == Some(TargetState::Ready)
    }

    /// Returns whether its agent has acknowledged a heartbeat that reports it as leaving.
    #[must_use]
    pub fn drain_acknowledged(&self) -> bool {
        self.state.borrow().acknowledged == Some(TargetState::Draining)
    }

    /// Returns the number of packets returned because the target did not hold their flow.
    #[must_use]
    pub fn returned_packets(&self) -> u64 {
        self.state.borrow().returned_packets
    }

    /// Returns the executed requests, by flow and sequence number of the first byte.
    #[must_use]
    pub fn executed(&self) -> BTreeSet<(FlowTuple, u32)> {
        self.state.borrow().executed.clone()
    }

    /// Returns the number of handshakes that callers have completed with this target.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.state.borrow().opened
    }
}

fn missing_address(id: &str) -> StandinError {
    StandinError::new(format!("start target {id}"), "the settings lack an address")
}

/// Returns the id that a run reports in heartbeats: runs `vm/n` with an even number reuse the old id, the
/// name of the VM.
fn reported_id(run: &str) -> String {
    match run.split_once('/') {
        Some((vm, n)) if n.parse().is_ok_and(|n: u64| n.is_multiple_of(2)) => vm.to_owned(),
        Some((vm, n)) => format!("{vm}-run-{n}"),
        None => run.to_owned(),
    }
}

fn now() -> StartTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    StartTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Accepts connections, as a target does for health checks; no requests are sent on them here.
async fn accept(health: TcpListener) {
    loop {
        // A failed accept is treated as a connection that was closed at once.
        let _ = health.accept().await;
    }
}

async fn receive_packets(
    socket: UdpSocket,
    outbound: SocketAddr,
    state: Rc<RefCell<State>>,
    answers: flume::Sender<Answer>,
) {
    loop {
        let BufResult(outcome, buf) = socket.recv_from(Vec::with_capacity(MAX_DATAGRAM)).await;
        if outcome.is_err() {
            continue;
        }
        let Some(packet) = state.borrow_mut().handle_packet(buf, &answers) else { continue };
        // A datagram that can't be sent counts as lost.
        let BufResult(_, _) = socket.send_to(packet, outbound).await;
    }
}

/// Sends the answers of requests that take time, when they are due.
async fn send_answers(
    socket: UdpSocket,
    outbound: SocketAddr,
    state: Rc<RefCell<State>>,
    answers: flume::Receiver<Answer>,
) {
    while let Ok(Answer { due, request, packet }) = answers.recv_async().await {
        compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        state.borrow_mut().unanswered.remove(&request);
        // A datagram that can't be sent counts as lost.
        let BufResult(_, _) = socket.send_to(packet, outbound).await;
    }
}

impl State {
    /// Returns the time at which a request that arrives now ends. Requests take the slots in order of arrival.
    fn take_slot(&mut self) -> Instant {
        let slots = usize::from(self.capacity.slots);
        let free = if self.busy_until.len() < slots { None } else { self.busy_until.pop_front() };
        let start = free.map_or_else(Instant::now, |at| at.max(Instant::now()));
        let end = start + self.capacity.service_time;
        self.busy_until.push_back(end);
        end
    }

    /// Processes a packet from a caller and returns the packet to send, if any.
    fn handle_packet(
        &mut self,
        mut buf: Vec<u8>,
        answers: &flume::Sender<Answer>,
    ) -> Option<Vec<u8>> {
        let seg = packet::decode(&buf, Sender::Caller).ok()?;
        let held = self.flows.get(&seg.flow).copied();
        match (seg.kind, held) {
            (SegmentKind::Open { .. }, known) => {
                let initial_seq = known.unwrap_or_else(|| rand::rng().random());
                self.flows.insert(seg.flow, initial_seq);
                Some(answer(&seg, SegmentKind::Accept, initial_seq, seg.seq.wrapping_add(1), b""))
            }
            (SegmentKind::Data, Some(initial_seq)) if seg.len > 0 => {
                let request = (seg.flow, seg.seq);
                let copy = !self.executed.insert(request);
                let ack = seg.seq.wrapping_add(u32::from(seg.len));
                let seq = seg.ack.max(initial_seq);
                let packet = answer(&seg, SegmentKind::Data, seq, ack, self.id.as_bytes());
                if copy && self.unanswered.contains(&request) {
                    return None;
                }
                if copy || self.capacity.service_time.is_zero() {
                    return Some(packet);
                }
                self.unanswered.insert(request);
                // Fails only if this run of the target has ended.
                let _ = answers.send(Answer { due: self.take_slot(), request, packet });
                None
            }
            (SegmentKind::Data, Some(_)) => {
                self.opened += 1;
                None
            }
            (SegmentKind::Finish | SegmentKind::Reset, Some(_)) => {
                self.flows.remove(&seg.flow);
                None
            }
            (_, None) => {
                self.returned_packets += 1;
                packet::mark_returned(&mut buf);
                Some(buf)
            }
            (SegmentKind::Accept, Some(_)) => None,
        }
    }
}

fn answer(seg: &Segment, kind: SegmentKind, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
    let seg = Segment { kind, seq, ack, ..*seg };
    packet::encode(&seg, Sender::Target, data)
}

async fn send_heartbeats(url: String, silence: Duration, state: Rc<RefCell<State>>) {
    let Ok(client) = Client::new() else { return };
    compio::time::sleep(silence).await;
    for number in 1.. {
        let heartbeat = {
            let state = state.borrow();
            Heartbeat {
                service: state.service.clone(),
                address: state.address,
                zone: state.zone.clone(),
                version: "v1".to_owned(),
                slots: state.capacity.slots,
                state: state.announced,
                cold_ms: 0,
                number,
                started: Some(state.started),
            }
        };
        let sent = client.put(&url).and_then(|req| req.json(&heartbeat));
        if let Ok(req) = sent
            && let Ok(Ok(res)) = compio::time::timeout(HEARTBEAT_INTERVAL * 5, req.send()).await
            && res.status().is_success()
        {
            state.borrow_mut().acknowledged = Some(heartbeat.state);
        }
        compio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
