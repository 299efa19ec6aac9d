//! A target of packet flows: answers requests, gives back what it does not hold, sends heartbeats.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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

const HEARTBEAT_EVERY: Duration = Duration::from_millis(200);
const MAX_DATAGRAM: usize = 2048;

#[derive(Debug)]
struct State {
    id: String,
    service: ServiceName,
    address: SocketAddrV4,
    zone: ZoneName,
    started: StartTime,
    says: TargetState,
    /// The number with which each flow began here.
    flows: HashMap<FlowTuple, u32>,
    opened: u64,
    given_back: u64,
    /// Requests that it has run: flow and number of the first byte.
    ran: BTreeSet<(FlowTuple, u32)>,
    acknowledged: Option<TargetState>,
}

/// A running target; it ends when it is dropped.
pub struct FlowTarget {
    state: Rc<RefCell<State>>,
    _tasks: [JoinHandle<()>; 3],
}

impl FlowTarget {
    /// Starts the target beside the agent with `settings`; `id` names this run of it. It takes flows at once, and
    /// sends its first heartbeat after `silence`.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be bound.
    pub async fn spawn(
        settings: &ProcessSettings,
        id: &str,
        silence: Duration,
    ) -> Result<Self, StandinError> {
        let step = format!("start target {id}");
        let missing = || StandinError::new(step.clone(), "the settings lack an address");
        let app = settings.target.ok_or_else(missing)?;
        let outbound = settings.from_target.ok_or_else(missing)?;
        let heartbeats = settings.heartbeats.ok_or_else(missing)?;
        let service = settings.service.clone().ok_or_else(missing)?;
        let socket = UdpSocket::bind(app).await.map_err(StandinError::at(step.clone()))?;
        let health = TcpListener::bind(app).await.map_err(StandinError::at(step))?;
        let state = Rc::new(RefCell::new(State {
            id: id.to_owned(),
            service,
            address: app,
            zone: settings.zone.clone(),
            started: now(),
            says: TargetState::Ready,
            flows: HashMap::new(),
            opened: 0,
            given_back: 0,
            ran: BTreeSet::new(),
            acknowledged: None,
        }));
        let packets = take_packets(socket, SocketAddr::V4(outbound), state.clone());
        let url = format!("http://{heartbeats}{TARGET_PATH}/{}", spoken_id(id));
        let tasks = [
            compio::runtime::spawn(packets),
            compio::runtime::spawn(accept(health)),
            compio::runtime::spawn(send_heartbeats(url, silence, state.clone())),
        ];
        Ok(Self { state, _tasks: tasks })
    }

    /// Says with the next heartbeat that it leaves.
    pub fn drain(&self) {
        self.state.borrow_mut().says = TargetState::Draining;
    }

    /// Returns whether its agent has acknowledged that it leaves.
    #[must_use]
    pub fn drain_acknowledged(&self) -> bool {
        self.state.borrow().acknowledged == Some(TargetState::Draining)
    }

    /// Returns the number of packets of flows that it did not hold.
    #[must_use]
    pub fn given_back(&self) -> u64 {
        self.state.borrow().given_back
    }

    /// Returns the requests that it has run, by flow and number of the first byte.
    #[must_use]
    pub fn ran(&self) -> BTreeSet<(FlowTuple, u32)> {
        self.state.borrow().ran.clone()
    }

    /// Returns the number of flows that callers have opened here.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.state.borrow().opened
    }
}

/// Returns the id by which a run speaks: every second run of `vm/run` goes by the old id, its VM's name.
fn spoken_id(run: &str) -> String {
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

/// Accepts connections, as a target does for its health checks; nothing is asked on them here.
async fn accept(health: TcpListener) {
    loop {
        // One that fails is as one that was closed at once.
        let _ = health.accept().await;
    }
}

async fn take_packets(socket: UdpSocket, outbound: SocketAddr, state: Rc<RefCell<State>>) {
    loop {
        let BufResult(outcome, buf) = socket.recv_from(Vec::with_capacity(MAX_DATAGRAM)).await;
        if outcome.is_err() {
            continue;
        }
        let Some(answer) = state.borrow_mut().take(buf) else { continue };
        // A datagram that can't be sent is as one that was lost.
        let BufResult(_, _) = socket.send_to(answer, outbound).await;
    }
}

impl State {
    /// Takes a packet and returns the one to send, if any.
    fn take(&mut self, mut buf: Vec<u8>) -> Option<Vec<u8>> {
        let seg = packet::decode(&buf, Sender::Caller).ok()?;
        let held = self.flows.get(&seg.flow).copied();
        match (seg.kind, held) {
            (SegmentKind::Open { .. }, known) => {
                let began = known.unwrap_or_else(|| rand::rng().random());
                self.flows.insert(seg.flow, began);
                Some(answer(&seg, SegmentKind::Accept, began, seg.seq.wrapping_add(1), b""))
            }
            (SegmentKind::Data, Some(began)) if seg.len > 0 => {
                self.ran.insert((seg.flow, seg.seq));
                let ack = seg.seq.wrapping_add(u32::from(seg.len));
                Some(answer(&seg, SegmentKind::Data, seg.ack.max(began), ack, self.id.as_bytes()))
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
                self.given_back += 1;
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
                slots: 5,
                state: state.says,
                cold_ms: 0,
                number,
                started: Some(state.started),
            }
        };
        let sent = client.put(&url).and_then(|req| req.json(&heartbeat));
        if let Ok(req) = sent
            && let Ok(Ok(res)) = compio::time::timeout(HEARTBEAT_EVERY * 5, req.send()).await
            && res.status().is_success()
        {
            state.borrow_mut().acknowledged = Some(heartbeat.state);
        }
        compio::time::sleep(HEARTBEAT_EVERY).await;
    }
}
