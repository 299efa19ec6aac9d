//! The filters that a request passes, in order: claim, admit, dispatch.
//!
//! Authentication and limits come before, in [`crate::connection`], as only the caller's agent has
//! the caller's credentials.

use std::sync::Arc;
use std::time::Duration;

use dillmill_core::claims::{ClaimKey, Phase};
use dillmill_core::placement::Policy;
use dillmill_core::scheduler;
use dillmill_core::{EventKind, Timestamp};
use dillmill_wire::CachedResponse;
use futures_util::future::{Either, FutureExt, LocalBoxFuture, Shared, select};
use futures_util::{StreamExt, pin_mut};
use prometheus::IntGauge;

use crate::admission::Slot;
use crate::answer::{Outcome, ResponseSink};
use crate::claiming::{self, Acquired};
use crate::context::AgentContext;
use crate::hand_over::{self, ForwardError};
use crate::ledger::Entry;
use crate::request::Request;
use crate::target::TargetError;

/// Completes when the receiver of an answer has gone away.
pub type Closed = Shared<LocalBoxFuture<'static, ()>>;

const MAX_HOPS: u8 = 3;
const RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_KEYED_ANSWER: usize = 8 * 1024 * 1024;

/// Runs a request and answers it.
pub async fn run(cx: &AgentContext, req: Request, sink: &mut ResponseSink, closed: Closed) {
    let _open = Open::new(&cx.metrics.open_requests);
    let work = run_until_answered(cx, req, sink);
    pin_mut!(work);
    // Dropping the work closes the connection to the target or sibling, which cancels there.
    if let Either::Right(_) = select(work, closed).await {
        cx.node.journal.detail(EventKind::Request, "request cancelled", "its caller went away");
    }
}

async fn run_until_answered(cx: &AgentContext, req: Request, sink: &mut ResponseSink) {
    cx.metrics.requests.inc();
    let outcome = if req.feed {
        stream_feed(cx, &req, sink).await
    } else if req.key.is_some() {
        Some(keyed(cx, req).await)
    } else {
        unkeyed(cx, &req, sink).await
    };
    if let Some(outcome) = outcome {
        tell(cx, sink, &outcome).await;
    }
}

async fn tell(cx: &AgentContext, sink: &mut ResponseSink, outcome: &Outcome) {
    let refused = match outcome {
        Outcome::NotRun { why, .. } => {
            cx.metrics.not_run.inc();
            Some(("request not run", why.clone()))
        }
        Outcome::Unknown { why, .. } => {
            cx.metrics.unknown.inc();
            Some(("request with unknown outcome", why.clone()))
        }
        Outcome::Refused { why, .. } => Some(("request refused", why.clone())),
        Outcome::Answer(_) | Outcome::AnswerNotKept => None,
    };
    if let Some((what, why)) = refused {
        cx.node.journal.detail(EventKind::Request, what, why);
    }
    let _ = sink.outcome(outcome).await;
}

/// A long feed takes a connection and no slot; it ends with its caller or its target.
async fn stream_feed(cx: &AgentContext, req: &Request, sink: &mut ResponseSink) -> Option<Outcome> {
    let _open = Open::new(&cx.metrics.feeds);
    match cx.target.send(req, cx.node.clock.now()).await {
        Ok(response) => {
            cx.metrics.dispatched.inc();
            let _ = stream(response, sink).await;
            None
        }
        Err(error) => Some(target_failed(&error)),
    }
}

/// Counts a request as open until it is dropped, also when its caller goes away.
struct Open(IntGauge);

impl Open {
    fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.dec();
    }
}

async fn stream(response: cyper::Response, sink: &mut ResponseSink) -> Result<(), ()> {
    let status = response.status().as_u16();
    let headers = crate::request::end_to_end_headers(response.headers());
    sink.head(status, headers).await.map_err(drop)?;
    let parts = response.bytes_stream();
    pin_mut!(parts);
    while let Some(part) = parts.next().await {
        let Ok(part) = part else {
            sink.broken().await;
            return Err(());
        };
        sink.data(part).await.map_err(drop)?;
    }
    sink.end().await.map_err(drop)
}

fn target_failed(error: &TargetError) -> Outcome {
    match error {
        TargetError::NotSent(_) => Outcome::not_run(error, RETRY_AFTER),
        TargetError::Shed(after) => Outcome::not_run(error, *after),
        TargetError::Broken(_) => Outcome::unknown(error, RETRY_AFTER),
    }
}

fn ask_for(cx: &AgentContext, req: &Request) -> scheduler::SchedulingRequest {
    scheduler::SchedulingRequest {
        id: cx.next_request(),
        group: req.group.clone(),
        weight: req.limits.weight,
        deadline: req.deadline,
        max_queue: usize::from(req.limits.max_queue),
        max_wait: req.limits.max_wait.duration(),
    }
}

