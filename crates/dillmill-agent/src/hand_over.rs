//! Requests handed to a sibling's target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillmill_core::claims::RingMember;
use dillmill_node::{Framed, Handed};
use dillmill_wire::{CachedResponse, StreamMessage};
use http::Method;

use crate::answer::{Outcome, ResponseSink};
use crate::chain;
use crate::context::AgentContext;
use crate::request::Request;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const GRACE: Duration = Duration::from_millis(250);

/// Why a sibling gave no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// It was not reached: it has not run the request.
    NotSent,
    /// It may have run it; nothing was passed on to the caller yet.
    Broken,
    /// Part of the answer was passed on to the caller.
    BrokenAfterHead,
}

async fn open(
    cx: &AgentContext,
    sibling: RingMember,
    req: &Request,
) -> Result<Framed, ForwardError> {
    let key = cx.node.key.clone();
    let mut framed =
        Framed::connect(sibling.control, key).await.map_err(|_| ForwardError::NotSent)?;
    let handed = req.to_handed(sibling.process, cx.node.clock.now());
    let message = StreamMessage::Request(Box::new(handed));
    framed.send(&message).await.map_err(|_| ForwardError::Broken)?;
    cx.metrics.handed_over.inc();
    Ok(framed)
}

/// Hands a request over and passes the answer on as it comes.
///
/// # Errors
///
/// Says how far it got.
pub async fn relay(
    cx: &AgentContext,
    sibling: RingMember,
    req: &Request,
    sink: &mut ResponseSink,
) -> Result<(), ForwardError> {
    let mut framed = open(cx, sibling, req).await?;
    let limit = req.deadline.since(cx.node.clock.now()) + GRACE;
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
                sink.broken().await;
                return Err(ForwardError::BrokenAfterHead);
            }
        }
    }
}

/// Hands a request over and returns its whole answer.
///
/// # Errors
///
/// Says how far it got.
pub async fn collect(
    cx: &AgentContext,
    sibling: RingMember,
    req: &Request,
) -> Result<Outcome, ForwardError> {
    let mut framed = open(cx, sibling, req).await?;
    let limit = req.deadline.since(cx.node.clock.now()) + GRACE;
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

/// Runs requests that siblings hand over until the process ends.
pub(crate) async fn serve_all(cx: AgentContext, handed: flume::Receiver<Handed>) {
    while let Ok(handed) = handed.recv_async().await {
        compio::runtime::spawn(serve(cx.clone(), handed)).detach();
    }
}

async fn serve(cx: AgentContext, handed: Handed) {
    let Handed { request, framed } = handed;
    let closed = framed.closed();
    let mut sink = ResponseSink::Agent(Box::new(framed));
    let meant = request.to == cx.me.process && request.service == cx.service;
    let view = cx.view();
    let service = view.settings.as_ref().and_then(|s| Some((s, s.service(&cx.service)?)));
    let (true, Some((settings, service))) = (meant, service) else {
        sink.broken().await;
        return;
    };
    let Ok(method) = request.method.parse::<Method>() else {
        sink.broken().await;
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

/// Returns the outcome told when a sibling gave no whole answer.
#[must_use]
pub fn failed(error: ForwardError) -> Outcome {
    match error {
        ForwardError::NotSent => Outcome::not_run("no agent can take it", RETRY_AFTER),
        ForwardError::Broken | ForwardError::BrokenAfterHead => {
            Outcome::unknown("the agent that had it does not answer", RETRY_AFTER)
        }
    }
}
