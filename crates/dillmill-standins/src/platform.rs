//! Stand-in of the platform's store: versioned entries, transactions, leases, watches with a bounded
//! history, and faults that tests inject.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use dillmill_platform::store_protocol::{
    COMMIT_PATH, Changes, Committed, Conflict, GRANT_PATH, GrantRequest, KEY_PATH, KeyQuery,
    RANGE_PATH, RENEW_PATH, REVOKE_PATH, RangeQuery, WATCH_PATH, WatchQuery,
};
use dillmill_platform::{Entry, Lease, LeaseId, Page, Transaction, Version};
use serde::{Deserialize, Serialize};

use crate::StandinError;
use crate::serve::{self, pause};

const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of past changes that a watch can still return.
const MAX_HISTORY: usize = 10_000;
/// Maximum number of entries on one page, as the platform documents it.
const PAGE_SIZE: usize = 500;

/// Faults that the store injects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails.
    pub down: bool,
    /// Additional delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that still take effect but return an error instead of their response.
    pub lose_write_answers: u32,
    /// Every watch gets the response that its history is gone, until this fault is switched off.
    pub forget_history: bool,
}

/// Calls counted since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads and watch requests.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches that are open now.
    pub watches: u64,
    /// Lease renewals.
    pub renewals: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    entries: BTreeMap<String, Entry>,
    history: VecDeque<Entry>,
    current: Version,
    faults: PlatformFaults,
    counts: PlatformCounts,
    leases: BTreeMap<LeaseId, (Duration, Instant)>,
    last_lease: u64,
}

impl StoreState {
    fn record(&mut self, entry: Entry) {
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let (key, version) = (key.to_owned(), self.current);
            let lease = LeaseId::default();
            self.record(Entry { key, value: Vec::new(), version, lease, removed: true });
        }
    }

    /// Removes leases that have ended and the entries attached to them.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, ends)| *ends > now);
        let expired: Vec<String> = self
            .entries
            .values()
            .filter(|e| e.lease != LeaseId::default() && !self.leases.contains_key(&e.lease))
            .map(|e| e.key.clone())
            .collect();
        for key in expired {
            self.current.0 += 1;
            self.remove(&key);
        }
    }

    /// Returns the present entries of all conditions if any condition does not hold.
    fn conflict(&self, transaction: &Transaction) -> Option<Vec<Entry>> {
        let version =
            |key: &String| self.entries.get(key).map_or(Version::default(), |e| e.version);
        let conditions = &transaction.conditions;
        let differs = conditions.iter().any(|c| version(&c.key) != c.version);
        let existing = conditions.iter().filter_map(|c| self.entries.get(&c.key).cloned());
        differs.then(|| existing.collect())
    }

    fn commit(&mut self, transaction: Transaction) -> Version {
        self.current.0 += 1;
        let version = self.current;
        for write in transaction.writes {
            let (key, value, lease) = (write.key, write.value, write.lease);
            let entry = Entry { key, value, version, lease, removed: false };
            self.entries.insert(entry.key.clone(), entry.clone());
            self.record(entry);
        }
        for key in transaction.removals {
            self.remove(&key);
        }
        version
    }

    fn changes(&self, prefix: &str, after: Version) -> Vec<Entry> {
        let newer = |e: &&Entry| e.version > after && e.key.starts_with(prefix);
        self.history.iter().filter(newer).cloned().collect()
    }
}

type Shared = Arc<Mutex<StoreState>>;

fn lock(store: &Shared) -> MutexGuard<'_, StoreState> {
    let mut state = store.lock().unwrap_or_else(PoisonError::into_inner);
    state.expire();
    state
}

/// Serves the platform's HTTP interface on `addr` until the process ends.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn run(addr: SocketAddr) -> Result<(), StandinError> {
    let router = Router::new()
        .route(KEY_PATH, get(read))
        .route(RANGE_PATH, get(range))
        .route(WATCH_PATH, get(watch))
        .route(COMMIT_PATH, post(commit))
        .route(GRANT_PATH, post(grant))
        .route(&format!("{RENEW_PATH}/{{id}}"), post(renew))
        .route(&format!("{REVOKE_PATH}/{{id}}"), delete(revoke))
        .route("/standin/faults", get(faults).put(set_faults))
        .route("/standin/counts", get(counts))
        .with_state(Shared::default());
    serve::serve_until_exit(addr, router).await
}

/// Applies the faults that affect every call. Returns the error response, or `None` if the call proceeds.
async fn apply_call_faults(store: &Shared) -> Option<Response> {
    let faults = lock(store).faults.clone();
    if faults.slow_ms > 0 {
        pause(Duration::from_millis(faults.slow_ms)).await;
    }
    faults.down.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
}

