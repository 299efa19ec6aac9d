//! Helpers for datagram sockets, and streams of packets and ticks.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use dillmill_node::NodeError;
use futures_util::stream::{self, Stream};

/// Buffer size for one datagram: a packet of 1,234 bytes preceded by an envelope.
const MAX_DATAGRAM: usize = 2048;
/// Pause after a failed receive, so that a broken socket does not use a whole CPU core.
const ERROR_BACKOFF: Duration = Duration::from_millis(5);

/// Binds a datagram socket; `what` names the operation in the error.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn bind(what: &'static str, addr: SocketAddrV4) -> Result<UdpSocket, NodeError> {
    UdpSocket::bind(addr).await.map_err(NodeError::io(what, addr))
}

/// Returns a stream of the received datagrams that lasts as long as the process.
pub fn datagrams(socket: UdpSocket) -> impl Stream<Item = Vec<u8>> {
    stream::unfold(socket, |socket| async move {
        loop {
            let BufResult(outcome, buf) = socket.recv_from(Vec::with_capacity(MAX_DATAGRAM)).await;
            match outcome {
                Ok(_) => return Some((buf, socket)),
                // An earlier datagram was sent to a closed port, or the socket is out of memory: later
                // datagrams can still arrive.
                Err(_) => compio::time::sleep(ERROR_BACKOFF).await,
            }
        }
    })
}

/// Sends a datagram, and returns whether that succeeded. One that can't be sent counts as lost on the
/// network.
pub async fn send(socket: &UdpSocket, buf: Vec<u8>, to: SocketAddrV4) -> bool {
    let BufResult(outcome, _) = socket.send_to(buf, SocketAddr::V4(to)).await;
    outcome.is_ok()
}

/// Returns a stream that yields an item after each `interval`.
pub fn ticks(interval: Duration) -> impl Stream<Item = ()> {
    stream::unfold((), move |()| async move {
        compio::time::sleep(interval).await;
        Some(((), ()))
    })
}
