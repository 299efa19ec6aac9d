//! Tests that no key is dispatched twice, and that "not run" is true, whatever agents crash or are
//! paused and however the ring changes.
//!
//! `Model` runs random interleavings of the real ledgers: every request between agents is a step of
//! its own, and between any two steps an agent may crash, pause or resume and the ring may change.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dillmill_core::claims::{
    BeginError, Claim, ClaimAnswer, ClaimKey, ClaimLedger, Epoch, Finding, Inquiry, Phase, Ring,
    RingMember,
};
use dillmill_core::{ProcessId, Timestamp};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW: Duration = Duration::from_mins(10);
const KEYS: u8 = 3;

fn member(n: u64) -> RingMember {
    let octet = u8::try_from(n % 200).unwrap();
    let control = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, octet), 7000);
    RingMember { process: ProcessId(n), control }
}

fn key(n: u8) -> ClaimKey {
    ClaimKey([n; 16])
}

fn now() -> Timestamp {
    Timestamp::from_millis(1000)
}

#[derive(Debug, Clone)]
enum Stage {
    Claiming,
    Consulting { at: RingMember, epoch: Epoch, ask: Vec<RingMember>, found: Vec<Finding> },
    Copying { epoch: Epoch },
    Granted { epoch: Epoch },
}

#[derive(Debug, Clone)]
struct Attempt {
    key: u8,
    runner: RingMember,
    stage: Stage,
}

struct Agent {
    ledger: ClaimLedger,
    frozen: bool,
}

/// The safeguard that is left out, to show that the model detects its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    Copies,
    EpochCheck,
    Consulting,
}

struct Model {
    agents: BTreeMap<ProcessId, Agent>,
    ring: Ring,
    attempts: Vec<Attempt>,
    dispatched: BTreeMap<u8, u32>,
    next: u64,
    rng: SmallRng,
    without: Without,
    dispatch_count: u32,
    false_not_run: u32,
}

impl Model {
    fn new(seed: u64, agents: u64, without: Without) -> Self {
        let mut model = Self {
            agents: BTreeMap::new(),
            ring: Ring::default(),
            attempts: Vec::new(),
            dispatched: BTreeMap::new(),
            next: 1,
            rng: SmallRng::seed_from_u64(seed),
            without,
            dispatch_count: 0,
            false_not_run: 0,
        };
        for _ in 0..agents {
            model.join();
        }
        model
    }

    fn join(&mut self) {
        let me = member(self.next);
        self.next += 1;
        let mut ledger = ClaimLedger::new(me, WINDOW);
        ledger.adopt(self.ring.clone(), now());
        let live = ledger.live_since(now());
        self.ring = self.ring.changed(&[me], &[], live);
        ledger.adopt(self.ring.clone(), now());
        self.agents.insert(me.process, Agent { ledger, frozen: false });
    }

    /// Has an agent remove another one from the ring as lost, rightly or wrongly.
    fn remove_from_ring(&mut self, process: ProcessId) {
        let Some(by) = self.pick_running(process) else { return };
        let agent = self.agents.get_mut(&by).unwrap();
        agent.ledger.adopt(self.ring.clone(), now());
        let live = agent.ledger.live_since(now());
        self.ring = self.ring.changed(&[], &[process], live);
        agent.ledger.adopt(self.ring.clone(), now());
    }

    /// Has an agent leave as planned: it has no attempts in progress, leaves the ring and hands its
    /// records over.
    fn leave(&mut self) {
        let Some(process) = self.pick_running(ProcessId(0)) else { return };
        let busy = |t: &Attempt| {
            t.runner.process == process
                || matches!(&t.stage, Stage::Consulting { at, .. } if at.process == process)
        };
        if self.attempts.iter().any(busy) {
            return;
        }
        let next = {
            let ledger = &mut self.agents.get_mut(&process).unwrap().ledger;
            ledger.adopt(self.ring.clone(), now());
            let live = ledger.live_since(now());
            let next = self.ring.changed(&[], &[process], live);
            ledger.adopt(next.clone(), now());
            next
        };
        self.ring = next;
        if self.hand_over_records(process, true) {
            self.ring = self.ring.with_handed_over(process);
        }
        self.agents.remove(&process);
    }

