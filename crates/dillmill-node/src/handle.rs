//! How other tasks reach the control task.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::claims::RingMember;
use dillmill_core::membership::Draw;
use dillmill_core::placement::LoadReport;
use dillmill_core::{EventKind, ProcessId, ServiceName, VmName};
use dillmill_wire::{Ask, ClusterKey, HandedRequest, Message, Reply};
use rand::Rng;

use crate::control::Input;
use crate::logging;
use crate::{Clock, Framed, Metrics, NodeError, Views};

const ASK_AGAIN: Duration = Duration::from_millis(120);

/// Writes events into the log and the time line.
#[derive(Debug, Clone)]
pub struct Journal {
    pub(crate) tx: flume::Sender<Input>,
    pub(crate) clock: Clock,
    pub(crate) vm: VmName,
}

impl Journal {
    /// Records an event with its cause.
    pub fn record(&self, kind: EventKind, what: impl Into<String>, cause: impl Into<String>) {
        self.at_level(log::Level::Info, kind, what.into(), cause.into());
    }

    /// Records an event that is frequent, so that it is logged on `debug` only.
    pub fn detail(&self, kind: EventKind, what: impl Into<String>, cause: impl Into<String>) {
        self.at_level(log::Level::Debug, kind, what.into(), cause.into());
    }

    fn at_level(&self, level: log::Level, kind: EventKind, what: String, cause: String) {
        let now = self.clock.now();
        if log::log_enabled!(level) {
            let kind = kind.to_string();
            log::log!(
                level,
                "{}",
                logging::line(now, level, self.vm.as_str(), &kind, &what, &cause)
            );
        }
        let _ = self.tx.send(Input::Event { now, kind, what, cause });
    }
}

/// A question of another process that a role answers.
#[derive(Debug)]
pub struct Question {
    /// Who asks.
    pub from: SocketAddrV4,
    /// Number to repeat.
    pub id: u64,
    /// The service it is about.
    pub service: ServiceName,
    /// The question.
    pub ask: Ask,
}

/// A request that another agent hands over, with the connection for the answer.
#[derive(Debug)]
pub struct Handed {
    /// The request.
    pub request: HandedRequest,
    /// The connection.
    pub framed: Framed,
}

/// What a role takes from the control task besides views.
#[derive(Debug, Clone)]
pub struct Inlets {
    /// Questions of other agents.
    pub questions: flume::Sender<Question>,
    /// Load reports of siblings.
    pub loads: flume::Sender<(SocketAddrV4, LoadReport)>,
    /// Requests handed over.
    pub handed: flume::Sender<Handed>,
}

/// A handle on the control task.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    pub(crate) tx: flume::Sender<Input>,
    /// This run of the process.
    pub process: ProcessId,
    /// The process's clock.
    pub clock: Clock,
    /// The process's metrics.
    pub metrics: Metrics,
    /// The process's log and time line.
    pub journal: Journal,
    /// The installation's key.
    pub key: ClusterKey,
}

impl NodeHandle {
    /// Returns the present view and then newer ones, for one task.
    #[must_use]
    pub fn views(&self) -> Views {
        let (tx, views) = crate::views::views();
        let _ = self.tx.send(Input::Subscribe(tx));
        views
    }

    /// Sets where questions, load reports and handed-over requests go.
    pub fn set_inlets(&self, inlets: Inlets) {
        let _ = self.tx.send(Input::Inlets(inlets));
    }

    /// Sends a datagram to a process; it may be lost.
    pub fn send(&self, to: SocketAddrV4, message: Message) {
        let _ = self.tx.send(Input::Send { to, message });
    }

    /// Answers a question.
    pub fn reply(&self, question: &Question, reply: Reply) {
        self.send(question.from, Message::Reply { id: question.id, reply });
    }

    /// Asks an agent, again and again until it answers or `patience` is over.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn ask(
        &self,
        to: RingMember,
        service: &ServiceName,
        ask: Ask,
        patience: Duration,
    ) -> Result<Reply, NodeError> {
        // All tries have one number, so that a late answer to the first still counts.
        let id: u64 = rand::rng().random();
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Await { id, tx });
        let message = Message::Ask { id, to: to.process, service: service.clone(), ask };
        let mut left = patience;
        let mut wait = ASK_AGAIN;
        while !left.is_zero() {
            self.send(to.control, message.clone());
            let this = wait.min(left);
            if let Ok(Ok(reply)) = compio::time::timeout(this, rx.recv_async()).await {
                return Ok(reply);
            }
            left -= this;
            wait *= 2;
        }
        Err(NodeError::new("ask", to.control, "no answer"))
    }

    /// Says that this process takes no new work from now on.
    pub fn leave(&self) {
        let _ = self.tx.send(Input::Leave);
    }

    /// Says that this process takes new work from now on.
    pub fn serve(&self) {
        let _ = self.tx.send(Input::Serve);
    }

    /// Says that this process has stopped, and waits until that is sent.
    pub async fn stopped(&self) {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Stopped(tx));
        let _ = rx.recv_async().await;
    }
}

/// Draws a random index below `n`.
#[must_use]
pub fn draw_below(n: usize) -> usize {
    if n == 0 { 0 } else { rand::rng().random_range(0..n) }
}

/// Calls `f` with a source of random indices.
pub fn with_draw<T>(f: impl FnOnce(&mut Draw<'_>) -> T) -> T {
    f(&mut draw_below)
}
