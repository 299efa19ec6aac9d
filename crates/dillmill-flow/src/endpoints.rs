//! Serves the HTTP addresses on which the platform and targets call a process.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use compio::net::TcpListener;
use dillmill_node::NodeError;
use dillmill_platform::{EndpointCall, endpoint};

/// Serves HTTP on `addrs`, and returns the channel on which the calls arrive.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub async fn serve(
    addrs: impl IntoIterator<Item = SocketAddrV4>,
) -> Result<flume::Receiver<EndpointCall>, NodeError> {
    let (tx, rx) = flume::unbounded();
    let addrs: BTreeSet<SocketAddrV4> = addrs.into_iter().collect();
    for addr in addrs {
        let listener =
            TcpListener::bind(addr).await.map_err(NodeError::io("bind endpoint", addr))?;
        let router = endpoint::router(tx.clone());
        compio::runtime::spawn(async move {
            // Ends only with the process: the server retries accept errors itself.
            let _ = cyper_axum::serve(listener, router).await;
        })
        .detach();
    }
    Ok(rx)
}