/// Runs a request without a key here, or at a sibling that is clearly better.
async fn unkeyed(cx: &AgentContext, req: &Request, sink: &mut ResponseSink) -> Option<Outcome> {
    cx.admission.first_try();
    if req.hops == 0
        && let Some(sibling) = cx.admission.place(req.operation.placement.0, false).await
    {
        match hand_over::relay(cx, sibling, req, sink).await {
            Ok(()) | Err(ForwardError::BrokenAfterHead) => return None,
            Err(ForwardError::Broken) if !req.is_idempotent() => {
                return Some(hand_over::failed(ForwardError::Broken));
            }
            // It may run again: that costs a retry.
            Err(ForwardError::Broken) if !cx.admission.may_retry().await => {
                return Some(hand_over::failed(ForwardError::Broken));
            }
            Err(ForwardError::Broken) => cx.metrics.retries.inc(),
            Err(ForwardError::NotSent) => {}
        }
    }
    match unkeyed_here(cx, req, sink).await {
        Ok(()) => None,
        Err((outcome, true)) => retry_elsewhere(cx, req, sink, outcome).await,
        Err((outcome, false)) => Some(outcome),
    }
}

/// Returns an outcome that was not told yet, and whether another try does no harm.
async fn unkeyed_here(
    cx: &AgentContext,
    req: &Request,
    sink: &mut ResponseSink,
) -> Result<(), (Outcome, bool)> {
    let _slot: Slot = cx
        .admission
        .admit(ask_for(cx, req))
        .await
        .map_err(|(refusal, after)| (Outcome::not_run(refusal, after), true))?;
    let now = cx.node.clock.now();
    let remaining = req.deadline.since(now);
    cx.metrics.dispatched.inc();
    let sending = compio::time::timeout(remaining, cx.target.send(req, now)).await;
    match sending {
        Ok(Ok(response)) => {
            let left = req.deadline.since(cx.node.clock.now());
            if compio::time::timeout(left, stream(response, sink)).await.is_err() {
                sink.broken().await;
            }
            Ok(())
        }
        Ok(Err(error)) => {
            let harmless = !matches!(error, TargetError::Broken(_)) || req.is_idempotent();
            Err((target_failed(&error), harmless))
        }
        Err(_) => Err((Outcome::unknown("no answer by its deadline", RETRY_AFTER), false)),
    }
}

/// Tries a request at another target, within the retry budget.
async fn retry_elsewhere(
    cx: &AgentContext,
    req: &Request,
    sink: &mut ResponseSink,
    outcome: Outcome,
) -> Option<Outcome> {
    if req.hops > 0 || !cx.admission.may_retry().await {
        return Some(outcome);
    }
    let Some(sibling) = cx.admission.place(Policy::PowerOfTwo, true).await else {
        return Some(outcome);
    };
    cx.metrics.retries.inc();
    match hand_over::relay(cx, sibling, req, sink).await {
        Ok(()) | Err(ForwardError::BrokenAfterHead) => None,
        Err(ForwardError::NotSent) => Some(outcome),
        Err(ForwardError::Broken) => Some(hand_over::failed(ForwardError::Broken)),
    }
}

/// Runs a request with a key at most once, whatever becomes of its caller.
async fn keyed(cx: &AgentContext, req: Request) -> Outcome {
    let Some(key) = req.claim_key() else {
        return Outcome::unknown("no idempotency key", RETRY_AFTER);
    };
    if req.hops == 0
        && let Some(sibling) = cx.admission.place(req.operation.placement.0, false).await
    {
        match hand_over::collect(cx, sibling, &req).await {
            Ok(outcome) => return outcome,
            Err(ForwardError::NotSent) => {}
            Err(error) => return hand_over::failed(error),
        }
    }
    let deadline = req.deadline;
    let running = match cx.ledger.enter(key).await {
        Entry::Ended(outcome) => {
            cx.metrics.replayed.inc();
            return outcome;
        }
        Entry::Running(rx) => rx,
        Entry::First => {
            let (tx, rx) = flume::bounded(1);
            let cx = cx.clone();
            compio::runtime::spawn(async move {
                cx.admission.first_try();
                let outcome = first(&cx, &req, key).await;
                // The key is free here before the request goes elsewhere: the other agent may have
                // to pass it back, and would wait for this one for ever.
                cx.ledger.leave(key, outcome.clone());
                let _ = tx.send(elsewhere_if_not_run(&cx, &req, outcome).await);
            })
            .detach();
            rx
        }
    };
    wait(cx, &running, deadline).await
}

