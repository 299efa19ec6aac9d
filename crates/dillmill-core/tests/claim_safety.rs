//! No key is dispatched twice, and "not run" is true, whatever is lost, frozen or changed.
//!
//! `Model` walks random interleavings of the real ledgers: every question between agents is a step
//! of its own, between any two steps an agent may crash, freeze or thaw, and the ring may change.

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
struct Try {
    key: u8,
    runner: RingMember,
    stage: Stage,
}

struct Agent {
    ledger: ClaimLedger,
    frozen: bool,
}

/// Which safeguard is left out, to show that the model finds what it is there for.
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
    tries: Vec<Try>,
    dispatched: BTreeMap<u8, u32>,
    next: u64,
    rng: SmallRng,
    without: Without,
    granted: u32,
    false_not_run: u32,
}

impl Model {
    fn new(seed: u64, agents: u64, without: Without) -> Self {
        let mut model = Self {
            agents: BTreeMap::new(),
            ring: Ring::default(),
            tries: Vec::new(),
            dispatched: BTreeMap::new(),
            next: 1,
            rng: SmallRng::seed_from_u64(seed),
            without,
            granted: 0,
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

    /// A member is taken out of the ring by another: rightly or wrongly held for lost.
    fn take_out(&mut self, process: ProcessId) {
        let Some(by) = self.awake(process) else { return };
        let agent = self.agents.get_mut(&by).unwrap();
        agent.ledger.adopt(self.ring.clone(), now());
        let live = agent.ledger.live_since(now());
        self.ring = self.ring.changed(&[], &[process], live);
        agent.ledger.adopt(self.ring.clone(), now());
    }

    /// An agent leaves as planned: it ends its tries, leaves the ring, passes its records on.
    fn leave(&mut self) {
        let Some(process) = self.awake(ProcessId(0)) else { return };
        let busy = |t: &Try| {
            t.runner.process == process
                || matches!(&t.stage, Stage::Consulting { at, .. } if at.process == process)
        };
        if self.tries.iter().any(busy) {
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
        if self.pass_on(process, true) {
            self.ring = self.ring.with_handed_over(process);
        }
        self.agents.remove(&process);
    }

    /// An agent that was alone in a past ring passes its records on, so that its loss does not
    /// leave every key unknown.
    fn cover(&mut self) {
        let Some(process) = self.awake(ProcessId(0)) else { return };
        if self.ring.members.len() < 2 || !self.ring.past.iter().any(|p| p.is_sole_member(process))
        {
            return;
        }
        let ring = self.ring.clone();
        self.agents.get_mut(&process).unwrap().ledger.adopt(ring, now());
        if self.pass_on(process, false) {
            self.ring = self.ring.without_sole_rings(process);
        }
    }

    fn pass_on(&mut self, process: ProcessId, leaving: bool) -> bool {
        let parts = self.agents[&process].ledger.hand_over(leaving);
        let ring = self.ring.clone();
        parts.into_iter().all(|(heir, records)| {
            let taken = self.at(heir, |l| {
                l.adopt(ring.clone(), now());
                l.take_over(&records, now());
            });
            taken.is_some()
        })
    }

    /// Returns an awake agent of the ring other than `but`.
    fn awake(&mut self, but: ProcessId) -> Option<ProcessId> {
        let awake: Vec<ProcessId> = self
            .ring
            .members
            .iter()
            .map(|m| m.process)
            .filter(|p| *p != but && self.agents.get(p).is_some_and(|a| !a.frozen))
            .collect();
        awake.choose(&mut self.rng).copied()
    }

    /// Asks an agent's ledger, if it can be reached.
    fn at<T>(&mut self, m: RingMember, ask: impl FnOnce(&mut ClaimLedger) -> T) -> Option<T> {
        let agent = self.agents.get_mut(&m.process)?;
        (!agent.frozen).then(|| ask(&mut agent.ledger))
    }

    fn step(&mut self) {
        let crowded = self.ring.members.len() > 3;
        match self.rng.random_range(0..100) {
            0..6 => self.start_try(),
            6 if crowded => self.crash(),
            7..9 => self.freeze_or_thaw(),
            9 if crowded => {
                let process = self.ring.members.choose(&mut self.rng).unwrap().process;
                self.take_out(process);
            }
            10 => self.join(),
            11 => self.gossip_ring(),
            12 if crowded => self.leave(),
            13 => self.cover(),
            _ => self.advance_try(),
        }
    }

    fn start_try(&mut self) {
        if let Some(process) = self.awake(ProcessId(0)) {
            let key = self.rng.random_range(0..KEYS);
            let runner = *self.ring.members.iter().find(|m| m.process == process).unwrap();
            // An agent has one try of a key at a time: a second one waits for the first, and one
            // that comes after a dispatch is answered from its record.
            let under_way = self.tries.iter().any(|t| t.key == key && t.runner == runner);
            if !under_way && self.agents[&process].ledger.phase(self::key(key)).is_none() {
                self.tries.push(Try { key, runner, stage: Stage::Claiming });
            }
        }
    }

    fn crash(&mut self) {
        let process = self.ring.members.choose(&mut self.rng).unwrap().process;
        self.agents.remove(&process);
        self.tries.retain(|t| t.runner.process != process);
    }

    fn freeze_or_thaw(&mut self) {
        let all: Vec<ProcessId> = self.agents.keys().copied().collect();
        let Some(&process) = all.choose(&mut self.rng) else { return };
        let agent = self.agents.get_mut(&process).unwrap();
        agent.frozen = !agent.frozen;
    }

    fn gossip_ring(&mut self) {
        let ring = self.ring.clone();
        if let Some(process) = self.awake(ProcessId(0)) {
            self.agents.get_mut(&process).unwrap().ledger.adopt(ring, now());
        }
    }

    fn advance_try(&mut self) {
        if self.tries.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.tries.len());
        let one = self.tries.swap_remove(i);
        if self.agents.get(&one.runner.process).is_some_and(|a| a.frozen) {
            self.tries.push(one);
            return;
        }
        if let Some(next) = self.advance(one) {
            self.tries.push(next);
        }
    }

    fn advance(&mut self, one: Try) -> Option<Try> {
        let Try { key: n, runner, stage } = one;
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
        Some(Try { key: n, runner, stage })
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
        // The authority itself may be gone or frozen in the middle of asking.
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
        for keeper in others.collect::<Vec<_>>() {
            match self.at(keeper, |l| l.keep_copy(key(n), epoch, runner, now())) {
                Some(true) => return Some(Stage::Granted { epoch }),
                Some(false) => return Some(Stage::Claiming),
                None => {}
            }
        }
        None
    }

    /// The runner's queue is full: it tells its caller "not run" and gives up the claim.
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
            self.granted += 1;
            *self.dispatched.entry(n).or_default() += 1;
            if done {
                self.at(runner, |l| l.end(key(n), Phase::Done, now()));
            }
        }
    }
}

