//! Messages between agents that settle who may dispatch a key.

use std::time::Duration;

use dillmill_core::claims::{
    Claim, ClaimAnswer, ClaimKey, Epoch, Finding, Inquiry, Ring, RingMember,
};
use dillmill_core::{MemberStatus, Timestamp};
use dillmill_node::Question;
use dillmill_wire::{PeerRequest, Reply};
use futures_util::future::join_all;

use crate::context::AgentContext;

/// Times that an authority consults other agents for one claim.
const MAX_CONSULTED: usize = 6;
/// Shortest pause before a claim is made again.
const ROUND_PAUSE_MIN: Duration = Duration::from_millis(2);
/// Longest pause before a claim is made again.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(50);
/// Time for a question that the asked agent answers from what it has.
const PATIENCE: Duration = Duration::from_millis(500);
/// Time for a claim: the authority may have to ask others, twice.
const CLAIM_PATIENCE: Duration = Duration::from_millis(2500);
/// Time for an agent that is held for down: it may be back.
const DOWN_PATIENCE: Duration = Duration::from_millis(120);

/// What came of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acquired {
    /// This agent may dispatch in the given epoch.
    Granted(Epoch),
    /// Another agent holds the key.
    Held(RingMember),
    /// This agent is not in the ring; the given one is.
    NotInRing(RingMember),
    /// This agent may not dispatch, and no one else has or will under this claim.
    NotRun(&'static str),
    /// It can't be told who has dispatched the key.
    Unknown(&'static str),
}

/// Asks an agent of the service; less patiently one that is held for down.
pub(crate) async fn ask(cx: &AgentContext, to: RingMember, ask: PeerRequest) -> Option<Reply> {
    let patience = match (&ask, is_down(cx, to)) {
        (_, true) => DOWN_PATIENCE,
        (PeerRequest::Claim { .. }, false) => CLAIM_PATIENCE,
        (_, false) => PATIENCE,
    };
    cx.node.ask(to, &cx.service, ask, patience).await.ok()
}

fn is_down(cx: &AgentContext, agent: RingMember) -> bool {
    let view = cx.view();
    view.member(agent.process).is_none_or(|m| m.status == MemberStatus::Down)
}

/// Claims `key` for this agent, again after each change of the ring until `deadline`.
///
/// Agents that leave together change the ring one after the other, faster than a busy one claims.
pub async fn acquire(cx: &AgentContext, key: ClaimKey, deadline: Timestamp) -> Acquired {
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
            claim_here(cx, key, ring.epoch, cx.me).await
        } else {
            claim_at(cx, authority, key, ring.epoch).await
        };
        match answer {
            Some(ClaimAnswer::Granted) if authority.process == cx.me.process => {
                match leave_copy(cx, key, &ring).await {
                    Some(true) => return Acquired::Granted(ring.epoch),
                    Some(false) => {}
                    None => {
                        cx.ledger.release(key, cx.me.process);
                        return Acquired::NotRun("no other agent can keep a copy of the claim");
                    }
                }
            }
            Some(ClaimAnswer::Granted) => return Acquired::Granted(ring.epoch),
            Some(ClaimAnswer::Held(holder)) => return Acquired::Held(holder),
            Some(ClaimAnswer::OtherEpoch(theirs)) => {
                settle_epoch(cx, authority, ring, theirs).await;
            }
            Some(ClaimAnswer::Unknown) => {
                return Acquired::Unknown("agents that may have run it are lost");
            }
            Some(ClaimAnswer::NotAuthority) => {}
            None if newer_ring(cx, &ring, authority).await => {}
            None => return Acquired::Unknown("the authority of its key does not answer"),
        }
    }
    Acquired::Unknown("the ring of agents keeps changing")
}

async fn claim_at(
    cx: &AgentContext,
    authority: RingMember,
    key: ClaimKey,
    epoch: Epoch,
) -> Option<ClaimAnswer> {
    match ask(cx, authority, PeerRequest::Claim { key, epoch, by: cx.me }).await {
        Some(Reply::Claim(answer)) => Some(answer),
        _ => None,
    }
}

