//! Runs HTTP servers and sleeps in their handlers, for all HTTP stand-ins.

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

/// Sleeps in a request handler. Axum requires `Send` futures; the wrapper is sound because a stand-in runs
/// everything on one thread.
pub async fn pause(span: Duration) {
    SendWrapper::new(compio::time::sleep(span)).await;
}
