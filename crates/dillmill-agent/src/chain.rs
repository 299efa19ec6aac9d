//! Runs a request through the filter chain: claim, admit, dispatch.
//!
//! Authentication and limits come earlier, in [`crate::connection`], as only the agent that holds the
//! caller's flow has the caller's credentials.

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
use crate::forwarding::{self, ForwardError};
use crate::ledger::Entry;
use crate::request::Request;
use crate::target::TargetError;

/// Completes when the receiver of an answer has gone away.
pub type Closed = Shared<LocalBoxFuture<'static, ()>>;

const MAX_HOPS: u8 = 3;
const RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_KEYED_ANSWER_LEN: usize = 8 * 1024 * 1024;

/// Runs a request and sends its answer to `sink`; cancels the request when `closed` completes.
pub async fn run(cx: &AgentContext, req: Request, sink: &mut ResponseSink, closed: Closed) {
    let _open = OpenGauge::new(&cx.metrics.open_requests);
    let work = run_until_answered(cx, req, sink);
    pin_mut!(work);
    // Dropping `work` closes the connection to the target or sibling, which cancels the request there.
    if let Either::Right(_) = select(work, closed).await {
        cx.node.journal.record_debug(
            EventKind::Request,
            "request cancelled",
            "its caller went away",
        );
    }
}

async fn run_until_answered(cx: &AgentContext, req: Request, sink: &mut ResponseSink) {
    cx.metrics.requests.inc();
    let outcome = if req.feed {
        stream_feed(cx, &req, sink).await
    } else if req.key.is_some() {
        Some(run_keyed(cx, req).await)
    } else {
        run_unkeyed(cx, &req, sink).await
    };
    if let Some(outcome) = outcome {
        send_outcome(cx, sink, &outcome).await;
    }
}

async fn send_outcome(cx: &AgentContext, sink: &mut ResponseSink, outcome: &Outcome) {
    let refused = match outcome {
        Outcome::NotRun { reason, .. } => {
            cx.metrics.not_run.inc();
            Some(("request not run", reason.clone()))
        }
        Outcome::Unknown { reason, .. } => {
            cx.metrics.unknown.inc();
            Some(("request with unknown outcome", reason.clone()))
        }
        Outcome::Refused { reason, .. } => Some(("request refused", reason.clone())),
        Outcome::Answer(_) | Outcome::AnswerNotKept => None,
    };
    if let Some((what, reason)) = refused {
        cx.node.journal.record_debug(EventKind::Request, what, reason);
    }
    let _ = sink.outcome(outcome).await;
}

/// Streams a long feed, which takes a connection to the target but no slot.
///
/// The feed ends when its caller or its target ends it.
async fn stream_feed(cx: &AgentContext, req: &Request, sink: &mut ResponseSink) -> Option<Outcome> {
    let _open = OpenGauge::new(&cx.metrics.feeds);
    match cx.target.send(req, cx.node.clock.now()).await {
        Ok(response) => {
            cx.metrics.dispatched.inc();
            let _ = stream_response(response, sink).await;
            None
        }
        Err(error) => Some(target_failed(&error)),
    }
}

/// Counts a request in a gauge until the guard is dropped, which includes cancellation by the caller.
struct OpenGauge(IntGauge);

