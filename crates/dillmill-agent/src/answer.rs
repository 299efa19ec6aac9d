//! Outcomes of requests, and the streams that carry them to a caller or to another agent.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillmill_node::{Framed, NodeError};
use dillmill_wire::{CachedResponse, StreamMessage};
use h3::error::Code;
use http::{HeaderValue, Response, StatusCode};

/// Header with the outcome of a request: `not-run`, `unknown` or `done`.
pub const OUTCOME_HEADER: &str = "dillmill-outcome";
/// Header with the time after which to retry, in milliseconds; `Retry-After` has whole seconds only.
pub const RETRY_AFTER_MS_HEADER: &str = "dillmill-retry-after-ms";

type CallerStream = h3::server::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer.
    Answer(Arc<CachedResponse>),
    /// Neither the request nor an earlier attempt of it was run.
    NotRun {
        /// Reason, for the caller.
        reason: String,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may or may not have run.
    Unknown {
        /// Reason, for the caller.
        reason: String,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The request ran, but its answer was not kept.
    AnswerNotKept,
    /// The request is invalid.
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// What is invalid.
        reason: String,
    },
}

impl Outcome {
    /// Creates an outcome for a request that was not run.
    pub fn not_run(reason: impl Display, retry_after: Duration) -> Self {
        Self::NotRun { reason: reason.to_string(), retry_after }
    }

    /// Creates an outcome for a request that may or may not have run.
    pub fn unknown(reason: impl Display, retry_after: Duration) -> Self {
        Self::Unknown { reason: reason.to_string(), retry_after }
    }

    /// Creates an outcome for an invalid request.
    pub fn refused(status: StatusCode, reason: impl Display) -> Self {
        Self::Refused { status, reason: reason.to_string() }
    }

    fn to_response(&self) -> CachedResponse {
        match self {
            Self::Answer(answer) => (**answer).clone(),
            Self::NotRun { reason, retry_after } => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Some("not-run"),
                Some(*retry_after),
                reason,
            ),
            Self::Unknown { reason, retry_after } => error_response(
                StatusCode::GATEWAY_TIMEOUT,
                Some("unknown"),
                Some(*retry_after),
                reason,
            ),
            Self::AnswerNotKept => error_response(
                StatusCode::CONFLICT,
                Some("done"),
                None,
                "it ran; its answer is not kept",
            ),
            Self::Refused { status, reason } => error_response(*status, None, None, reason),
        }
    }
}

fn error_response(
    status: StatusCode,
    outcome: Option<&str>,
    retry_after: Option<Duration>,
    reason: &str,
) -> CachedResponse {
    let mut headers = vec![("content-type".to_owned(), b"text/plain".to_vec())];
    if let Some(outcome) = outcome {
        headers.push((OUTCOME_HEADER.to_owned(), outcome.as_bytes().to_vec()));
    }
    if let Some(after) = retry_after {
        let ms = after.as_millis().max(1);
        headers.push(("retry-after".to_owned(), ms.div_ceil(1000).to_string().into_bytes()));
        headers.push((RETRY_AFTER_MS_HEADER.to_owned(), ms.to_string().into_bytes()));
    }
    CachedResponse { status: status.as_u16(), headers, body: format!("{reason}\n").into_bytes() }
}

/// Stream on which an answer is sent.
pub enum ResponseSink {
    /// The stream to the caller.
    Caller(Box<CallerStream>),
    /// The connection to the agent that handed the request over.
    Agent(Box<Framed>),
}

impl ResponseSink {
    /// Sends the status and headers of an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the receiver is gone.
    pub async fn head(
        &mut self,
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
    ) -> Result<(), NodeError> {
        match self {
            Self::Caller(stream) => {
                let mut response = Response::builder().status(status);
                for (name, value) in headers {
                    if let Ok(value) = HeaderValue::from_bytes(&value) {
                        response = response.header(name, value);
                    }
                }
                let response =
                    response.body(()).map_err(|e| NodeError::new("answer", "caller", e))?;
                stream.send_response(response).await.map_err(caller_gone)
            }
            Self::Agent(framed) => {
                framed.send(&StreamMessage::ResponseHead { status, headers }).await
            }
        }
    }

    /// Sends a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the receiver is gone.
    pub async fn data(&mut self, part: Bytes) -> Result<(), NodeError> {
        match self {
            Self::Caller(stream) => stream.send_data(part).await.map_err(caller_gone),
            Self::Agent(framed) => framed.send(&StreamMessage::ResponseData(part.to_vec())).await,
        }
    }

    /// Marks the answer as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the receiver is gone.
    pub async fn end(&mut self) -> Result<(), NodeError> {
        match self {
            Self::Caller(stream) => stream.finish().await.map_err(caller_gone),
            Self::Agent(framed) => framed.send(&StreamMessage::ResponseEnd).await,
        }
    }

    /// Aborts the answer, so that the receiver does not take a partial answer for a complete one.
    pub async fn abort(&mut self) {
        match self {
            Self::Caller(stream) => stream.stop_stream(Code::H3_INTERNAL_ERROR),
            Self::Agent(framed) => {
                let _ = framed.send(&StreamMessage::ResponseAborted).await;
            }
        }
    }

    /// Sends the complete answer for an outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if the receiver is gone.
    pub async fn outcome(&mut self, outcome: &Outcome) -> Result<(), NodeError> {
        let answer = outcome.to_response();
        self.head(answer.status, answer.headers).await?;
        if !answer.body.is_empty() {
            self.data(Bytes::from(answer.body)).await?;
        }
        self.end().await
    }
}

fn caller_gone(e: h3::error::StreamError) -> NodeError {
    NodeError::new("answer", "caller", e)
}
