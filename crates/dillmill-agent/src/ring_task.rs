//! Keeps this agent in the ring of its service, and removes lost agents from the ring.

use std::time::Duration;

use dillmill_core::claims::{Ring, RingMember};
use dillmill_core::{EventKind, MemberStatus, ProcessId, Timestamp};
use dillmill_store::RingStore;
use dillmill_wire::{CachedResponse, PeerRequest};
use futures_util::future::join_all;

use crate::claiming;
use crate::context::AgentContext;
use crate::ledger::HandoverEntry;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const JOIN_PAUSE_MIN: Duration = Duration::from_millis(50);
const JOIN_PAUSE_MAX: Duration = Duration::from_secs(2);
const LOST_DELAY: Duration = Duration::from_secs(1);
const RECORD_LEN: usize = 64;
const MAX_BATCH_LEN: usize = 6 * 1024;
const HAND_OVER_ATTEMPTS: usize = 5;

/// Maintains the ring until this agent has left it in a planned stop.
///
/// The ring is checked again as soon as another agent has changed it: an agent that was alone until then
/// must hand over its records at once, as its loss would leave every key unknown.
pub(crate) async fn run(cx: AgentContext, store: RingStore) {
    let mut down_since: Vec<(ProcessId, Timestamp)> = Vec::new();
    let mut join_pause = JOIN_PAUSE_MIN;
    loop {
        let (ring, _) = cx.ledger.ring().await;
        let now = cx.node.clock.now();
        let lost = lost_members(&cx, &ring, &mut down_since, now);
        let joined = ring.contains(cx.me.process);
        if !joined && cx.is_stopping() {
            return;
        }
        // Only the first agent in the ring that is not lost itself removes the lost ones.
        let is_first = first_serving(&ring, &lost) == Some(cx.me.process);
        if !joined || (!lost.is_empty() && is_first) {
            update_ring(&cx, &store, &lost).await;
        }
        if joined {
            hand_over_sole_records(&cx, &store, &ring).await;
        }
        if joined {
            cx.ledger.wait_for_newer_ring(CHECK_INTERVAL).await;
        } else {
            compio::time::sleep(join_pause).await;
            join_pause = (join_pause * 2).min(JOIN_PAUSE_MAX);
        }
    }
}

fn first_serving(ring: &Ring, lost: &[ProcessId]) -> Option<ProcessId> {
    ring.members.iter().map(|m| m.process).find(|p| !lost.contains(p))
}

/// Returns the ring's agents that have been down, or unknown, for at least [`LOST_DELAY`].
fn lost_members(
    cx: &AgentContext,
    ring: &Ring,
    down_since: &mut Vec<(ProcessId, Timestamp)>,
    now: Timestamp,
) -> Vec<ProcessId> {
    let view = cx.view();
    let is_down = |process: ProcessId| {
        process != cx.me.process
            && view.member(process).is_none_or(|m| m.status == MemberStatus::Down)
    };
    down_since.retain(|(process, _)| is_down(*process));
    for member in &ring.members {
        if is_down(member.process) && !down_since.iter().any(|(p, _)| *p == member.process) {
            down_since.push((member.process, now));
        }
    }
    down_since
        .iter()
        .filter(|(p, since)| ring.contains(*p) && now.since(*since) >= LOST_DELAY)
        .map(|(p, _)| *p)
        .collect()
}

/// Adds this agent to the ring and removes lost agents from it.
async fn update_ring(cx: &AgentContext, store: &RingStore, lost: &[ProcessId]) {
    let Ok((present, _)) = store.get().await else { return };
    cx.ledger.adopt(present).await;
    let (_, live_since) = cx.ledger.ring().await;
    let me = cx.me;
    let changed = store
        .change(|ring| {
            let gone: Vec<ProcessId> = lost.iter().copied().filter(|p| ring.contains(*p)).collect();
            // An agent that leaves must not join again: others would hand their records to it after its end.
            let join = !ring.contains(me.process) && !cx.is_stopping();
            let added: &[RingMember] = if join { &[me] } else { &[] };
            (join || !gone.is_empty()).then(|| ring.changed(added, &gone, live_since))
        })
        .await;
    let Ok((ring, by_us)) = changed else { return };
    if by_us {
        let what = format!("ring of {} has epoch {}", cx.service, ring.epoch.0);
        let cause =
            if lost.is_empty() { "agent joins".to_owned() } else { format!("{lost:?} lost") };
        cx.node.journal.record(EventKind::Member, what, cause);
        // An agent that was alone in the ring before must learn of the new ring to hand over its records.
        broadcast_ring(cx, &ring).await;
    }
    cx.ledger.adopt(ring).await;
}

