//! What the HTTP stand-ins have in common.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use compio::net::TcpListener;
use send_wrapper::SendWrapper;

use crate::StandinError;

/// Serves `router` on `addr` until the process ends.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn serve_until_exit(addr: SocketAddr, router: Router) -> Result<(), StandinError> {
    let listener =
        TcpListener::bind(addr).await.map_err(StandinError::at(format!("bind {addr}")))?;
    cyper_axum::serve(listener, router).await.map_err(StandinError::at(format!("serve {addr}")))
}

/// Sleeps in a handler: axum wants `Send` futures, and everything here runs on one thread.
pub async fn pause(span: Duration) {
    SendWrapper::new(compio::time::sleep(span)).await;
}
