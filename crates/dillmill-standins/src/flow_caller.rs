//! Stand-in for callers of packet flows: opens flows, sends requests and retransmits them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use dillmill_core::{FlowTuple, Segment, SegmentKind};
use dillmill_platform::packet::{self, HEADER_LEN, Sender};
use rand::Rng;

use crate::StandinError;
use crate::flow_router::FlowRouter;

const MAX_DATAGRAM: usize = 2048;
const FIRST_PORT: u16 = 1024;
/// Time after each copy of an opening packet until the next copy is sent or the caller gives up.
const OPEN_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(800)];
/// Time in milliseconds after each copy of a request until the next copy is sent or the caller gives up.
const REQUEST_TIMEOUTS_MS: [u64; 6] = [200, 200, 400, 800, 1600, 1600];

type Inbox = flume::Sender<(Segment, Vec<u8>)>;

/// Reason why a flow failed for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowError {
    /// A reset arrived.
    Reset,
    /// No answer arrived before the caller gave up.
    Silent,
}

/// A host from which callers open flows; its receiving task ends when it is dropped.
pub struct FlowCaller {
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Rc<FlowRouter>,
    inboxes: Rc<RefCell<HashMap<FlowTuple, Inbox>>>,
    next_port: Cell<u16>,
    _task: JoinHandle<()>,
}

impl FlowCaller {
    /// Binds the host's address; `port` is the port of the balancers' packets.
    ///
    /// # Errors
    ///
    /// Fails when it can't be bound.
    pub async fn spawn(
        ip: Ipv4Addr,
        port: u16,
        router: Rc<FlowRouter>,
    ) -> Result<Self, StandinError> {
        let addr = SocketAddrV4::new(ip, port);
        let socket =
            UdpSocket::bind(addr).await.map_err(StandinError::at(format!("bind caller {addr}")))?;
        let inboxes: Rc<RefCell<HashMap<FlowTuple, Inbox>>> = Rc::default();
        let task = compio::runtime::spawn(receive_packets(socket.clone(), inboxes.clone()));
        let next_port = Cell::new(FIRST_PORT);
        Ok(Self { ip, socket, router, inboxes, next_port, _task: task })
    }

    /// Uses the ports of earlier flows again from now on.
    pub fn restart_ports(&self) {
        self.next_port.set(FIRST_PORT);
    }

    /// Opens a flow to `route`.
    ///
    /// # Errors
    ///
    /// Fails if the flow is reset or nothing arrives for the opening packets.
    pub async fn open(&self, route: SocketAddrV4) -> Result<OpenFlow<'_>, FlowError> {
        let port = self.next_port.get();
        self.next_port.set(port + 1);
        let flow = FlowTuple::new(SocketAddrV4::new(self.ip, port), route);
        let (tx, rx) = flume::unbounded();
        self.inboxes.borrow_mut().insert(flow, tx);
        let initial_seq: u32 = rand::rng().random();
        for (copies, wait) in (0..).zip(OPEN_TIMEOUTS) {
            let kind = SegmentKind::Open { copies };
            self.send(
                &Segment { flow, kind, seq: initial_seq, ack: copies, ..data_segment(flow) },
                b"",
            )
            .await;
            let Ok(Ok((seg, _))) = compio::time::timeout(wait, rx.recv_async()).await else {
                continue;
            };
            if seg.kind == SegmentKind::Reset {
                return Err(FlowError::Reset);
            }
            let (seq, ack) = (initial_seq.wrapping_add(1), seg.seq.wrapping_add(1));
            let open = OpenFlow { caller: self, flow, rx, seq, ack };
            self.send(&Segment { seq, ack, ..data_segment(flow) }, b"").await;
            return Ok(open);
        }
        Err(FlowError::Silent)
    }

    async fn send(&self, seg: &Segment, data: &[u8]) {
        let buf = packet::encode(seg, Sender::Caller, data);
        self.router.send(&self.socket, &seg.flow, buf).await;
    }
}

fn data_segment(flow: FlowTuple) -> Segment {
    Segment { flow, kind: SegmentKind::Data, seq: 0, ack: 0, len: 0, returned: false, mark: 0 }
}

async fn receive_packets(socket: UdpSocket, inboxes: Rc<RefCell<HashMap<FlowTuple, Inbox>>>) {
    loop {
        let BufResult(outcome, buf) = socket.recv_from(Vec::with_capacity(MAX_DATAGRAM)).await;
        if outcome.is_err() {
            continue;
        }
        let Ok(seg) = packet::decode(&buf, Sender::Target) else { continue };
        if let Some(tx) = inboxes.borrow().get(&seg.flow) {
            // Fails only if the flow was dropped in the meantime.
            let _ = tx.send((seg, buf[HEADER_LEN..].to_vec()));
        }
    }
}

/// An open flow.
pub struct OpenFlow<'a> {
    caller: &'a FlowCaller,
    flow: FlowTuple,
    rx: flume::Receiver<(Segment, Vec<u8>)>,
    seq: u32,
    ack: u32,
}

impl OpenFlow<'_> {
    /// Sends a request and returns the name of the target that answered.
    ///
    /// # Errors
    ///
    /// Fails if the flow is reset or no answer arrives.
    pub async fn request(&mut self) -> Result<String, FlowError> {
        const REQUEST: &[u8] = b"who are you?";
        for wait in REQUEST_TIMEOUTS_MS {
            let seg = Segment { seq: self.seq, ack: self.ack, ..data_segment(self.flow) };
            self.caller.send(&seg, REQUEST).await;
            let wait = Duration::from_millis(wait);
            if let Ok(end) = compio::time::timeout(wait, self.answer()).await {
                return end;
            }
        }
        Err(FlowError::Silent)
    }

    /// Returns whether a reset arrives within `limit` without a request being sent.
    pub async fn reset_within(&mut self, limit: Duration) -> bool {
        let wait = async {
            while let Ok((seg, _)) = self.rx.recv_async().await {
                if seg.kind == SegmentKind::Reset {
                    return;
                }
            }
        };
        compio::time::timeout(limit, wait).await.is_ok()
    }

    async fn answer(&mut self) -> Result<String, FlowError> {
        let expected = self.seq.wrapping_add(12);
        while let Ok((seg, data)) = self.rx.recv_async().await {
            match seg.kind {
                SegmentKind::Reset => return Err(FlowError::Reset),
                // Late copies of answers to earlier requests acknowledge other bytes and are ignored.
                SegmentKind::Data if seg.ack == expected => {
                    self.seq = expected;
                    self.ack = seg.seq.wrapping_add(u32::from(seg.len));
                    return Ok(String::from_utf8_lossy(&data).into_owned());
                }
                _ => {}
            }
        }
        Err(FlowError::Silent)
    }
}
