//! One question to one process over TCP.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_wire::{ClusterKey, StreamMessage};

use crate::{Framed, NodeError};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks the process at `to` and returns its answer.
///
/// # Errors
///
/// Fails when the process can't be reached or does not answer within two seconds.
pub async fn send_request(
    to: SocketAddrV4,
    key: &ClusterKey,
    question: &StreamMessage,
) -> Result<StreamMessage, NodeError> {
    exchange(Framed::connect(to, key.clone()).await?, question).await
}

/// Asks the process at the other end of a connection and returns its answer.
///
/// # Errors
///
/// Fails when the process does not answer within two seconds.
pub async fn exchange(
    mut framed: Framed,
    question: &StreamMessage,
) -> Result<StreamMessage, NodeError> {
    let peer = framed.peer().to_owned();
    let exchange = async {
        framed.send(question).await?;
        framed.receive().await
    };
    compio::time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .map_err(|_| NodeError::new("ask", peer, "no answer"))?
}
