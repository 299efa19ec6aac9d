//! TCP connections between processes that carry sealed messages, each preceded by its length.

use std::net::SocketAddrV4;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use dillmill_wire::stream::MAX_STREAM_MESSAGE;
use dillmill_wire::{ClusterKey, StreamMessage};
use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use send_wrapper::SendWrapper;

use crate::{NodeError, Traffic, TrafficKind};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A TCP connection between two processes that carries sealed messages.
#[derive(Debug)]
pub struct Framed {
    /// Used only on the thread that created it. The wrapper is needed because messages that contain the
    /// connection must be `Send`.
    stream: SendWrapper<TcpStream>,
    key: ClusterKey,
    peer: String,
    /// Counters of the bytes sent, if they are counted.
    traffic: Option<Traffic>,
}

impl Framed {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, key: ClusterKey, peer: String) -> Self {
        Self { stream: SendWrapper::new(stream), key, peer, traffic: None }
    }

    /// Counts the bytes sent as traffic of this process.
    #[must_use]
    pub fn with_traffic(mut self, traffic: &Traffic) -> Self {
        self.traffic = Some(traffic.clone());
        self
    }

    /// Connects to a process.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not accepted within half a second.
    pub async fn connect(to: SocketAddrV4, key: ClusterKey) -> Result<Self, NodeError> {
        let connecting = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let stream = connecting
            .map_err(|_| NodeError::new("connect to", to, "no answer"))?
            .map_err(NodeError::io("connect to", to))?;
        let _ = stream.set_nodelay(true);
        Ok(Self::new(stream, key, to.to_string()))
    }

    /// Returns the address of the peer.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns a future that completes when the peer closes the connection.
    ///
    /// May only be used on a connection on which the peer sends nothing more.
    pub fn closed(&self) -> Shared<LocalBoxFuture<'static, ()>> {
        let mut stream = TcpStream::clone(&self.stream);
        let watch = async move {
            let BufResult(_, _) = stream.read(Vec::with_capacity(1)).await;
        };
        watch.boxed_local().shared()
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the message can't be encoded.
    pub async fn send(&mut self, message: &StreamMessage) -> Result<(), NodeError> {
        let sealed =
            self.key.seal(message).map_err(|e| NodeError::new("encode for", &self.peer, e))?;
        let len = u32::try_from(sealed.len())
            .map_err(|_| NodeError::new("encode for", &self.peer, "message too long"))?;
        let mut bytes = len.to_be_bytes().to_vec();
        bytes.extend_from_slice(&sealed);
        if let Some(traffic) = &self.traffic {
            traffic.sent_unqueued(TrafficKind::Stream, bytes.len());
        }
        let BufResult(outcome, _) = self.stream.write_all(bytes).await;
        outcome.map_err(NodeError::io("send to", &self.peer))
    }

    /// Receives a message.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or ends, if the message is too long, or if it has no valid
    /// authentication tag.
    pub async fn receive(&mut self) -> Result<StreamMessage, NodeError> {
        let BufResult(outcome, head) = self.stream.read_exact([0_u8; 4]).await;
        outcome.map_err(NodeError::io("receive from", &self.peer))?;
        let len = usize::try_from(u32::from_be_bytes(head)).unwrap_or(usize::MAX);
        if len > MAX_STREAM_MESSAGE {
            return Err(NodeError::new("receive from", &self.peer, "message too long"));
        }
        let BufResult(outcome, body) = self.stream.read_exact(vec![0; len]).await;
        outcome.map_err(NodeError::io("receive from", &self.peer))?;
        self.key.open(&body).map_err(|e| NodeError::new("receive from", &self.peer, e))
    }
}