/// Asks the other agents whether there is a newer ring, and adopts it.
async fn newer_ring(cx: &AgentContext, mine: &Ring, silent: RingMember) -> bool {
    for member in &mine.members {
        if member.process == cx.me.process || *member == silent || is_down(cx, *member) {
            continue;
        }
        if let Some(Reply::Ring(theirs)) = ask(cx, *member, PeerRequest::Ring(mine.clone())).await
            && cx.ledger.adopt(theirs).await
        {
            return true;
        }
    }
    false
}

/// Whichever of two agents is in the older epoch takes the newer ring.
async fn settle_epoch(cx: &AgentContext, other: RingMember, mine: Ring, theirs: Ring) {
    if theirs.epoch > mine.epoch {
        cx.ledger.adopt(theirs).await;
    } else if other.process != cx.me.process {
        let _ = ask(cx, other, PeerRequest::Ring(mine)).await;
    }
}

/// Leaves a copy of a grant to itself with one other agent.
///
/// `Some(false)` means that an epoch has changed, `None` that nobody can be reached.
async fn leave_copy(cx: &AgentContext, key: ClaimKey, ring: &Ring) -> Option<bool> {
    let others: Vec<RingMember> =
        ring.members.iter().filter(|m| m.process != cx.me.process).copied().collect();
    if others.is_empty() {
        return Some(true);
    }
    let first = cx.ledger.copy_keeper(key).await;
    let rest = others.into_iter().filter(|m| Some(*m) != first);
    for keeper in first.into_iter().chain(rest) {
        let copy = PeerRequest::Copy { key, epoch: ring.epoch, holder: cx.me };
        match ask(cx, keeper, copy).await {
            Some(Reply::Copied(true)) => return Some(true),
            Some(Reply::Copied(false)) => {
                let answer = ask(cx, keeper, PeerRequest::Ring(ring.clone())).await;
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

/// Decides a claim as the authority, asking other agents where that is needed.
async fn claim_here(
    cx: &AgentContext,
    key: ClaimKey,
    epoch: Epoch,
    by: RingMember,
) -> Option<ClaimAnswer> {
    let mut findings: Vec<Finding> = Vec::new();
    let mut claim = cx.ledger.claim(key, epoch, by).await;
    for _ in 0..MAX_CONSULTED {
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

/// Asks one agent about a key; brings it to our epoch first if it is behind.
async fn inquire(cx: &AgentContext, agent: RingMember, key: ClaimKey, epoch: Epoch) -> Finding {
    for _ in 0..2 {
        match ask(cx, agent, PeerRequest::Inquire { key, epoch }).await {
            Some(Reply::Inquiry(Inquiry::OldEpoch)) => {
                let (ring, _) = cx.ledger.ring().await;
                let _ = ask(cx, agent, PeerRequest::Ring(ring)).await;
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

/// Gives up a claim that was not used.
pub async fn release(cx: &AgentContext, key: ClaimKey) {
    cx.ledger.release(key, cx.me.process);
    if let Some(authority) = cx.ledger.authority(key).await
        && authority.process != cx.me.process
    {
        let _ = ask(cx, authority, PeerRequest::Release { key, by: cx.me.process }).await;
    }
}

/// Answers questions of other agents until the process ends.
pub(crate) async fn answer_all(cx: AgentContext, questions: flume::Receiver<Question>) {
    while let Ok(question) = questions.recv_async().await {
        if question.service == cx.service {
            compio::runtime::spawn(answer(cx.clone(), question)).detach();
        }
    }
}

async fn answer(cx: AgentContext, question: Question) {
    let reply = match question.ask.clone() {
        PeerRequest::Claim { key, epoch, by } => match claim_here(&cx, key, epoch, by).await {
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
    cx.node.reply(&question, reply);
}
