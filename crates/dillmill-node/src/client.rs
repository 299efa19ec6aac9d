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
pub async fn ask(
    to: SocketAddrV4,
    key: &ClusterKey,
    question: &StreamMessage,
) -> Result<StreamMessage, NodeError> {
    let mut framed = Framed::connect(to, key.clone()).await?;
    let exchange = async {
        framed.send(question).await?;
        framed.receive().await
    };
    compio::time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .map_err(|_| NodeError::new("ask", to, "no answer"))?
}
