//! Keeps this agent in the ring of its service, and agents that are gone out of it.

use std::time::Duration;

use dillmill_core::claims::{Ring, RingMember};
use dillmill_core::{EventKind, MemberStatus, ProcessId, Timestamp};
use dillmill_store::RingStore;
use dillmill_wire::{CachedResponse, PeerRequest};
use futures_util::future::join_all;

use crate::claiming;
use crate::context::AgentContext;
use crate::ledger::Handed;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const JOIN_PAUSE_MIN: Duration = Duration::from_millis(50);
const JOIN_PAUSE_MAX: Duration = Duration::from_secs(2);
const LOST_AFTER: Duration = Duration::from_secs(1);
const RECORD_LEN: usize = 64;
const MAX_PART: usize = 6 * 1024;
const HAND_OVER_ATTEMPTS: usize = 5;

/// Looks after the ring until this agent has left it as planned.
///
/// It looks again as soon as another agent has changed the ring: an agent that was alone until then must
/// pass its records on at once, as its loss would leave every key unknown.
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
        // One agent changes the ring; the next one in order does if that one is lost too.
        let is_first = first_serving(&ring, &lost) == Some(cx.me.process);
        if !joined || (!lost.is_empty() && is_first) {
            change(&cx, &store, &lost).await;
        }
        if joined {
            cover(&cx, &store, &ring).await;
        }
        if joined {
            cx.ledger.newer_ring(CHECK_INTERVAL).await;
        } else {
            compio::time::sleep(join_pause).await;
            join_pause = (join_pause * 2).min(JOIN_PAUSE_MAX);
        }
    }
}

fn first_serving(ring: &Ring, lost: &[ProcessId]) -> Option<ProcessId> {
    ring.members.iter().map(|m| m.process).find(|p| !lost.contains(p))
}

/// Returns the ring's agents that have been down, or unknown, for a while.
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
        .filter(|(p, since)| ring.contains(*p) && now.since(*since) >= LOST_AFTER)
        .map(|(p, _)| *p)
        .collect()
}

/// Adds this agent to the ring and takes lost ones out.
async fn change(cx: &AgentContext, store: &RingStore, lost: &[ProcessId]) {
    let Ok((present, _)) = store.get().await else { return };
    cx.ledger.adopt(present).await;
    let (_, live_since) = cx.ledger.ring().await;
    let me = cx.me;
    let changed = store
        .change(|ring| {
            let gone: Vec<ProcessId> = lost.iter().copied().filter(|p| ring.contains(*p)).collect();
            // One that leaves must not come back: others would hand it their records when it has ended.
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
        // Those that were alone in the ring before must hear of it to pass their records on.
        tell_all(cx, &ring).await;
    }
    cx.ledger.adopt(ring).await;
}

/// Leaves the ring for good: first in force at the others, then passes on all records.
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
            tell_all(cx, &ring).await;
            cx.ledger.adopt(ring).await;
            return;
        }
        compio::time::sleep(CHECK_INTERVAL / 4).await;
    }
}

async fn tell_all(cx: &AgentContext, ring: &Ring) {
    let others = ring.members.iter().filter(|m| m.process != cx.me.process);
    join_all(others.map(|member| claiming::ask(cx, *member, PeerRequest::Ring(ring.clone()))))
        .await;
}

/// Passes on all records and says so in the ring; call it when nothing is dispatched any more.
pub(crate) async fn hand_over(cx: &AgentContext, store: &RingStore) -> bool {
    for _ in 0..HAND_OVER_ATTEMPTS {
        if !pass_on(cx, true).await {
            continue;
        }
        let me = cx.me.process;
        let epoch = cx.ledger.ring().await.0.epoch;
        let marked =
            store.change(|ring| (ring.epoch == epoch).then(|| ring.with_handed_over(me))).await;
        let Ok((ring, by_us)) = marked else { continue };
        if by_us {
            tell_all(cx, &ring).await;
            return true;
        }
        // The ring has changed meanwhile: the records go to the authorities of the new one.
        cx.ledger.adopt(ring).await;
    }
    false
}

/// Passes on the records of the time when this agent was alone in its ring.
async fn cover(cx: &AgentContext, store: &RingStore, ring: &Ring) {
    let me = cx.me.process;
    let was_alone = ring.past.iter().any(|past| past.is_sole_member(me));
    if !was_alone || ring.members.len() < 2 || !pass_on(cx, false).await {
        return;
    }
    let covered = store
        .change(|present| (present.epoch == ring.epoch).then(|| present.without_sole_rings(me)))
        .await;
    if let Ok((ring, by_us)) = covered {
        if by_us {
            let what = format!("ring of {} has epoch {}", cx.service, ring.epoch.0);
            cx.node.journal.record(EventKind::Member, what, "records passed on, alone before");
            tell_all(cx, &ring).await;
        }
        cx.ledger.adopt(ring).await;
    }
}

async fn pass_on(cx: &AgentContext, leaving: bool) -> bool {
    for (heir, records) in cx.ledger.hand_over(leaving).await {
        let mut rest = records.as_slice();
        while !rest.is_empty() {
            let (part, after) = rest.split_at(fitting(rest));
            if claiming::ask(cx, heir, PeerRequest::HandOver(part.to_vec())).await.is_none() {
                return false;
            }
            rest = after;
        }
    }
    true
}

/// Returns how many records fit one datagram; at least one.
fn fitting(records: &[Handed]) -> usize {
    let mut bytes = 0;
    let size = |answer: &Option<CachedResponse>| {
        let Some(answer) = answer else { return RECORD_LEN };
        let headers: usize = answer.headers.iter().map(|(n, v)| n.len() + v.len() + 4).sum();
        RECORD_LEN + answer.body.len() + headers
    };
    let fits = records.iter().take_while(|(_, answer)| {
        bytes += size(answer);
        bytes <= MAX_PART
    });
    fits.count().max(1)
}
