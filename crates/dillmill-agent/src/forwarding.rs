//! Hands requests over to siblings, and runs the requests that siblings hand over.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillmill_core::claims::RingMember;
use dillmill_node::{Framed, IncomingForward};
use dillmill_wire::{CachedResponse, StreamMessage};
use http::Method;

use crate::answer::{Outcome, ResponseSink};
use crate::chain;
use crate::context::AgentContext;
use crate::request::Request;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const RESPONSE_GRACE: Duration = Duration::from_millis(250);

/// Reason for which a sibling gave no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// The sibling was not reached, so it has not run the request.
    NotSent,
    /// The sibling may have run the request; nothing was sent to the caller yet.
    Broken,
    /// A part of the answer was already sent to the caller.
    BrokenAfterHead,
}

async fn open_request(
    cx: &AgentContext,
    sibling: RingMember,
    req: &Request,
) -> Result<Framed, ForwardError> {
    let key = cx.node.key.clone();
    let mut framed =
        Framed::connect(sibling.control, key).await.map_err(|_| ForwardError::NotSent)?;
    let handed = req.to_forwarded(sibling.process, cx.node.clock.now());
    let message = StreamMessage::Request(Box::new(handed));
    framed.send(&message).await.map_err(|_| ForwardError::Broken)?;
    cx.metrics.handed_over.inc();
    Ok(framed)
}

/// Hands a request over and streams the answer to `sink` as it arrives.
///
/// # Errors
///
/// Returns an error that tells how far the request got.
pub async fn relay(
    cx: &AgentContext,
    sibling: RingMember,
    req: &Request,
    sink: &mut ResponseSink,
) -> Result<(), ForwardError> {
    let mut framed = open_request(cx, sibling, req).await?;
    let limit = req.deadline.since(cx.node.clock.now()) + RESPONSE_GRACE;
    let head = compio::time::timeout(limit, framed.receive()).await;
    let Ok(Ok(StreamMessage::ResponseHead { status, headers })) = head else {
        return Err(ForwardError::Broken);
    };
    let broken = |_| ForwardError::BrokenAfterHead;
    sink.head(status, headers).await.map_err(broken)?;
    loop {
        match framed.receive().await {
            Ok(StreamMessage::ResponseData(part)) => {
                sink.data(Bytes::from(part)).await.map_err(broken)?;
            }
            Ok(StreamMessage::ResponseEnd) => return sink.end().await.map_err(broken),
            _ => {
                sink.abort().await;
                return Err(ForwardError::BrokenAfterHead);
            }
        }
    }
}

/// Hands a request over and returns its complete answer.
///
/// # Errors
///
/// Returns an error that tells how far the request got.
pub async fn collect(
    cx: &AgentContext,
    sibling: RingMember,
    req: &Request,
) -> Result<Outcome, ForwardError> {
    let mut framed = open_request(cx, sibling, req).await?;
    let limit = req.deadline.since(cx.node.clock.now()) + RESPONSE_GRACE;
    compio::time::timeout(limit, read_answer(&mut framed))
        .await
        .ok()
        .flatten()
        .ok_or(ForwardError::Broken)
}

async fn read_answer(framed: &mut Framed) -> Option<Outcome> {
    let Ok(StreamMessage::ResponseHead { status, headers }) = framed.receive().await else {
        return None;
    };
    let mut body = Vec::new();
    loop {
        match framed.receive().await.ok()? {
            StreamMessage::ResponseData(part) => body.extend_from_slice(&part),
            StreamMessage::ResponseEnd => {
                return Some(Outcome::Answer(Arc::new(CachedResponse { status, headers, body })));
            }
            _ => return None,
        }
    }
}

/// Runs the requests that siblings hand over, until the process ends.
pub(crate) async fn serve_all(cx: AgentContext, handed: flume::Receiver<IncomingForward>) {
    while let Ok(handed) = handed.recv_async().await {
        compio::runtime::spawn(serve(cx.clone(), handed)).detach();
    }
}

async fn serve(cx: AgentContext, handed: IncomingForward) {
    let IncomingForward { request, framed } = handed;
    let closed = framed.closed();
    let mut sink = ResponseSink::Agent(Box::new(framed));
    let is_addressee = request.to == cx.me.process && request.service == cx.service;
    let view = cx.view();
    let service = view.settings.as_ref().and_then(|s| Some((s, s.service(&cx.service)?)));
    let (true, Some((settings, service))) = (is_addressee, service) else {
        sink.abort().await;
        return;
    };
    let Ok(method) = request.method.parse::<Method>() else {
        sink.abort().await;
        return;
    };
    let req = Request {
        limits: settings.limits(&request.group, &request.service),
        operation: service.operation.clone(),
        group: request.group,
        service: request.service,
        method,
        path: request.path,
        headers: request.headers,
        key: request.key,
        deadline: cx.node.clock.now() + Duration::from_millis(request.remaining_ms),
        body: request.body,
        hops: request.hops,
        feed: false,
    };
    chain::run(&cx, req, &mut sink, closed).await;
}

/// Returns the outcome to report when a sibling gave no complete answer.
#[must_use]
pub fn failure_outcome(error: ForwardError) -> Outcome {
    match error {
        ForwardError::NotSent => Outcome::not_run("no agent can take it", RETRY_AFTER),
        ForwardError::Broken | ForwardError::BrokenAfterHead => {
            Outcome::unknown("the agent that had it does not answer", RETRY_AFTER)
        }
    }
}