    /// Has an agent that was the sole member of a past ring hand its records over, so that its loss
    /// does not leave every key unknown.
    fn back_up_sole_rings(&mut self) {
        let Some(process) = self.pick_running(ProcessId(0)) else { return };
        if self.ring.members.len() < 2 || !self.ring.past.iter().any(|p| p.is_sole_member(process))
        {
            return;
        }
        let ring = self.ring.clone();
        self.agents.get_mut(&process).unwrap().ledger.adopt(ring, now());
        if self.hand_over_records(process, false) {
            self.ring = self.ring.without_sole_rings(process);
        }
    }

    fn hand_over_records(&mut self, process: ProcessId, leaving: bool) -> bool {
        let parts = self.agents[&process].ledger.hand_over(leaving);
        let ring = self.ring.clone();
        parts.into_iter().all(|(successor, records)| {
            let taken = self.at(successor, |l| {
                l.adopt(ring.clone(), now());
                l.take_over(&records, now());
            });
            taken.is_some()
        })
    }

    /// Returns a random agent of the ring that is not paused, other than `except`.
    fn pick_running(&mut self, except: ProcessId) -> Option<ProcessId> {
        let pick_running: Vec<ProcessId> = self
            .ring
            .members
            .iter()
            .map(|m| m.process)
            .filter(|p| *p != except && self.agents.get(p).is_some_and(|a| !a.frozen))
            .collect();
        pick_running.choose(&mut self.rng).copied()
    }

    /// Sends a request to an agent's ledger, unless the agent is gone or paused.
    fn at<T>(&mut self, m: RingMember, ask: impl FnOnce(&mut ClaimLedger) -> T) -> Option<T> {
        let agent = self.agents.get_mut(&m.process)?;
        (!agent.frozen).then(|| ask(&mut agent.ledger))
    }

    fn step(&mut self) {
        let large_ring = self.ring.members.len() > 3;
        match self.rng.random_range(0..100) {
            0..6 => self.start_attempt(),
            6 if large_ring => self.crash(),
            7..9 => self.freeze_or_thaw(),
            9 if large_ring => {
                let process = self.ring.members.choose(&mut self.rng).unwrap().process;
                self.remove_from_ring(process);
            }
            10 => self.join(),
            11 => self.gossip_ring(),
            12 if large_ring => self.leave(),
            13 => self.back_up_sole_rings(),
            _ => self.advance_attempt(),
        }
    }

    fn start_attempt(&mut self) {
        if let Some(process) = self.pick_running(ProcessId(0)) {
            let key = self.rng.random_range(0..KEYS);
            let runner = *self.ring.members.iter().find(|m| m.process == process).unwrap();
            // An agent makes one attempt for a key at a time: a second request waits for the first,
            // and a request after a dispatch is answered from the record.
            let under_way = self.attempts.iter().any(|t| t.key == key && t.runner == runner);
            if !under_way && self.agents[&process].ledger.phase(self::key(key)).is_none() {
                self.attempts.push(Attempt { key, runner, stage: Stage::Claiming });
            }
        }
    }

    fn crash(&mut self) {
        let process = self.ring.members.choose(&mut self.rng).unwrap().process;
        self.agents.remove(&process);
        self.attempts.retain(|t| t.runner.process != process);
    }

    fn freeze_or_thaw(&mut self) {
        let all: Vec<ProcessId> = self.agents.keys().copied().collect();
        let Some(&process) = all.choose(&mut self.rng) else { return };
        let agent = self.agents.get_mut(&process).unwrap();
        agent.frozen = !agent.frozen;
    }

    fn gossip_ring(&mut self) {
        let ring = self.ring.clone();
        if let Some(process) = self.pick_running(ProcessId(0)) {
            self.agents.get_mut(&process).unwrap().ledger.adopt(ring, now());
        }
    }

