//! The platform: keys with versions, compare-and-swap, leases, watches, a lagging list of VMs, and
//! faults that tests switch on.
//!
//! dillmill itself uses neither leases nor the list: see docs/design/at-most-once.md and
//! docs/design/membership.md. They are here because the platform has them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use dillmill_platform::{Entry, Version};
use serde::{Deserialize, Serialize};

use crate::StandinError;
use crate::serve::{self, pause};

const WATCH_POLL: Duration = Duration::from_millis(5);

/// Faults of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails.
    pub down: bool,
    /// Every call takes this much longer.
    pub slow_ms: u64,
    /// This many writes take effect without an answer.
    pub lose_write_answers: u32,
}

/// Calls counted since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches waiting now.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Store {
    entries: BTreeMap<String, Entry>,
    last_version: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
    vms: Vec<String>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// A lease; entries written under it vanish when it ends.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
    keys: Vec<String>,
}

impl Store {
    /// Takes away the entries of leases that have ended.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| *id).collect();
        for lease in ended.into_iter().filter_map(|id| self.leases.remove(&id)) {
            for key in lease.keys {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns the entry of `key` if its version is not `expect`.
    fn conflict(&self, key: &str, expect: Version) -> Option<Response> {
        let there = self.entries.get(key);
        let differs = there.map_or(Version(0), |entry| entry.version) != expect;
        differs.then(|| (StatusCode::CONFLICT, Json(there.cloned())).into_response())
    }
}

type Shared = Arc<Mutex<Store>>;

#[derive(Debug, Deserialize)]
struct Expect {
    expect: Version,
    #[serde(default)]
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Ttl {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Watch {
    after: Version,
    wait_ms: u64,
}

fn lock(store: &Shared) -> MutexGuard<'_, Store> {
    let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
    store.expire();
    store
}

/// Serves the platform on `addr` until the process ends.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn run(addr: SocketAddr) -> Result<(), StandinError> {
    let router = Router::new()
        .route("/v1/kv/{*key}", get(read).put(write).delete(delete))
        .route("/v1/watch/{*key}", get(watch))
        .route("/v1/leases", post(open_lease))
        .route("/v1/leases/{id}", put(keep_lease).delete(end_lease))
        .route("/v1/vms", get(vms).put(set_vms))
        .route("/standin/faults", get(faults).put(set_faults))
        .route("/standin/counts", get(counts))
        .with_state(Shared::default());
    serve::forever(addr, router).await
}

/// Applies the faults that hit every call; `None` when the call goes on.
async fn hit(store: &Shared) -> Option<Response> {
    let faults = lock(store).faults.clone();
    if faults.slow_ms > 0 {
        pause(Duration::from_millis(faults.slow_ms)).await;
    }
    faults.down.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
}

async fn read(State(store): State<Shared>, Path(key): Path<String>) -> Response {
    if let Some(failed) = hit(&store).await {
        return failed;
    }
    let mut store = lock(&store);
    store.counts.reads += 1;
    match store.entries.get(&key) {
        Some(entry) => Json(entry.clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    State(store): State<Shared>,
    Path(key): Path<String>,
    Query(Expect { expect, lease }): Query<Expect>,
    value: String,
) -> Response {
    if let Some(failed) = hit(&store).await {
        return failed;
    }
    let mut store = lock(&store);
    store.counts.writes += 1;
    if let Some(conflict) = store.conflict(&key, expect) {
        return conflict;
    }
    if let Some(id) = lease {
        match store.leases.get_mut(&id) {
            Some(lease) => lease.keys.push(key.clone()),
            None => return StatusCode::GONE.into_response(),
        }
    }
    store.last_version += 1;
    let version = Version(store.last_version);
    store.entries.insert(key, Entry { version, value });
    if store.faults.lose_write_answers > 0 {
        store.faults.lose_write_answers -= 1;
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    Json(version).into_response()
}

async fn delete(
    State(store): State<Shared>,
    Path(key): Path<String>,
    Query(Expect { expect, .. }): Query<Expect>,
) -> Response {
    if let Some(failed) = hit(&store).await {
        return failed;
    }
    let mut store = lock(&store);
    store.counts.writes += 1;
    if let Some(conflict) = store.conflict(&key, expect) {
        return conflict;
    }
    store.entries.remove(&key);
    Json(Version(0)).into_response()
}

async fn watch(
    State(store): State<Shared>,
    Path(key): Path<String>,
    Query(Watch { after, wait_ms }): Query<Watch>,
) -> Response {
    lock(&store).counts.reads += 1;
    lock(&store).counts.watches += 1;
    let polls = wait_ms / u64::try_from(WATCH_POLL.as_millis()).unwrap_or(1);
    let mut answer = StatusCode::NOT_MODIFIED.into_response();
    for _ in 0..=polls {
        if let Some(failed) = hit(&store).await {
            answer = failed;
            break;
        }
        let found = lock(&store).entries.get(&key).filter(|e| e.version > after).cloned();
        if let Some(entry) = found {
            answer = Json(entry).into_response();
            break;
        }
        pause(WATCH_POLL).await;
    }
    lock(&store).counts.watches -= 1;
    answer
}

async fn open_lease(State(store): State<Shared>, Query(Ttl { ttl_ms }): Query<Ttl>) -> Response {
    if let Some(failed) = hit(&store).await {
        return failed;
    }
    let mut store = lock(&store);
    store.counts.writes += 1;
    store.last_lease += 1;
    let id = store.last_lease;
    let ttl = Duration::from_millis(ttl_ms);
    store.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl, keys: Vec::new() });
    Json(id).into_response()
}

async fn keep_lease(State(store): State<Shared>, Path(id): Path<u64>) -> Response {
    if let Some(failed) = hit(&store).await {
        return failed;
    }
    let mut store = lock(&store);
    store.counts.writes += 1;
    match store.leases.get_mut(&id) {
        Some(lease) => {
            lease.ends = Instant::now() + lease.ttl;
            StatusCode::OK.into_response()
        }
        None => StatusCode::GONE.into_response(),
    }
}

async fn end_lease(State(store): State<Shared>, Path(id): Path<u64>) -> Response {
    if let Some(failed) = hit(&store).await {
        return failed;
    }
    let mut store = lock(&store);
    store.counts.writes += 1;
    if let Some(lease) = store.leases.get_mut(&id) {
        lease.ends = Instant::now();
    }
    StatusCode::OK.into_response()
}

async fn vms(State(store): State<Shared>) -> Json<Vec<String>> {
    Json(lock(&store).vms.clone())
}

async fn set_vms(State(store): State<Shared>, Json(vms): Json<Vec<String>>) {
    lock(&store).vms = vms;
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