/// Walks `seeds` interleavings; returns how many dispatched a key twice or told "not run" of a
/// dispatched one, and all dispatches.
fn explore(seeds: std::ops::Range<u64>, agents: u64, without: Without) -> (u32, u32) {
    let (mut doubled, mut dispatches) = (0, 0);
    for seed in seeds {
        let mut model = Model::new(seed, agents, without);
        for _ in 0..600 {
            model.step();
        }
        let twice = model.dispatched.values().any(|n| *n > 1);
        doubled += u32::from(twice || model.false_not_run > 0);
        dispatches += model.granted;
    }
    (doubled, dispatches)
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
#[case::nine(9)]
fn never_dispatched_twice(#[case] agents: u64) {
    let (doubled, dispatches) = explore(0..1500, agents, Without::Nothing);
    assert_eq!(doubled, 0);
    assert!(dispatches > 1500, "only {dispatches} dispatches: the model does not move");
}

/// Each safeguard matters: without it the same walks do dispatch a key twice.
#[rstest]
#[case(Without::Copies)]
#[case(Without::EpochCheck)]
#[case(Without::Consulting)]
fn safeguards_needed(#[case] without: Without) {
    let (doubled, _) = explore(0..1500, 5, without);
    assert!(doubled > 0, "{without:?} made no difference");
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
fn second_claim_told_holder() {
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
fn dispatched_key_stays() {
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
fn lone_agent_lost_means_unknown() {
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
    let heir = &leaver.authority(k).unwrap();
    let records = &parts[heir];
    let mut heir_ledger = ledger(heir.process.0, &ring);
    heir_ledger.adopt(next.clone(), now());
    heir_ledger.take_over(records, now());
    let last = next.with_handed_over(ProcessId(1));
    heir_ledger.adopt(last.clone(), now());
    let other = last.members.iter().find(|m| m.process != heir.process).unwrap();
    let claim = heir_ledger.claim(k, last.epoch, *other, now());
    assert_eq!(claim, Claim::Answer(ClaimAnswer::Held(*heir)));
    assert_eq!(heir_ledger.phase(k), Some(Phase::Done));
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

/// Found by a scenario in which six agents start at once: another agent had changed the ring between two reads, and
/// a number of rings to keep, counted in the earlier one, dropped a live one of the later.
#[test]
fn ring_changed_by_two_at_once_keeps_live_ones() {
    let alone = ring_of(1);
    let seen = alone.changed(&[member(2)], &[], Epoch::default());
    let meanwhile = seen.changed(&[member(3)], &[], Epoch::default());
    let mut ledger = ClaimLedger::new(member(4), WINDOW);
    ledger.adopt(seen, now());
    let next = meanwhile.changed(&[member(4)], &[], ledger.live_since(now()));
    assert!(next.past.iter().any(|past| past.is_sole_member(ProcessId(1))), "{:?}", next.past);
}
