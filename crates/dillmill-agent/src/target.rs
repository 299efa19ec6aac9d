//! Sends requests to the target beside the agent.

use std::net::SocketAddrV4;
use std::time::Duration;

use cyper::{Client, Response, redirect};
use dillmill_core::Timestamp;
use dillmill_node::NodeError;
use http::StatusCode;

use crate::request::{DEADLINE_HEADER, GROUP_HEADER, Request};

const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason for which there is no complete answer from the target.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// Nothing was sent, so the request was not run.
    #[error("the target can't be reached: {0}")]
    NotSent(String),
    /// The target answered 503, so it did not run the request; the time is when to retry.
    #[error("the target sheds load")]
    Shed(Duration),
    /// The request was sent and no complete answer came, so it may have run.
    #[error("the target's answer broke off: {0}")]
    Broken(String),
}

/// A client of the target.
#[derive(Debug, Clone)]
pub struct Target {
    client: Client,
    addr: SocketAddrV4,
}

impl Target {
    /// Creates a client of the target at `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(addr: SocketAddrV4) -> Result<Self, NodeError> {
        let client = Client::builder()
            .redirect(redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(|e| NodeError::new("create a client of", addr, e))?;
        Ok(Self { client, addr })
    }

    /// Returns the target's address.
    #[must_use]
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Sends a request and returns the answer, of which only the head has arrived.
    ///
    /// Dropping the future or the response closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the target may have run the request.
    pub async fn send(&self, req: &Request, now: Timestamp) -> Result<Response, TargetError> {
        let url = format!("http://{}{}", self.addr, req.path);
        let not_sent = |e: cyper::Error| TargetError::NotSent(e.to_string());
        let mut builder = self.client.request(req.method.clone(), url).map_err(not_sent)?;
        for (name, value) in &req.headers {
            builder = builder.header(name.as_str(), value.as_slice()).map_err(not_sent)?;
        }
        let remaining = req.deadline.since(now).as_millis().to_string();
        let response = builder
            .header(DEADLINE_HEADER, remaining)
            .map_err(not_sent)?
            .header(GROUP_HEADER, req.group.as_str())
            .map_err(not_sent)?
            .body(req.body.clone())
            .send()
            .await
            .map_err(|e| send_error(&e))?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(TargetError::Shed(retry_after(&response)));
        }
        Ok(response)
    }
}

fn send_error(e: &cyper::Error) -> TargetError {
    match e {
        cyper::Error::HyperClient(inner) if inner.is_connect() => {
            TargetError::NotSent(e.to_string())
        }
        _ => TargetError::Broken(e.to_string()),
    }
}

fn retry_after(response: &Response) -> Duration {
    response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(SHED_RETRY_AFTER, Duration::from_secs)
}
