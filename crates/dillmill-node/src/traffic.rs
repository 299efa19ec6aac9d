//! Counts the bytes on the VM's link by kind of content.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dillmill_core::link_queue::wire_bytes;
use dillmill_core::membership::Probe;
use dillmill_wire::{FlowMessage, Message};
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

use crate::NodeError;

/// Kind of content of a datagram or of a message on a stream; a label of the traffic metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficKind {
    /// Membership probes and their answers.
    Probe,
    /// Member records: gossiped ones, which are new to the sender, and samples for newcomers.
    Members,
    /// Load reports of agents and requests for them.
    Load,
    /// Messages that tell which agent owns a flow, or that no agent holds or accepts it.
    Owner,
    /// Directory records of flows.
    Directory,
    /// Changes of settings, and evacuation orders.
    Settings,
    /// Requests and replies between agents of HTTP/3 services, such as claims.
    Claim,
    /// Messages on TCP connections between processes.
    Stream,
    /// Packets that open a flow.
    Opening,
    /// Packets of open flows that carry data.
    Data,
    /// Packets of open flows without data.
    Acknowledgement,
    /// Packets forwarded in search of the flow's owner.
    Search,
    /// Resets that dillmill itself generates.
    Reset,
}

impl TrafficKind {
    const ALL: [Self; 13] = [
        Self::Probe,
        Self::Members,
        Self::Load,
        Self::Owner,
        Self::Directory,
        Self::Settings,
        Self::Claim,
        Self::Stream,
        Self::Opening,
        Self::Data,
        Self::Acknowledgement,
        Self::Search,
        Self::Reset,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Members => "members",
            Self::Load => "load",
            Self::Owner => "owner",
            Self::Directory => "directory",
            Self::Settings => "settings",
            Self::Claim => "claim",
            Self::Stream => "stream",
            Self::Opening => "opening",
            Self::Data => "data",
            Self::Acknowledgement => "acknowledgement",
            Self::Search => "search",
            Self::Reset => "reset",
        }
    }
}

impl From<&Message> for TrafficKind {
    fn from(message: &Message) -> Self {
        match message {
            Message::Probe(Probe::Records(_) | Probe::Sample(_)) => Self::Members,
            Message::Probe(_) => Self::Probe,
            Message::Load(_)
            | Message::Flow(FlowMessage::AskLoad | FlowMessage::LoadExchange { .. }) => Self::Load,
            Message::Flow(
                FlowMessage::Records { .. }
                | FlowMessage::RecordsAck { .. }
                | FlowMessage::AskRecords { .. }
                | FlowMessage::RecordsComplete { .. },
            ) => Self::Directory,
            Message::Flow(_) => Self::Owner,
            Message::Pull { .. }
            | Message::Changes(_)
            | Message::Evacuations(_)
            | Message::Confirmation(_) => Self::Settings,
            Message::PeerRequest { .. } | Message::Reply { .. } => Self::Claim,
        }
    }
}

/// Counters of the bytes that a process sends and receives, including the headers of datagrams.
#[derive(Debug, Clone)]
pub struct Traffic {
    sent: Vec<IntCounter>,
    received: Vec<IntCounter>,
    unqueued: Arc<AtomicU64>,
}

impl Traffic {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Fails if a metric's name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, NodeError> {
        let counters = |name: &str, help: &str| {
            let error = |e: prometheus::Error| NodeError::new("register metric", name, e);
            let family = IntCounterVec::new(Opts::new(name, help), &["kind"]).map_err(error)?;
            registry.register(Box::new(family.clone())).map_err(error)?;
            Ok::<_, NodeError>(
                TrafficKind::ALL.map(|kind| family.with_label_values(&[kind.label()])).to_vec(),
            )
        };
        Ok(Self {
            sent: counters("dillmill_link_sent_bytes", "Bytes sent by what they carry")?,
            received: counters(
                "dillmill_link_received_bytes",
                "Bytes received by what they carry",
            )?,
            unqueued: Arc::default(),
        })
    }

    /// Counts a datagram of `len` bytes that was sent through the link queue.
    pub fn sent(&self, kind: TrafficKind, len: usize) {
        self.sent[kind as usize].inc_by(bytes(len));
    }

    /// Counts a datagram of `len` bytes that was sent at once, bypassing the link queue.
    pub fn sent_unqueued(&self, kind: TrafficKind, len: usize) {
        self.sent(kind, len);
        self.unqueued.fetch_add(bytes(len), Ordering::Relaxed);
    }

    /// Returns the bytes sent past the link queue since the start, so that the queue can allow for them.
    #[must_use]
    pub fn unqueued_bytes(&self) -> u64 {
        self.unqueued.load(Ordering::Relaxed)
    }

    /// Counts a datagram of `len` bytes that was received.
    pub fn received(&self, kind: TrafficKind, len: usize) {
        self.received[kind as usize].inc_by(bytes(len));
    }
}

fn bytes(len: usize) -> u64 {
    u64::try_from(wire_bytes(len)).unwrap_or(0)
}
