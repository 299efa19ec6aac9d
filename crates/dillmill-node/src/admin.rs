//! Serves the administration page of a process over HTTP, on loopback unless set otherwise.

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::routing::get;
use axum::{Json, Router};
use compio::net::TcpListener;
use dillmill_core::MemberStatus;
use dillmill_wire::StreamMessage;

use crate::NodeHandle;
use crate::control::Input;

/// Serves `/health`, `/metrics`, `/status`, `/members` and `/events` until the process ends.
pub(crate) async fn serve(listener: TcpListener, handle: NodeHandle) {
    let router = Router::new()
        .route("/health", get(health))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/members", get(members))
        .route("/events", get(events))
        .with_state(handle);
    let _ = cyper_axum::serve(listener, router).await;
}

async fn query_control(handle: &NodeHandle, message: StreamMessage) -> Option<StreamMessage> {
    let (tx, rx) = flume::bounded(1);
    handle.tx.send(Input::Stream { message, tx }).ok()?;
    rx.recv_async().await.ok()
}

/// Responds 200 while the process accepts new work and has settings in force, otherwise 503.
async fn health(State(handle): State<NodeHandle>) -> impl IntoResponse {
    match query_control(&handle, StreamMessage::GetStatus).await {
        Some(StreamMessage::Status(status)) if status.revision.0 == 0 => {
            (StatusCode::SERVICE_UNAVAILABLE, "no settings in force\n")
        }
        Some(StreamMessage::Status(status)) if status.member.status == MemberStatus::Serving => {
            (StatusCode::OK, "ok\n")
        }
        _ => (StatusCode::SERVICE_UNAVAILABLE, "takes no new work\n"),
    }
}

async fn metrics(State(handle): State<NodeHandle>) -> String {
    handle.metrics.render()
}

async fn status(State(handle): State<NodeHandle>) -> impl IntoResponse {
    match query_control(&handle, StreamMessage::GetStatus).await {
        Some(StreamMessage::Status(status)) => Json(status).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn members(State(handle): State<NodeHandle>) -> impl IntoResponse {
    match query_control(&handle, StreamMessage::GetMembers).await {
        Some(StreamMessage::Members(members)) => Json(members).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn events(State(handle): State<NodeHandle>) -> impl IntoResponse {
    match query_control(&handle, StreamMessage::GetEvents).await {
        Some(StreamMessage::Events { events, .. }) => Json(events).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
