//! Stand-in of a target: an HTTP server with slots, cold start, load shedding, draining, cancellation and a
//! load page that may be wrong.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use axum::{Json, Router};
use bytes::Bytes;
use futures_util::stream;
use send_wrapper::SendWrapper;
use serde::{Deserialize, Serialize};

use crate::StandinError;
use crate::serve::{self, pause};

/// Configurable behaviour of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetRules {
    /// Number of requests that the target runs at once; it sheds the rest.
    pub slots: usize,
    /// The target refuses all new work with 503.
    pub draining: bool,
    /// Time after the target's start during which each run takes three times as long.
    pub cold_ms: u64,
    /// Load that the load page reports, whatever the real load is.
    pub claimed_load: usize,
    /// Responses end early, after the run has taken effect.
    pub break_answers: bool,
}

impl Default for TargetRules {
    fn default() -> Self {
        Self { slots: 5, draining: false, cold_ms: 0, claimed_load: 0, break_answers: false }
    }
}

/// Counters of a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Runs started.
    pub runs: u64,
    /// Runs started, by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Runs started, by group.
    pub groups: BTreeMap<String, u64>,
    /// Requests refused with 503.
    pub shed: u64,
    /// Runs whose caller disconnected before their end.
    pub cancelled: u64,
    /// Maximum number of concurrent runs.
    pub most_at_once: usize,
    /// Runs in progress.
    pub running: usize,
    /// Open feeds.
    pub feeds: usize,
    /// Requests that were meant for another service.
    pub wrong_service: u64,
}

struct Target {
    service: String,
    name: String,
    started: Instant,
    rules: TargetRules,
    counts: TargetCounts,
}

type Shared = Arc<Mutex<Target>>;

fn lock(target: &Shared) -> MutexGuard<'_, Target> {
    target.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug, Deserialize)]
struct RunQuery {
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    ms: u64,
    #[serde(default)]
    size: usize,
}

#[derive(Debug, Deserialize)]
struct FeedQuery {
    #[serde(default)]
    service: Option<String>,
    every_ms: u64,
    count: u64,
}

/// Serves a target of `service` on `addr` until the process ends.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn run(
    addr: SocketAddr,
    service: String,
    name: String,
    rules: TargetRules,
) -> Result<(), StandinError> {
    let counts = TargetCounts::default();
    let target = Target { service, name, started: Instant::now(), rules, counts };
    let router = Router::new()
        .route("/run", any(run_request))
        .route("/feed", get(feed))
        .route("/health", get(|| async { "ok\n" }))
        .route("/load", get(load))
        .route("/standin/counts", get(counts_page))
        .route("/standin/rules", get(rules_page).put(set_rules))
        .with_state(Arc::new(Mutex::new(target)));
    serve::serve_until_exit(addr, router).await
}

/// A run in progress. When dropped before the run has ended, the run counts as cancelled.
struct RunGuard {
    target: Shared,
    ended: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut target = lock(&self.target);
        target.counts.running -= 1;
        if !self.ended {
            target.counts.cancelled += 1;
        }
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn admit(
    shared: &Shared,
    headers: &HeaderMap,
    service: Option<&String>,
) -> Result<(RunGuard, u64), Box<Response>> {
    let mut target = lock(shared);
    if service.is_some_and(|asked| *asked != target.service) {
        target.counts.wrong_service += 1;
    }
    if target.rules.draining || target.counts.running >= target.rules.slots {
        target.counts.shed += 1;
        let shed = (StatusCode::SERVICE_UNAVAILABLE, [("retry-after", "1")]).into_response();
        return Err(Box::new(shed));
    }
    target.counts.runs += 1;
    target.counts.running += 1;
    target.counts.most_at_once = target.counts.most_at_once.max(target.counts.running);
    if let Some(key) = header(headers, "idempotency-key") {
        *target.counts.keys.entry(key).or_default() += 1;
    }
    if let Some(group) = header(headers, "dillmill-group") {
        *target.counts.groups.entry(group).or_default() += 1;
    }
    Ok((RunGuard { target: shared.clone(), ended: false }, target.counts.runs))
}

async fn run_request(
    State(target): State<Shared>,
    Query(query): Query<RunQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let (mut running, number) = match admit(&target, &headers, query.service.as_ref()) {
        Ok(admitted) => admitted,
        Err(shed) => return *shed,
    };
    let cold = {
        let target = lock(&target);
        target.started.elapsed() < Duration::from_millis(target.rules.cold_ms)
    };
    pause(Duration::from_millis(query.ms * if cold { 3 } else { 1 })).await;
    running.ended = true;
    let target = lock(&target);
    let answer = format!(
        "service={} target={} run={number} body={}\n{}",
        target.service,
        target.name,
        body.len(),
        "x".repeat(query.size),
    );
    if target.rules.break_answers {
        let parts = [
            Ok(Bytes::from("part")),
            Err(std::io::Error::other("response cut off by the target's rules")),
        ];
        return Body::from_stream(stream::iter(parts)).into_response();
    }
    answer.into_response()
}

/// An open feed, counted until it is dropped.
struct FeedGuard(Shared);

impl Drop for FeedGuard {
    fn drop(&mut self) {
        lock(&self.0).counts.feeds -= 1;
    }
}

async fn feed(State(shared): State<Shared>, Query(query): Query<FeedQuery>) -> Response {
    let (service, name) = {
        let mut target = lock(&shared);
        if query.service.as_ref().is_some_and(|asked| *asked != target.service) {
            target.counts.wrong_service += 1;
        }
        target.counts.feeds += 1;
        (target.service.clone(), target.name.clone())
    };
    let open = FeedGuard(shared);
    let ticks = stream::unfold((0, open), move |(n, open)| {
        let line = format!("tick={n} service={service} target={name}\n");
        async move {
            if n == query.count {
                return None;
            }
            if n > 0 {
                pause(Duration::from_millis(query.every_ms)).await;
            }
            Some((Ok::<_, std::io::Error>(Bytes::from(line)), (n + 1, open)))
        }
    });
    Body::from_stream(SendWrapper::new(Box::pin(ticks))).into_response()
}

async fn load(State(target): State<Shared>) -> Json<usize> {
    Json(lock(&target).rules.claimed_load)
}

async fn counts_page(State(target): State<Shared>) -> Json<TargetCounts> {
    Json(lock(&target).counts.clone())
}

async fn rules_page(State(target): State<Shared>) -> Json<TargetRules> {
    Json(lock(&target).rules.clone())
}

async fn set_rules(State(target): State<Shared>, Json(rules): Json<TargetRules>) {
    lock(&target).rules = rules;
}