impl OpenGauge {
    fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for OpenGauge {
    fn drop(&mut self) {
        self.0.dec();
    }
}

async fn stream_response(response: cyper::Response, sink: &mut ResponseSink) -> Result<(), ()> {
    let status = response.status().as_u16();
    let headers = crate::request::end_to_end_headers(response.headers());
    sink.head(status, headers).await.map_err(drop)?;
    let parts = response.bytes_stream();
    pin_mut!(parts);
    while let Some(part) = parts.next().await {
        let Ok(part) = part else {
            sink.abort().await;
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

fn scheduling_request(cx: &AgentContext, req: &Request) -> scheduler::SchedulingRequest {
    scheduler::SchedulingRequest {
        id: cx.next_request(),
        group: req.group.clone(),
        weight: req.limits.weight,
        deadline: req.deadline,
        max_queue: usize::from(req.limits.max_queue),
        max_wait: req.limits.max_wait.duration(),
    }
}

/// Runs a request without an idempotency key, at this agent or at a clearly better sibling.
///
/// Returns the outcome that is still to be sent, or `None` if an answer was sent.
async fn run_unkeyed(cx: &AgentContext, req: &Request, sink: &mut ResponseSink) -> Option<Outcome> {
    cx.admission.count_first_attempt();
    if req.hops == 0
        && let Some(sibling) = cx.admission.place(req.operation.placement.0, false).await
    {
        match forwarding::relay(cx, sibling, req, sink).await {
            Ok(()) | Err(ForwardError::BrokenAfterHead) => return None,
            Err(ForwardError::Broken) if !req.is_idempotent() => {
                return Some(forwarding::failure_outcome(ForwardError::Broken));
            }
            // A repeated run of an idempotent request costs a retry from the budget.
            Err(ForwardError::Broken) if !cx.admission.may_retry().await => {
                return Some(forwarding::failure_outcome(ForwardError::Broken));
            }
            Err(ForwardError::Broken) => cx.metrics.retries.inc(),
            Err(ForwardError::NotSent) => {}
        }
    }
    match run_unkeyed_locally(cx, req, sink).await {
        Ok(()) => None,
        Err((outcome, true)) => retry_at_sibling(cx, req, sink, outcome).await,
        Err((outcome, false)) => Some(outcome),
    }
}

/// Runs a request without an idempotency key at this agent's target.
///
/// On failure, returns the outcome that is still to be sent, and whether another attempt is harmless.
async fn run_unkeyed_locally(
    cx: &AgentContext,
    req: &Request,
    sink: &mut ResponseSink,
) -> Result<(), (Outcome, bool)> {
    let _slot: Slot = cx
        .admission
        .admit(scheduling_request(cx, req))
        .await
        .map_err(|(refusal, after)| (Outcome::not_run(refusal, after), true))?;
    let now = cx.node.clock.now();
    let remaining = req.deadline.since(now);
    cx.metrics.dispatched.inc();
    let sending = compio::time::timeout(remaining, cx.target.send(req, now)).await;
    match sending {
        Ok(Ok(response)) => {
            let left = req.deadline.since(cx.node.clock.now());
            if compio::time::timeout(left, stream_response(response, sink)).await.is_err() {
                sink.abort().await;
            }
            Ok(())
        }
        Ok(Err(error)) => {
            let may_repeat = !matches!(error, TargetError::Broken(_)) || req.is_idempotent();
            Err((target_failed(&error), may_repeat))
        }
        Err(_) => Err((Outcome::unknown("no answer by its deadline", RETRY_AFTER), false)),
    }
}

/// Retries a request at a sibling's target, within the retry budget.
async fn retry_at_sibling(
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
    match forwarding::relay(cx, sibling, req, sink).await {
        Ok(()) | Err(ForwardError::BrokenAfterHead) => None,
        Err(ForwardError::NotSent) => Some(outcome),
        Err(ForwardError::Broken) => Some(forwarding::failure_outcome(ForwardError::Broken)),
    }
}

/// Runs a request with an idempotency key at most once, even if its caller disconnects.
async fn run_keyed(cx: &AgentContext, req: Request) -> Outcome {
    let Some(key) = req.claim_key() else {
        return Outcome::unknown("no idempotency key", RETRY_AFTER);
    };
    if req.hops == 0
        && let Some(sibling) = cx.admission.place(req.operation.placement.0, false).await
    {
        match forwarding::collect(cx, sibling, &req).await {
            Ok(outcome) => return outcome,
            Err(ForwardError::NotSent) => {}
            Err(error) => return forwarding::failure_outcome(error),
        }
    }
    let deadline = req.deadline;
    let running = match cx.ledger.register(key).await {
        Entry::Ended(outcome) => {
            cx.metrics.replayed.inc();
            return outcome;
        }
        Entry::Running(rx) => rx,
        Entry::First => {
            let (tx, rx) = flume::bounded(1);
            let cx = cx.clone();
            compio::runtime::spawn(async move {
                cx.admission.count_first_attempt();
                let outcome = run_first(&cx, &req, key).await;
                // The key is released here before the request goes to a sibling. The sibling may have to
                // hand the request back, and this agent would then wait for itself forever.
                cx.ledger.complete(key, outcome.clone());
                let _ = tx.send(retry_if_not_run(&cx, &req, outcome).await);
            })
            .detach();
            rx
        }
    };
    wait_for_outcome(cx, &running, deadline).await
}

async fn wait_for_outcome(
    cx: &AgentContext,
    rx: &flume::Receiver<Outcome>,
    deadline: Timestamp,
) -> Outcome {
    let left = deadline.since(cx.node.clock.now());
    match compio::time::timeout(left, rx.recv_async()).await {
        Ok(Ok(outcome)) => outcome,
        _ => Outcome::unknown("no answer by its deadline", RETRY_AFTER),
    }
}

/// Retries a request with an idempotency key at a sibling, once, if it was not run here.
async fn retry_if_not_run(cx: &AgentContext, req: &Request, outcome: Outcome) -> Outcome {
    let not_run = matches!(outcome, Outcome::NotRun { .. });
    if !not_run || req.hops > 0 || !cx.admission.may_retry().await {
        return outcome;
    }
    let Some(sibling) = cx.admission.place(Policy::PowerOfTwo, true).await else { return outcome };
    cx.metrics.retries.inc();
    match forwarding::collect(cx, sibling, req).await {
        Ok(outcome) => outcome,
        Err(ForwardError::NotSent) => outcome,
        Err(error) => forwarding::failure_outcome(error),
    }
}

/// Claims, admits and dispatches the first request with an idempotency key.
///
/// If the ring changes while the request is queued, the key is claimed again, as often as time allows.
async fn run_first(cx: &AgentContext, req: &Request, key: ClaimKey) -> Outcome {
    loop {
        let grant = match claiming::acquire(cx, key, req.deadline).await {
            Acquired::Granted(epoch) => epoch,
            Acquired::Held(other) | Acquired::NotInRing(other) if req.hops < MAX_HOPS => {
                return match forwarding::collect(cx, other, req).await {
                    Ok(outcome) => outcome,
                    // A failed connection does not prove that the request was not run, as the other agent
                    // may have run an earlier attempt.
                    Err(_) => forwarding::failure_outcome(ForwardError::Broken),
                };
            }
            Acquired::Held(_) | Acquired::NotInRing(_) => {
                return Outcome::unknown("handed over too often", RETRY_AFTER);
            }
            Acquired::NotRun(reason) => return Outcome::not_run(reason, RETRY_AFTER),
            Acquired::Unknown(reason) => return Outcome::unknown(reason, RETRY_AFTER),
        };
        let slot = match cx.admission.admit(scheduling_request(cx, req)).await {
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
        // If the epoch changed while the request was queued, the grant is stale: the key is claimed again.
        if cx.ledger.begin(key, grant).await.is_ok() {
            return dispatch(cx, req, key, slot).await;
        }
    }
}

async fn dispatch(cx: &AgentContext, req: &Request, key: ClaimKey, slot: Slot) -> Outcome {
    cx.metrics.dispatched.inc();
    let now = cx.node.clock.now();
    let answered =
        compio::time::timeout(req.deadline.since(now), read_whole_answer(cx, req, now)).await;
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

async fn read_whole_answer(
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
        if body.len() + part.len() > MAX_KEYED_ANSWER_LEN {
            return Err(TargetError::Broken("the answer is longer than 8 MiB".to_owned()));
        }
        body.extend_from_slice(&part);
    }
    Ok(CachedResponse { status, headers, body })
}

/// Makes a [`Closed`] from a future.
pub fn closed(future: impl Future<Output = ()> + 'static) -> Closed {
    future.boxed_local().shared()
}