    fn advance_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.attempts.len());
        let attempt = self.attempts.swap_remove(i);
        if self.agents.get(&attempt.runner.process).is_some_and(|a| a.frozen) {
            self.attempts.push(attempt);
            return;
        }
        if let Some(next) = self.advance(attempt) {
            self.attempts.push(next);
        }
    }

    fn advance(&mut self, attempt: Attempt) -> Option<Attempt> {
        let Attempt { key: n, runner, stage } = attempt;
        let stage = match stage {
            Stage::Claiming => self.claim(n, runner)?,
            Stage::Consulting { at, epoch, ask, found } => {
                self.consult(n, runner, at, epoch, ask, found)?
            }
            Stage::Copying { epoch } => self.copy(n, runner, epoch)?,
            Stage::Granted { epoch } if self.rng.random_bool(0.2) => {
                self.refuse(n, runner, epoch);
                return None;
            }
            Stage::Granted { epoch } => {
                self.dispatch(n, runner, epoch);
                return None;
            }
        };
        Some(Attempt { key: n, runner, stage })
    }

    fn claim(&mut self, n: u8, runner: RingMember) -> Option<Stage> {
        let ledger = &self.agents[&runner.process].ledger;
        let (ring, authority) = (ledger.ring().clone(), ledger.authority(key(n))?);
        if !ring.contains(runner.process) {
            return None;
        }
        let claim = self.at(authority, |l| l.claim(key(n), ring.epoch, runner, now()))?;
        self.after_claim(n, runner, authority, ring.epoch, claim, Vec::new())
    }

    fn after_claim(
        &mut self,
        n: u8,
        runner: RingMember,
        at: RingMember,
        epoch: Epoch,
        claim: Claim,
        found: Vec<Finding>,
    ) -> Option<Stage> {
        match claim {
            Claim::Consult(_) if self.without == Without::Consulting => {
                Some(Stage::Granted { epoch })
            }
            Claim::Consult(ask) => Some(Stage::Consulting { at, epoch, ask, found }),
            Claim::Answer(ClaimAnswer::Granted)
                if at == runner && self.without != Without::Copies =>
            {
                Some(Stage::Copying { epoch })
            }
            Claim::Answer(ClaimAnswer::Granted) => Some(Stage::Granted { epoch }),
            Claim::Answer(ClaimAnswer::OtherEpoch(theirs)) => {
                let mine = self.agents[&runner.process].ledger.ring().clone();
                self.at(runner, |l| l.adopt(theirs, now()));
                self.at(at, |l| l.adopt(mine, now()));
                Some(Stage::Claiming)
            }
            Claim::Answer(ClaimAnswer::NotAuthority) => {
                let _ = n;
                Some(Stage::Claiming)
            }
            Claim::Answer(ClaimAnswer::Held(_) | ClaimAnswer::Unknown) => None,
        }
    }

    fn consult(
        &mut self,
        n: u8,
        runner: RingMember,
        at: RingMember,
        epoch: Epoch,
        mut ask: Vec<RingMember>,
        mut found: Vec<Finding>,
    ) -> Option<Stage> {
        // The authority itself may crash or be paused while it consults others.
        if !self.agents.contains_key(&at.process) {
            return None;
        }
        if self.agents[&at.process].frozen {
            return Some(Stage::Consulting { at, epoch, ask, found });
        }
        if let Some(asked) = ask.pop() {
            let ring = self.agents[&at.process].ledger.ring().clone();
            let answer = self.at(asked, |l| {
                if l.inquire(key(n), epoch) == Inquiry::OldEpoch {
                    l.adopt(ring, now());
                }
                l.inquire(key(n), epoch)
            });
            let answer = match answer {
                Some(Inquiry::NewerEpoch(ring)) => {
                    self.at(at, |l| l.adopt(ring, now()));
                    None
                }
                Some(Inquiry::OldEpoch) => None,
                other => other,
            };
            found.push(Finding { asked, answer });
            return Some(Stage::Consulting { at, epoch, ask, found });
        }
        let claim = self.at(at, |l| l.consulted(key(n), epoch, runner, &found, now()))?;
        self.after_claim(n, runner, at, epoch, claim, found)
    }

    fn copy(&mut self, n: u8, runner: RingMember, epoch: Epoch) -> Option<Stage> {
        let others = self.ring.members.iter().filter(|m| m.process != runner.process).copied();
        for copy_holder in others.collect::<Vec<_>>() {
            match self.at(copy_holder, |l| l.keep_copy(key(n), epoch, runner, now())) {
                Some(true) => return Some(Stage::Granted { epoch }),
                Some(false) => return Some(Stage::Claiming),
                None => {}
            }
        }
        None
    }

    /// Has the runner tell its caller "not run" because its queue is full, and release the claim.
    fn refuse(&mut self, n: u8, runner: RingMember, epoch: Epoch) {
        let current = self.agents[&runner.process].ledger.ring().epoch;
        if epoch != current {
            return;
        }
        self.false_not_run += self.dispatched.get(&n).copied().unwrap_or(0);
        let authority = self.agents[&runner.process].ledger.authority(key(n));
        self.at(runner, |l| l.release(key(n), runner.process));
        if let Some(authority) = authority {
            self.at(authority, |l| l.release(key(n), runner.process));
        }
    }

    fn dispatch(&mut self, n: u8, runner: RingMember, epoch: Epoch) {
        let without = self.without;
        let done = self.rng.random_bool(0.5);
        let begun = self.at(runner, |l| {
            let epoch = if without == Without::EpochCheck { l.ring().epoch } else { epoch };
            l.begin(key(n), epoch, now())
        });
        if begun == Some(Ok(())) {
            self.dispatch_count += 1;
            *self.dispatched.entry(n).or_default() += 1;
            if done {
                self.at(runner, |l| l.end(key(n), Phase::Done, now()));
            }
        }
    }
}

