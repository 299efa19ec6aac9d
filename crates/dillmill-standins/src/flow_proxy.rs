//! A TCP proxy on loopback that delays or silences connections, holds responses back, or closes connections.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;

use crate::StandinError;

const CHUNK: usize = 16 * 1024;
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that the proxy applies to all connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Forwards everything after this delay.
    Delay(Duration),
    /// Forwards nothing, and keeps connections open.
    Silent,
    /// Forwards requests and holds responses back.
    OneWay,
    /// Closes every connection.
    Reset,
}

/// State shared by all connections of a proxy.
#[derive(Debug, Default)]
struct ProxyState {
    mode: Cell<ProxyMode>,
    connections: RefCell<Vec<Weak<Connection>>>,
    /// Bytes discarded by silenced connections.
    discarded_bytes: Cell<usize>,
}

/// State of one connection.
#[derive(Debug)]
struct Connection {
    /// Whether the connection forwards nothing any more.
    silenced: Cell<bool>,
    last_used: Cell<Instant>,
}

/// A running proxy; it stops accepting connections when it is dropped.
pub struct FlowProxy {
    state: Rc<ProxyState>,
    _task: JoinHandle<()>,
}

impl FlowProxy {
    /// Starts a proxy that listens at `listen` and connects to `to`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn spawn(listen: SocketAddrV4, to: SocketAddrV4) -> Result<Self, StandinError> {
        let step = format!("bind proxy {listen}");
        let listener = TcpListener::bind(listen).await.map_err(StandinError::at(step))?;
        let state = Rc::new(ProxyState::default());
        let task = compio::runtime::spawn(accept(listener, to, state.clone()));
        Ok(Self { state, _task: task })
    }

    /// Sets the fault applied to all connections from now on.
    pub fn set(&self, mode: ProxyMode) {
        self.state.mode.set(mode);
    }

    /// Silences all open connections for good: they discard what they receive. New connections are not
    /// affected.
    pub fn silence_open_connections(&self) {
        self.silence_idle_connections(Duration::ZERO);
    }

    /// Silences the open connections that have carried nothing for `idle`, and returns how many these are.
    pub fn silence_idle_connections(&self, idle: Duration) -> usize {
        let mut connections = self.state.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let open = connections.iter().filter_map(Weak::upgrade);
        let silenced = open.filter(|connection| connection.last_used.get().elapsed() >= idle);
        silenced.map(|connection| connection.silenced.set(true)).count()
    }

    /// Returns the number of bytes that silenced connections have discarded.
    #[must_use]
    pub fn discarded_bytes(&self) -> usize {
        self.state.discarded_bytes.get()
    }
}

async fn accept(listener: TcpListener, to: SocketAddrV4, state: Rc<ProxyState>) {
    loop {
        let Ok((inner, _)) = listener.accept().await else { continue };
        let connection = Rc::new(Connection {
            silenced: Cell::new(false),
            last_used: Cell::new(Instant::now()),
        });
        state.connections.borrow_mut().push(Rc::downgrade(&connection));
        let state = state.clone();
        compio::runtime::spawn(async move {
            let Ok(outer) = TcpStream::connect(SocketAddr::V4(to)).await else { return };
            let responses = pump(outer.clone(), inner.clone(), &state, &connection, true);
            let requests = pump(inner, outer, &state, &connection, false);
            futures_util::pin_mut!(responses, requests);
            // Both streams close when either direction ends.
            futures_util::future::select(responses, requests).await;
        })
        .detach();
    }
}

/// Copies one direction of a connection, with the faults in force, until it ends or is reset.
async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &ProxyState,
    connection: &Connection,
    is_response: bool,
) {
    let mode = &state.mode;
    loop {
        let BufResult(outcome, buf) = from.read(Vec::with_capacity(CHUNK)).await;
        if outcome.is_err() || buf.is_empty() {
            return;
        }
        connection.last_used.set(Instant::now());
        if connection.silenced.get() {
            state.discarded_bytes.set(state.discarded_bytes.get() + buf.len());
            continue;
        }
        while mode.get() == ProxyMode::Silent || (is_response && mode.get() == ProxyMode::OneWay) {
            compio::time::sleep(HOLD_POLL_INTERVAL).await;
        }
        match mode.get() {
            ProxyMode::Reset => return,
            ProxyMode::Delay(by) => compio::time::sleep(by).await,
            ProxyMode::Pass | ProxyMode::Silent | ProxyMode::OneWay => {}
        }
        let BufResult(sent, _) = to.write_all(buf).await;
        if sent.is_err() {
            return;
        }
    }
}
