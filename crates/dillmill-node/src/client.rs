//! Client for a single request to a process over TCP.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_wire::{ClusterKey, StreamMessage};

use crate::{Framed, NodeError};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connects to the process at `to`, sends a request and returns the response.
///
/// # Errors
///
/// Fails if the process can't be reached or does not respond within two seconds.
pub async fn send_request(
    to: SocketAddrV4,
    key: &ClusterKey,
    request: &StreamMessage,
) -> Result<StreamMessage, NodeError> {
    exchange(Framed::connect(to, key.clone()).await?, request).await
}

/// Sends a request on a connection and returns the response.
///
/// # Errors
///
/// Fails if the process does not respond within two seconds.
pub async fn exchange(
    mut framed: Framed,
    request: &StreamMessage,
) -> Result<StreamMessage, NodeError> {
    let peer = framed.peer().to_owned();
    let exchange = async {
        framed.send(request).await?;
        framed.receive().await
    };
    compio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .map_err(|_| NodeError::new("ask", peer, "no answer"))?
}
