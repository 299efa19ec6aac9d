//! Datagram sockets as streams of packets.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use dillmill_node::NodeError;
use futures_util::stream::{self, Stream};

/// Room for one datagram: a packet of 1,234 bytes behind an envelope.
const MAX_DATAGRAM: usize = 2048;
/// Wait after a socket has failed, so that a broken one does not take the whole processor.
const ERROR_BACKOFF: Duration = Duration::from_millis(5);

/// Binds a datagram socket.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn bind(what: &'static str, addr: SocketAddrV4) -> Result<UdpSocket, NodeError> {
    UdpSocket::bind(addr).await.map_err(NodeError::io(what, addr))
}

/// Returns the datagrams that come in, for as long as the process lives.
pub fn datagrams(socket: UdpSocket) -> impl Stream<Item = Vec<u8>> {
    stream::unfold(socket, |socket| async move {
        loop {
            let BufResult(outcome, buf) = socket.recv_from(Vec::with_capacity(MAX_DATAGRAM)).await;
            match outcome {
                Ok(_) => return Some((buf, socket)),
                // An earlier datagram met a closed port, or the socket is out of memory: the next
                // one may come all the same.
                Err(_) => compio::time::sleep(ERROR_BACKOFF).await,
            }
        }
    })
}

/// Sends a datagram; one that can't be sent is as one that was lost on the way.
pub async fn send(socket: &UdpSocket, buf: Vec<u8>, to: SocketAddrV4) -> bool {
    let BufResult(outcome, _) = socket.send_to(buf, SocketAddr::V4(to)).await;
    outcome.is_ok()
}

/// Returns an item every `interval`.
pub fn ticks(interval: Duration) -> impl Stream<Item = ()> {
    stream::unfold((), move |()| async move {
        compio::time::sleep(interval).await;
        Some(((), ()))
    })
}
