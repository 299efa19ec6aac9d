//! Exchanges messages with other agents to decide which agent may dispatch the request of a key.

use std::time::Duration;

use dillmill_core::claims::{
    Claim, ClaimAnswer, ClaimKey, Epoch, Finding, Inquiry, Ring, RingMember,
};
use dillmill_core::{MemberStatus, Timestamp};
use dillmill_node::IncomingPeerRequest;
use dillmill_wire::{PeerRequest, Reply};
use futures_util::future::join_all;

use crate::context::AgentContext;

/// Maximum number of times that an authority consults other agents for one claim.
const MAX_CONSULT_ROUNDS: usize = 6;
/// Minimum pause before a claim is repeated.
const ROUND_PAUSE_MIN: Duration = Duration::from_millis(2);
/// Maximum pause before a claim is repeated.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(50);
/// Minimum pause before a claim is repeated because an agent does not answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a request that the other agent answers from its own state.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a claim, for which the authority may have to ask other agents twice.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which a claim is repeated that no other agent can keep a copy of. Requests held for longer would
/// come back together.
const COPY_TIME_LIMIT: Duration = Duration::from_millis(2500);
/// Timeout of a request to an agent that is considered down, which may be back.
const DOWN_AGENT_TIMEOUT: Duration = Duration::from_millis(120);

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acquired {
    /// This agent may dispatch in the given epoch.
    Granted(Epoch),
    /// Another agent holds the key.
    Held(RingMember),
    /// This agent is not in the ring; the given agent is.
    NotInRing(RingMember),
    /// This agent may not dispatch, and no other agent has dispatched or will dispatch under this claim.
    NotRun(&'static str),
    /// It is not known which agent has dispatched the key, if any.
    Unknown(&'static str),
}

/// Sends a request to an agent of the service, with a shorter timeout if the agent is down or unknown.
pub(crate) async fn send_peer_request(
    cx: &AgentContext,
    to: RingMember,
    request: PeerRequest,
) -> Option<Reply> {
    let timeout = match (&request, is_down(cx, to)) {
        (_, true) => DOWN_AGENT_TIMEOUT,
        (PeerRequest::Claim { .. }, false) => CLAIM_TIMEOUT,
        (_, false) => ANSWER_TIMEOUT,
    };
    cx.node.ask(to, &cx.service, request, timeout).await.ok()
}

fn is_down(cx: &AgentContext, agent: RingMember) -> bool {
    let view = cx.view();
    view.member(agent.process).is_none_or(|m| m.status == MemberStatus::Down)
}

/// Claims `key` for this agent. The claim is repeated after each change of the ring until `deadline`.
///
/// Agents that leave together change the ring one after the other, faster than a busy agent can claim. An
/// agent that does not answer may be busy, or the ring soon changes without it, so the claim is repeated then as
/// well, but only while there is enough time left to run the request.
pub async fn acquire(cx: &AgentContext, key: ClaimKey, deadline: Timestamp) -> Acquired {
    let now = cx.node.clock.now();
    let last_repeat = now + deadline.since(now) * 3 / 4;
    let last_copy = last_repeat.min(now + COPY_TIME_LIMIT);
    let mut pause = Duration::ZERO;
    while cx.node.clock.now() < deadline {
        compio::time::sleep(pause).await;
        pause = (pause * 2).clamp(ROUND_PAUSE_MIN, ROUND_PAUSE_MAX);
        let (ring, _) = cx.ledger.ring().await;
        if !ring.contains(cx.me.process) {
            return match ring.members.first() {
                Some(member) => Acquired::NotInRing(*member),
                None => Acquired::Unknown("the service has no ring of agents yet"),
            };
        }
        let Some(authority) = cx.ledger.authority(key).await else { continue };
        let answer = if authority.process == cx.me.process {
            decide_claim(cx, key, ring.epoch, cx.me).await
        } else {
            request_claim(cx, authority, key, ring.epoch).await
        };
        match answer {
            Some(ClaimAnswer::Granted) if authority.process == cx.me.process => {
                match replicate_claim(cx, key, &ring).await {
                    Some(true) => return Acquired::Granted(ring.epoch),
                    Some(false) => {}
                    None => {
                        cx.ledger.release(key, cx.me.process);
                        if cx.node.clock.now() >= last_copy {
                            return Acquired::NotRun("no other agent can keep a copy of the claim");
                        }
                        pause = SILENCE_PAUSE;
                    }
                }
            }
            Some(ClaimAnswer::Granted) => return Acquired::Granted(ring.epoch),
            Some(ClaimAnswer::Held(holder)) => return Acquired::Held(holder),
            Some(ClaimAnswer::OtherEpoch(theirs)) => {
                reconcile_rings(cx, authority, ring, theirs).await;
            }
            Some(ClaimAnswer::Unknown) => {
                return Acquired::Unknown("agents that may have run it are lost");
            }
            Some(ClaimAnswer::NotAuthority) => {}
            None if fetch_newer_ring(cx, &ring, authority).await => {}
            None if cx.node.clock.now() < last_repeat => pause = SILENCE_PAUSE,
            None => return Acquired::Unknown("the authority of its key does not answer"),
        }
    }
    Acquired::Unknown("the ring of agents keeps changing")
}

async fn request_claim(
    cx: &AgentContext,
    authority: RingMember,
    key: ClaimKey,
    epoch: Epoch,
) -> Option<ClaimAnswer> {
    match send_peer_request(cx, authority, PeerRequest::Claim { key, epoch, by: cx.me }).await {
        Some(Reply::Claim(answer)) => Some(answer),
        _ => None,
    }
}

/// Asks the other agents except `silent` for a newer ring, adopts the first and returns whether one came.
async fn fetch_newer_ring(cx: &AgentContext, mine: &Ring, silent: RingMember) -> bool {
    for member in &mine.members {
        if member.process == cx.me.process || *member == silent || is_down(cx, *member) {
            continue;
        }
        if let Some(Reply::Ring(theirs)) =
            send_peer_request(cx, *member, PeerRequest::Ring(mine.clone())).await
            && cx.ledger.adopt(theirs).await
        {
            return true;
        }
    }
    false
}

/// Brings the agent that is in the older epoch, this one or `other`, to the newer ring.
async fn reconcile_rings(cx: &AgentContext, other: RingMember, mine: Ring, theirs: Ring) {
    if theirs.epoch > mine.epoch {
        cx.ledger.adopt(theirs).await;
    } else if other.process != cx.me.process {
        let _ = send_peer_request(cx, other, PeerRequest::Ring(mine)).await;
    }
}

/// Stores a copy of a grant that this agent gave itself at one other agent.
///
/// Returns `Some(false)` if the epochs of the two differ, and `None` if no other agent can be reached.
async fn replicate_claim(cx: &AgentContext, key: ClaimKey, ring: &Ring) -> Option<bool> {
    let others: Vec<RingMember> =
        ring.members.iter().filter(|m| m.process != cx.me.process).copied().collect();
    if others.is_empty() {
        return Some(true);
    }
    let first = cx.ledger.copy_keeper(key).await;
    let rest = others.into_iter().filter(|m| Some(*m) != first);
    for keeper in first.into_iter().chain(rest) {
        let copy = PeerRequest::Copy { key, epoch: ring.epoch, holder: cx.me };
        match send_peer_request(cx, keeper, copy).await {
            Some(Reply::Copied(true)) => return Some(true),
            Some(Reply::Copied(false)) => {
                let answer = send_peer_request(cx, keeper, PeerRequest::Ring(ring.clone())).await;
                if let Some(Reply::Ring(theirs)) = answer {
                    cx.ledger.adopt(theirs).await;
                }
                return Some(false);
            }
            _ => {}
        }
    }
    None
}

/// Decides a claim as the authority, and asks other agents where needed.
async fn decide_claim(
    cx: &AgentContext,
    key: ClaimKey,
    epoch: Epoch,
    by: RingMember,
) -> Option<ClaimAnswer> {
    let mut findings: Vec<Finding> = Vec::new();
    let mut claim = cx.ledger.claim(key, epoch, by).await;
    for _ in 0..MAX_CONSULT_ROUNDS {
        match claim {
            Claim::Answer(answer) => return Some(answer),
            Claim::Consult(agents) => {
                let asked = agents.into_iter().map(|agent| inquire(cx, agent, key, epoch));
                findings.extend(join_all(asked).await);
                claim = cx.ledger.consulted(key, epoch, by, findings.clone()).await;
            }
        }
    }
    Some(ClaimAnswer::Unknown)
}

/// Asks one agent about a key; if the agent is in an older epoch, sends it the ring and asks again.
async fn inquire(cx: &AgentContext, agent: RingMember, key: ClaimKey, epoch: Epoch) -> Finding {
    for _ in 0..2 {
        match send_peer_request(cx, agent, PeerRequest::Inquire { key, epoch }).await {
            Some(Reply::Inquiry(Inquiry::OldEpoch)) => {
                let (ring, _) = cx.ledger.ring().await;
                let _ = send_peer_request(cx, agent, PeerRequest::Ring(ring)).await;
            }
            Some(Reply::Inquiry(Inquiry::NewerEpoch(ring))) => {
                cx.ledger.adopt(ring).await;
                break;
            }
            Some(Reply::Inquiry(answer)) => return Finding { asked: agent, answer: Some(answer) },
            _ => break,
        }
    }
    Finding { asked: agent, answer: None }
}

/// Releases a claim that was not used.
pub async fn release(cx: &AgentContext, key: ClaimKey) {
    cx.ledger.release(key, cx.me.process);
    if let Some(authority) = cx.ledger.authority(key).await
        && authority.process != cx.me.process
    {
        let _ =
            send_peer_request(cx, authority, PeerRequest::Release { key, by: cx.me.process }).await;
    }
}

/// Answers requests of other agents until the process ends.
pub(crate) async fn serve_requests(
    cx: AgentContext,
    peer_requests: flume::Receiver<IncomingPeerRequest>,
) {
    while let Ok(request) = peer_requests.recv_async().await {
        if request.service == cx.service {
            compio::runtime::spawn(answer(cx.clone(), request)).detach();
        }
    }
}

async fn answer(cx: AgentContext, request: IncomingPeerRequest) {
    let reply = match request.ask.clone() {
        PeerRequest::Claim { key, epoch, by } => match decide_claim(&cx, key, epoch, by).await {
            Some(answer) => Reply::Claim(answer),
            None => return,
        },
        PeerRequest::Inquire { key, epoch } => Reply::Inquiry(cx.ledger.inquire(key, epoch).await),
        PeerRequest::Copy { key, epoch, holder } => {
            Reply::Copied(cx.ledger.keep_copy(key, epoch, holder).await)
        }
        PeerRequest::Release { key, by } => {
            cx.ledger.release(key, by);
            Reply::Done
        }
        PeerRequest::Ring(ring) => {
            cx.ledger.adopt(ring).await;
            Reply::Ring(cx.ledger.ring().await.0)
        }
        PeerRequest::HandOver(records) => {
            cx.ledger.take_over(records);
            Reply::Done
        }
    };
    cx.node.reply(&request, reply);
}