/// Runs one interleaving for each of `seeds`. Returns how many of them dispatched a key twice or
/// reported "not run" for a dispatched key, and the total number of dispatches.
fn explore(seeds: std::ops::Range<u64>, agents: u64, without: Without) -> (u32, u32) {
    let (mut violations, mut dispatches) = (0, 0);
    for seed in seeds {
        let mut model = Model::new(seed, agents, without);
        for _ in 0..600 {
            model.step();
        }
        let twice = model.dispatched.values().any(|n| *n > 1);
        violations += u32::from(twice || model.false_not_run > 0);
        dispatches += model.dispatch_count;
    }
    (violations, dispatches)
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
#[case::nine(9)]
fn never_dispatched_twice(#[case] agents: u64) {
    let (violations, dispatches) = explore(0..1500, agents, Without::Nothing);
    assert_eq!(violations, 0);
    assert!(dispatches > 1500, "only {dispatches} dispatches: the model makes no progress");
}

/// Each safeguard is needed: without it the same interleavings do dispatch a key twice.
#[rstest]
#[case(Without::Copies)]
#[case(Without::EpochCheck)]
#[case(Without::Consulting)]
fn safeguards_needed(#[case] without: Without) {
    let (violations, _) = explore(0..1500, 5, without);
    assert!(violations > 0, "leaving out {without:?} caused no violation");
}

fn ring_of(n: u64) -> Ring {
    (1..=n).fold(Ring::default(), |ring, i| ring.changed(&[member(i)], &[], ring.epoch))
}

fn ledger(n: u64, ring: &Ring) -> ClaimLedger {
    let mut ledger = ClaimLedger::new(member(n), WINDOW);
    ledger.adopt(Ring { past: Vec::new(), ..ring.clone() }, now());
    ledger
}

/// Returns a key whose authority among `n` agents is agent `wanted`.
fn key_of(ring: &Ring, wanted: u64) -> ClaimKey {
    let ledger = ledger(1, ring);
    (0..=255).map(key).find(|k| ledger.authority(*k) == Some(member(wanted))).unwrap()
}

#[test]
fn second_claim_names_holder() {
    let ring = ring_of(3);
    let mut authority = ledger(1, &ring);
    let k = key_of(&ring, 1);
    let first = authority.claim(k, ring.epoch, member(2), now());
    assert_eq!(first, Claim::Answer(ClaimAnswer::Granted));
    let second = authority.claim(k, ring.epoch, member(3), now());
    assert_eq!(second, Claim::Answer(ClaimAnswer::Held(member(2))));
}

#[test]
fn released_key_granted_again() {
    let ring = ring_of(3);
    let mut authority = ledger(1, &ring);
    let k = key_of(&ring, 1);
    authority.claim(k, ring.epoch, member(2), now());
    authority.release(k, ProcessId(2));
    let again = authority.claim(k, ring.epoch, member(3), now());
    assert_eq!(again, Claim::Answer(ClaimAnswer::Granted));
}

#[test]
fn dispatched_key_not_released() {
    let ring = ring_of(3);
    let mut runner = ledger(2, &ring);
    let k = key_of(&ring, 1);
    runner.begin(k, ring.epoch, now()).unwrap();
    runner.release(k, ProcessId(2));
    assert_eq!(runner.phase(k), Some(Phase::InFlight));
    assert_eq!(runner.begin(k, ring.epoch, now()), Err(BeginError::Dispatched));
}

#[test]
fn thawed_agent_refused() {
    let ring = ring_of(3);
    let mut frozen = ledger(2, &ring);
    let k = key_of(&ring, 1);
    let newer = ring.changed(&[], &[ProcessId(2)], Epoch::default());
    frozen.adopt(newer, now());
    assert_eq!(frozen.begin(k, ring.epoch, now()), Err(BeginError::StaleGrant));
}

#[test]
fn lost_sole_agent_unknown() {
    let ring = ring_of(1);
    let next = ring.changed(&[member(2), member(3)], &[ProcessId(1)], Epoch::default());
    let mut authority = ClaimLedger::new(member(2), WINDOW);
    authority.adopt(next.clone(), now());
    let k = (0..=255).map(key).find(|k| authority.authority(*k) == Some(member(2))).unwrap();
    let claim = authority.claim(k, next.epoch, member(3), now());
    assert_eq!(claim, Claim::Consult(vec![member(1)]));
    let found = [Finding { asked: member(1), answer: None }];
    let answer = authority.consulted(k, next.epoch, member(3), &found, now());
    assert_eq!(answer, Claim::Answer(ClaimAnswer::Unknown));
}

#[test]
fn records_outlive_planned_leave() {
    let ring = ring_of(3);
    let mut leaver = ledger(1, &ring);
    let k = key_of(&ring, 1);
    leaver.claim(k, ring.epoch, member(1), now());
    leaver.begin(k, ring.epoch, now()).unwrap();
    leaver.end(k, Phase::Done, now());
    let next = ring.changed(&[], &[ProcessId(1)], Epoch::default());
    leaver.adopt(next.clone(), now());
    let parts = leaver.hand_over(true);
    let successor = &leaver.authority(k).unwrap();
    let records = &parts[successor];
    let mut successor_ledger = ledger(successor.process.0, &ring);
    successor_ledger.adopt(next.clone(), now());
    successor_ledger.take_over(records, now());
    let last = next.with_handed_over(ProcessId(1));
    successor_ledger.adopt(last.clone(), now());
    let other = last.members.iter().find(|m| m.process != successor.process).unwrap();
    let claim = successor_ledger.claim(k, last.epoch, *other, now());
    assert_eq!(claim, Claim::Answer(ClaimAnswer::Held(*successor)));
    assert_eq!(successor_ledger.phase(k), Some(Phase::Done));
}

#[test]
fn old_rings_forgotten() {
    let mut ledger = ClaimLedger::new(member(1), WINDOW);
    let first = ring_of(2);
    ledger.adopt(first.clone(), now());
    let second = first.changed(&[member(3)], &[], Epoch::default());
    ledger.adopt(second.clone(), now());
    assert!(ledger.live_since(now()) < second.epoch);
    assert_eq!(ledger.live_since(now() + WINDOW), second.epoch);
}

/// When six agents started at once, another agent changed the ring between two reads of it. The
/// number of past rings to keep was counted in the earlier ring, which dropped a live one of the
/// later ring (found by a scenario).
#[test]
fn concurrent_change_keeps_live_rings() {
    let alone = ring_of(1);
    let seen = alone.changed(&[member(2)], &[], Epoch::default());
    let meanwhile = seen.changed(&[member(3)], &[], Epoch::default());
    let mut ledger = ClaimLedger::new(member(4), WINDOW);
    ledger.adopt(seen, now());
    let next = meanwhile.changed(&[member(4)], &[], ledger.live_since(now()));
    assert!(next.past.iter().any(|past| past.is_sole_member(ProcessId(1))), "{:?}", next.past);
}