async fn wait(cx: &AgentContext, rx: &flume::Receiver<Outcome>, deadline: Timestamp) -> Outcome {
    let left = deadline.since(cx.node.clock.now());
    match compio::time::timeout(left, rx.recv_async()).await {
        Ok(Ok(outcome)) => outcome,
        _ => Outcome::unknown("no answer by its deadline", RETRY_AFTER),
    }
}

/// Tries a request with a key that was not run here once more at a sibling.
async fn elsewhere_if_not_run(cx: &AgentContext, req: &Request, outcome: Outcome) -> Outcome {
    let not_run = matches!(outcome, Outcome::NotRun { .. });
    if !not_run || req.hops > 0 || !cx.admission.may_retry().await {
        return outcome;
    }
    let Some(sibling) = cx.admission.place(Policy::PowerOfTwo, true).await else { return outcome };
    cx.metrics.retries.inc();
    match hand_over::collect(cx, sibling, req).await {
        Ok(outcome) => outcome,
        Err(ForwardError::NotSent) => outcome,
        Err(error) => hand_over::failed(error),
    }
}

/// Claims, admits and dispatches the first request with a key.
///
/// Each change of the ring in the queue costs a new claim, as often as there is time for.
async fn first(cx: &AgentContext, req: &Request, key: ClaimKey) -> Outcome {
    loop {
        let grant = match claiming::acquire(cx, key, req.deadline).await {
            Acquired::Granted(epoch) => epoch,
            Acquired::Held(other) | Acquired::NotInRing(other) if req.hops < MAX_HOPS => {
                return match hand_over::collect(cx, other, req).await {
                    Ok(outcome) => outcome,
                    // Not reached is not proof here: the other one may have run an earlier try.
                    Err(_) => hand_over::failed(ForwardError::Broken),
                };
            }
            Acquired::Held(_) | Acquired::NotInRing(_) => {
                return Outcome::unknown("handed over too often", RETRY_AFTER);
            }
            Acquired::NotRun(why) => return Outcome::not_run(why, RETRY_AFTER),
            Acquired::Unknown(why) => return Outcome::unknown(why, RETRY_AFTER),
        };
        let slot = match cx.admission.admit(ask_for(cx, req)).await {
            Ok(slot) => slot,
            Err((refusal, after)) => {
                claiming::release(cx, key).await;
                return Outcome::not_run(refusal, after);
            }
        };
        if cx.node.clock.now() >= req.deadline {
            claiming::release(cx, key).await;
            return Outcome::not_run("its deadline passed in the queue", RETRY_AFTER);
        }
        // The epoch may have changed in the queue; then the claim is made again.
        if cx.ledger.begin(key, grant).await.is_ok() {
            return dispatch(cx, req, key, slot).await;
        }
    }
}

async fn dispatch(cx: &AgentContext, req: &Request, key: ClaimKey, slot: Slot) -> Outcome {
    cx.metrics.dispatched.inc();
    let now = cx.node.clock.now();
    let answered = compio::time::timeout(req.deadline.since(now), whole_answer(cx, req, now)).await;
    drop(slot);
    match answered {
        Ok(Ok(answer)) => {
            cx.ledger.end(key, Phase::Done);
            Outcome::Answer(Arc::new(answer))
        }
        Ok(Err(error @ (TargetError::NotSent(_) | TargetError::Shed(_)))) => {
            cx.ledger.not_run(key);
            claiming::release(cx, key).await;
            target_failed(&error)
        }
        Ok(Err(error @ TargetError::Broken(_))) => {
            cx.ledger.end(key, Phase::Unknown);
            target_failed(&error)
        }
        Err(_) => {
            cx.ledger.end(key, Phase::Unknown);
            Outcome::unknown("no answer by its deadline", RETRY_AFTER)
        }
    }
}

async fn whole_answer(
    cx: &AgentContext,
    req: &Request,
    now: Timestamp,
) -> Result<CachedResponse, TargetError> {
    let response = cx.target.send(req, now).await?;
    let status = response.status().as_u16();
    let headers = crate::request::end_to_end_headers(response.headers());
    let parts = response.bytes_stream();
    pin_mut!(parts);
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part.map_err(|e| TargetError::Broken(e.to_string()))?;
        if body.len() + part.len() > MAX_KEYED_ANSWER {
            return Err(TargetError::Broken("the answer is longer than 8 MiB".to_owned()));
        }
        body.extend_from_slice(&part);
    }
    Ok(CachedResponse { status, headers, body })
}

/// Makes a [`Closed`] of a future.
pub fn closed(future: impl Future<Output = ()> + 'static) -> Closed {
    future.boxed_local().shared()
}