/// Returns the response to a write, or an error if the fault of lost responses is due.
fn write_response(state: &mut StoreState, answer: Response) -> Response {
    if state.faults.lose_write_answers > 0 {
        state.faults.lose_write_answers -= 1;
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    answer
}

async fn read(State(store): State<Shared>, Query(query): Query<KeyQuery>) -> Response {
    if let Some(failed) = apply_call_faults(&store).await {
        return failed;
    }
    let mut state = lock(&store);
    state.counts.reads += 1;
    match state.entries.get(&query.key) {
        Some(entry) => Json(entry.clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn range(State(store): State<Shared>, Query(query): Query<RangeQuery>) -> Response {
    if let Some(failed) = apply_call_faults(&store).await {
        return failed;
    }
    let mut state = lock(&store);
    state.counts.reads += 1;
    let wanted = |e: &&Entry| e.key.starts_with(&query.prefix) && e.key > query.after;
    let mut entries: Vec<Entry> =
        state.entries.values().filter(wanted).take(PAGE_SIZE + 1).cloned().collect();
    let more = entries.len() > PAGE_SIZE;
    entries.truncate(PAGE_SIZE);
    Json(Page { entries, more, current: state.current, ..Page::default() }).into_response()
}

async fn watch(State(store): State<Shared>, Query(query): Query<WatchQuery>) -> Response {
    lock(&store).counts.reads += 1;
    lock(&store).counts.watches += 1;
    let answer = wait_for_changes(&store, &query).await;
    lock(&store).counts.watches -= 1;
    answer
}

async fn wait_for_changes(store: &Shared, query: &WatchQuery) -> Response {
    let polls = query.wait_ms / u64::try_from(WATCH_POLL_INTERVAL.as_millis()).unwrap_or(1);
    for _ in 0..=polls {
        if let Some(failed) = apply_call_faults(store).await {
            return failed;
        }
        {
            let state = lock(store);
            if state.faults.forget_history {
                return StatusCode::GONE.into_response();
            }
            let entries = state.changes(&query.prefix, query.after);
            if !entries.is_empty() {
                return Json(Changes { entries, current: state.current, ..Changes::default() })
                    .into_response();
            }
        }
        pause(WATCH_POLL_INTERVAL).await;
    }
    Json(Changes { current: lock(store).current, ..Changes::default() }).into_response()
}

async fn commit(State(store): State<Shared>, Json(transaction): Json<Transaction>) -> Response {
    if let Some(failed) = apply_call_faults(&store).await {
        return failed;
    }
    let mut state = lock(&store);
    state.counts.writes += 1;
    let no_lease = LeaseId::default();
    let mut leases = transaction.writes.iter().map(|w| w.lease).filter(|lease| *lease != no_lease);
    if leases.any(|lease| !state.leases.contains_key(&lease)) {
        return StatusCode::NOT_FOUND.into_response();
    }
    if let Some(entries) = state.conflict(&transaction) {
        let conflict = Conflict { entries, ..Conflict::default() };
        return (StatusCode::PRECONDITION_FAILED, Json(conflict)).into_response();
    }
    let version = state.commit(transaction);
    write_response(&mut state, Json(Committed { version }).into_response())
}

async fn grant(State(store): State<Shared>, Json(request): Json<GrantRequest>) -> Response {
    if let Some(failed) = apply_call_faults(&store).await {
        return failed;
    }
    let mut state = lock(&store);
    state.counts.writes += 1;
    state.last_lease += 1;
    let id = LeaseId(state.last_lease);
    let ttl = Duration::from_millis(request.ttl_ms);
    state.leases.insert(id, (ttl, Instant::now() + ttl));
    write_response(&mut state, Json(Lease { id, ttl_ms: request.ttl_ms }).into_response())
}

async fn renew(State(store): State<Shared>, Path(id): Path<u64>) -> Response {
    if let Some(failed) = apply_call_faults(&store).await {
        return failed;
    }
    let mut state = lock(&store);
    state.counts.renewals += 1;
    match state.leases.get_mut(&LeaseId(id)) {
        Some((ttl, ends)) => {
            *ends = Instant::now() + *ttl;
            StatusCode::OK.into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn revoke(State(store): State<Shared>, Path(id): Path<u64>) -> Response {
    if let Some(failed) = apply_call_faults(&store).await {
        return failed;
    }
    let mut state = lock(&store);
    state.counts.writes += 1;
    match state.leases.remove(&LeaseId(id)) {
        Some(_) => StatusCode::OK.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn faults(State(store): State<Shared>) -> Json<PlatformFaults> {
    Json(lock(&store).faults.clone())
}

async fn set_faults(State(store): State<Shared>, Json(faults): Json<PlatformFaults>) {
    lock(&store).faults = faults;
}

async fn counts(State(store): State<Shared>) -> Json<PlatformCounts> {
    Json(lock(&store).counts.clone())
}
