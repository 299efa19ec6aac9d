//! A TCP proxy on loopback that delays, silences, cuts and resets connections.

use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;

use crate::StandinError;

const CHUNK: usize = 16 * 1024;
const STALL: Duration = Duration::from_millis(20);

/// What the proxy does to all connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Passes everything on, this much later.
    Delay(Duration),
    /// Passes nothing on and says nothing.
    Silent,
    /// Passes requests on and keeps the answers back.
    OneWay,
    /// Closes every connection.
    Reset,
}

/// A running proxy; it ends when it is dropped.
pub struct FlowProxy {
    mode: Rc<Cell<ProxyMode>>,
    _task: JoinHandle<()>,
}

impl FlowProxy {
    /// Starts a proxy at `listen` before `to`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn spawn(listen: SocketAddrV4, to: SocketAddrV4) -> Result<Self, StandinError> {
        let step = format!("bind proxy {listen}");
        let listener = TcpListener::bind(listen).await.map_err(StandinError::at(step))?;
        let mode = Rc::new(Cell::new(ProxyMode::Pass));
        let task = compio::runtime::spawn(accept(listener, to, mode.clone()));
        Ok(Self { mode, _task: task })
    }

    /// Sets what happens to all connections from now on.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.set(mode);
    }
}

async fn accept(listener: TcpListener, to: SocketAddrV4, mode: Rc<Cell<ProxyMode>>) {
    loop {
        let Ok((inner, _)) = listener.accept().await else { continue };
        let mode = mode.clone();
        compio::runtime::spawn(async move {
            let Ok(outer) = TcpStream::connect(SocketAddr::V4(to)).await else { return };
            let back = pump(outer.clone(), inner.clone(), mode.clone(), true);
            let forth = pump(inner, outer, mode, false);
            futures_util::pin_mut!(back, forth);
            // Both streams close when either direction ends.
            futures_util::future::select(back, forth).await;
        })
        .detach();
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, mode: Rc<Cell<ProxyMode>>, answers: bool) {
    loop {
        let BufResult(outcome, buf) = from.read(Vec::with_capacity(CHUNK)).await;
        if outcome.is_err() || buf.is_empty() {
            return;
        }
        while mode.get() == ProxyMode::Silent || (answers && mode.get() == ProxyMode::OneWay) {
            compio::time::sleep(STALL).await;
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
