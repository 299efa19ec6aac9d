//! What a caller is answered, and the ways an answer takes.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillmill_node::{Framed, NodeError};
use dillmill_wire::{CachedResponse, StreamMessage};
use h3::error::Code;
use http::{HeaderValue, Response, StatusCode};

/// Header that says what became of a request: `not-run`, `unknown` or `done`.
pub const OUTCOME_HEADER: &str = "dillmill-outcome";
/// Header with the time to come back after, in milliseconds; `Retry-After` has whole seconds.
pub const RETRY_AFTER_MS_HEADER: &str = "dillmill-retry-after-ms";

type CallerStream = h3::server::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer.
    Answer(Arc<CachedResponse>),
    /// It was not run, and no earlier try of it was.
    NotRun {
        /// Why.
        why: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may or may not have run.
    Unknown {
        /// Why.
        why: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran; its answer is not kept.
    AnswerNotKept,
    /// The request itself is wrong.
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// What is wrong.
        why: String,
    },
}

impl Outcome {
    /// Creates an outcome for a request that was not run.
    pub fn not_run(why: impl Display, retry_after: Duration) -> Self {
        Self::NotRun { why: why.to_string(), retry_after }
    }

    /// Creates an outcome for a request of which nobody knows whether it ran.
    pub fn unknown(why: impl Display, retry_after: Duration) -> Self {
        Self::Unknown { why: why.to_string(), retry_after }
    }

    /// Creates an outcome for a request that is wrong.
    pub fn refused(status: StatusCode, why: impl Display) -> Self {
        Self::Refused { status, why: why.to_string() }
    }

    fn to_answer(&self) -> CachedResponse {
        match self {
            Self::Answer(answer) => (**answer).clone(),
            Self::NotRun { why, retry_after } => {
                told(StatusCode::SERVICE_UNAVAILABLE, Some("not-run"), Some(*retry_after), why)
            }
            Self::Unknown { why, retry_after } => {
                told(StatusCode::GATEWAY_TIMEOUT, Some("unknown"), Some(*retry_after), why)
            }
            Self::AnswerNotKept => {
                told(StatusCode::CONFLICT, Some("done"), None, "it ran; its answer is not kept")
            }
            Self::Refused { status, why } => told(*status, None, None, why),
        }
    }
}

fn told(
    status: StatusCode,
    outcome: Option<&str>,
    retry_after: Option<Duration>,
    why: &str,
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
    CachedResponse { status: status.as_u16(), headers, body: format!("{why}\n").into_bytes() }
}

/// Where an answer goes.
pub enum ResponseSink {
    /// To the caller.
    Caller(Box<CallerStream>),
    /// To the agent that handed the request over.
    Agent(Box<Framed>),
}

impl ResponseSink {
    /// Starts an answer.
    ///
    /// # Errors
    ///
    /// Fails when the receiver is gone.
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
                stream.send_response(response).await.map_err(gone)
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
    /// Fails when the receiver is gone.
    pub async fn data(&mut self, part: Bytes) -> Result<(), NodeError> {
        match self {
            Self::Caller(stream) => stream.send_data(part).await.map_err(gone),
            Self::Agent(framed) => framed.send(&StreamMessage::ResponseData(part.to_vec())).await,
        }
    }

    /// Says that the answer is whole.
    ///
    /// # Errors
    ///
    /// Fails when the receiver is gone.
    pub async fn end(&mut self) -> Result<(), NodeError> {
        match self {
            Self::Caller(stream) => stream.finish().await.map_err(gone),
            Self::Agent(framed) => framed.send(&StreamMessage::ResponseEnd).await,
        }
    }

    /// Says that the answer will not be whole, so that nobody takes a part for the whole.
    pub async fn broken(&mut self) {
        match self {
            Self::Caller(stream) => stream.stop_stream(Code::H3_INTERNAL_ERROR),
            Self::Agent(framed) => {
                let _ = framed.send(&StreamMessage::ResponseAborted).await;
            }
        }
    }

    /// Sends a whole outcome.
    ///
    /// # Errors
    ///
    /// Fails when the receiver is gone.
    pub async fn outcome(&mut self, outcome: &Outcome) -> Result<(), NodeError> {
        let answer = outcome.to_answer();
        self.head(answer.status, answer.headers).await?;
        if !answer.body.is_empty() {
            self.data(Bytes::from(answer.body)).await?;
        }
        self.end().await
    }
}

fn gone(e: h3::error::StreamError) -> NodeError {
    NodeError::new("answer", "caller", e)
}