/// Leaves the ring for good: the other agents adopt the new ring first, then this agent does.
///
/// All records are handed over afterwards, by [`hand_over`].
pub(crate) async fn leave(cx: &AgentContext, store: &RingStore) {
    for _ in 0..HAND_OVER_ATTEMPTS {
        let (_, live_since) = cx.ledger.ring().await;
        let me = cx.me.process;
        let changed = store
            .change(|ring| ring.contains(me).then(|| ring.changed(&[], &[me], live_since)))
            .await;
        if let Ok((ring, _)) = changed
            && !ring.contains(me)
        {
            broadcast_ring(cx, &ring).await;
            cx.ledger.adopt(ring).await;
            return;
        }
        compio::time::sleep(CHECK_INTERVAL / 4).await;
    }
}

async fn broadcast_ring(cx: &AgentContext, ring: &Ring) {
    let others = ring.members.iter().filter(|m| m.process != cx.me.process);
    join_all(
        others.map(|member| {
            claiming::send_peer_request(cx, *member, PeerRequest::Ring(ring.clone()))
        }),
    )
    .await;
}

/// Hands over all records and marks that in the ring; to be called when nothing is dispatched any more.
pub(crate) async fn hand_over(cx: &AgentContext, store: &RingStore) -> bool {
    for _ in 0..HAND_OVER_ATTEMPTS {
        if !send_records(cx, true).await {
            continue;
        }
        let me = cx.me.process;
        let epoch = cx.ledger.ring().await.0.epoch;
        let marked =
            store.change(|ring| (ring.epoch == epoch).then(|| ring.with_handed_over(me))).await;
        let Ok((ring, by_us)) = marked else { continue };
        if by_us {
            broadcast_ring(cx, &ring).await;
            return true;
        }
        // The ring has changed in the meantime, so the records go to the authorities of the new ring.
        cx.ledger.adopt(ring).await;
    }
    false
}

/// Hands over the records from the time when this agent was alone in its ring.
async fn hand_over_sole_records(cx: &AgentContext, store: &RingStore, ring: &Ring) {
    let me = cx.me.process;
    let was_alone = ring.past.iter().any(|past| past.is_sole_member(me));
    if !was_alone || ring.members.len() < 2 || !send_records(cx, false).await {
        return;
    }
    let trimmed = store
        .change(|present| (present.epoch == ring.epoch).then(|| present.without_sole_rings(me)))
        .await;
    if let Ok((ring, by_us)) = trimmed {
        if by_us {
            let what = format!("ring of {} has epoch {}", cx.service, ring.epoch.0);
            cx.node.journal.record(EventKind::Member, what, "records passed on, alone before");
            broadcast_ring(cx, &ring).await;
        }
        cx.ledger.adopt(ring).await;
    }
}

async fn send_records(cx: &AgentContext, leaving: bool) -> bool {
    for (receiver, records) in cx.ledger.hand_over(leaving).await {
        let mut rest = records.as_slice();
        while !rest.is_empty() {
            let (batch, after) = rest.split_at(count_fitting(rest));
            if claiming::send_peer_request(cx, receiver, PeerRequest::HandOver(batch.to_vec()))
                .await
                .is_none()
            {
                return false;
            }
            rest = after;
        }
    }
    true
}

/// Returns how many records fit into one datagram, at least one.
fn count_fitting(records: &[HandoverEntry]) -> usize {
    let mut bytes = 0;
    let size = |answer: &Option<CachedResponse>| {
        let Some(answer) = answer else { return RECORD_LEN };
        let headers: usize = answer.headers.iter().map(|(n, v)| n.len() + v.len() + 4).sum();
        RECORD_LEN + answer.body.len() + headers
    };
    let fits = records.iter().take_while(|(_, answer)| {
        bytes += size(answer);
        bytes <= MAX_BATCH_LEN
    });
    fits.count().max(1)
}
