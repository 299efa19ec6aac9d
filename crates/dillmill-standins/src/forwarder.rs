//! A minimal UDP forwarder on compio: the baseline for the cost of a balancer.

use std::net::SocketAddr;

use compio::buf::BufResult;
use compio::net::UdpSocket;

use crate::StandinError;

const MAX_DATAGRAM: usize = 64 * 1024;

/// Forwards each datagram received on `listen` to `to`, until the process ends.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub async fn run(listen: SocketAddr, to: SocketAddr) -> Result<(), StandinError> {
    let bind = async |addr: SocketAddr| {
        UdpSocket::bind(addr).await.map_err(StandinError::at(format!("bind {addr}")))
    };
    let receiver = bind(listen).await?;
    let sender = bind(SocketAddr::new(listen.ip(), 0)).await?;
    let mut buf = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buf.clear();
        let BufResult(outcome, filled) = receiver.recv_from(buf).await;
        buf = filled;
        if outcome.is_ok() {
            let BufResult(_, sent) = sender.send_to(buf, to).await;
            buf = sent;
        }
    }
}
