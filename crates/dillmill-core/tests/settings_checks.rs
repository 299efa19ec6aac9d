//! Tests that every process learns in time of changed settings, whichever other processes are lost.
//!
//! Guards against settings that come into force late: the processes that watched the store lost their
//! power at once, and the others waited until they had detected that (docs/incidents/lost-watchers.md).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use dillmill_core::{
    CheckOrder, CheckSchedule, Confirmation, Member, MemberStatus, ProcessId, Revision, Role,
    StoreReach, Timestamp, store_selection,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const LIMIT: Duration = Duration::from_secs(3);
/// Maximum age of a confirmation: a change must be in force within [`LIMIT`].
const MAX_AGE: Duration = Duration::from_millis(2500);
/// Interval at which a process decides whether a check is due.
const POLL_MS: u64 = 100;
const STORE_CALL: Duration = Duration::from_millis(5);
const FANOUT: usize = 4;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll { at: usize },
    Checked { at: usize, asked: Timestamp },
    Told { at: usize, age_ms: u32, hops_left: u8 },
}

struct Process {
    schedule: CheckSchedule,
    confirmed: Timestamp,
    alive: bool,
    checking: bool,
}

/// Processes that check the store in the order of their index, and gossip over a network.
struct Fleet {
    processes: Vec<Process>,
    events: BinaryHeap<Reverse<(Timestamp, usize, Event)>>,
    transit: Duration,
    store_answers: bool,
    checks: usize,
    rng: StdRng,
    scheduled: usize,
    now: Timestamp,
}

impl Fleet {
    fn new(size: usize, transit: Duration) -> Self {
        let process = || Process {
            schedule: CheckSchedule::new(LIMIT),
            confirmed: START,
            alive: true,
            checking: false,
        };
        let mut fleet = Self {
            processes: (0..size).map(|_| process()).collect(),
            events: BinaryHeap::new(),
            transit,
            store_answers: true,
            checks: 0,
            rng: StdRng::seed_from_u64(7),
            scheduled: 0,
            now: START,
        };
        for at in 0..size {
            let offset = fleet.rng.random_range(0..POLL_MS);
            fleet.schedule(ms(offset), Event::Poll { at });
        }
        fleet
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now + after, self.scheduled, event)));
    }

    /// Runs for `span`, and returns the greatest age of a live process's confirmation.
    fn run(&mut self, span: Duration) -> Duration {
        let end = self.now + span;
        let mut oldest = Duration::ZERO;
        while self.events.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            if let Event::Poll { at } = event {
                let process = &self.processes[at];
                if process.alive {
                    oldest = oldest.max(self.now.since(process.confirmed));
                }
            }
            self.handle(event);
        }
        self.now = end;
        oldest
    }

    fn handle(&mut self, event: Event) {
        let (now, all) = (self.now, self.processes.len());
        match event {
            Event::Poll { at } => {
                self.schedule(ms(POLL_MS), Event::Poll { at });
                let process = &mut self.processes[at];
                let order = CheckOrder { before: at, all };
                let due = process.schedule.is_due(order, process.confirmed, now);
                if !process.alive || process.checking || !due {
                    return;
                }
                self.checks += 1;
                if self.store_answers {
                    process.checking = true;
                    self.schedule(STORE_CALL, Event::Checked { at, asked: now });
                } else {
                    process.schedule.fail(now);
                }
            }
            Event::Checked { at, asked } => {
                let process = &mut self.processes[at];
                process.checking = false;
                process.schedule.succeed();
                process.confirmed = process.confirmed.max(asked);
                self.spread(at, Confirmation::new(Revision(1), Revision(0), asked, now));
            }
            Event::Told { at, age_ms, hops_left } => {
                let confirmation = Confirmation {
                    revision: Revision(1),
                    evacuations: Revision(0),
                    age_ms,
                    hops_left,
                };
                let process = &mut self.processes[at];
                if !process.alive || !confirmation.is_news(process.confirmed, now) {
                    return;
                }
                process.confirmed = confirmation.asked_at(now);
                if let Some(next) = confirmation.next_hop() {
                    self.spread(at, next);
                }
            }
        }
    }

    fn spread(&mut self, from: usize, confirmation: Confirmation) {
        if !self.processes[from].alive {
            return;
        }
        for _ in 0..FANOUT {
            let at = self.rng.random_range(0..self.processes.len());
            let Confirmation { age_ms, hops_left, .. } = confirmation;
            self.schedule(self.transit, Event::Told { at, age_ms, hops_left });
        }
    }
}

/// Every process's settings are confirmed often enough, and the number of checks hardly depends on the
/// number of processes.
#[rstest]
#[case::small(15)]
#[case::grown(60)]
#[case::large(300)]
fn checks_shared(#[case] size: usize) {
    let mut fleet = Fleet::new(size, ms(2));
    let oldest = fleet.run(Duration::from_mins(1));
    assert!(oldest <= MAX_AGE, "{oldest:?}");
    assert!(fleet.checks < 60 * 2, "{} checks", fleet.checks);
}

/// When any number of processes is lost at once, the rest check by themselves, though nobody has detected
/// the loss yet.
#[rstest]
fn any_loss_survived(
    #[values(15, 60)] size: usize,
    #[values(1, 3, 6, 8, 14)] lost: usize,
    #[values(0, 700, 1400)] after_ms: u64,
) {
    let mut fleet = Fleet::new(size, ms(2));
    fleet.run(ms(10_000 + after_ms));
    for process in &mut fleet.processes[..lost] {
        process.alive = false;
    }
    let oldest = fleet.run(Duration::from_secs(10));
    assert!(oldest <= MAX_AGE, "{oldest:?}");
}

/// A confirmation must not be kept alive by being passed on, even if each hop takes long and makes it
/// look younger.
#[test]
fn confirmation_grows_old() {
    let mut fleet = Fleet::new(60, ms(400));
    fleet.run(Duration::from_secs(10));
    fleet.store_answers = false;
    let stopped = fleet.now;
    fleet.run(Duration::from_secs(20));
    let newest = fleet.processes.iter().map(|process| process.confirmed).max().unwrap();
    assert!(newest.since(stopped) <= Duration::from_secs(4), "{:?}", newest.since(stopped));
}

/// While the store does not answer, the pauses between checks grow.
#[test]
fn failed_checks_spaced() {
    let mut fleet = Fleet::new(15, ms(2));
    fleet.store_answers = false;
    fleet.run(Duration::from_secs(40));
    assert!(fleet.checks <= 15 * 9, "{} checks", fleet.checks);
    fleet.store_answers = true;
    fleet.run(Duration::from_secs(8));
    assert!(fleet.run(Duration::from_secs(5)) <= MAX_AGE);
}

/// Processes that are suspect, or that the store rejects, leave their places to the others, and balancers
/// come behind the agents.
#[test]
fn order_of_checks() {
    let member = |n: u64, role: Role| {
        let addr = "10.0.0.1:7000".parse().unwrap();
        let (vm, zone) = (format!("vm-{n}").parse().unwrap(), "zone-1".parse().unwrap());
        Member::new(ProcessId(n), vm, zone, role, addr, addr)
    };
    let agent = || Role::Agent("orders".parse().unwrap());
    let mut members: Vec<Member> = (1..=6).map(|n| member(n, agent())).collect();
    members.push(member(7, Role::Balancer));
    let place =
        |members: &[Member], n: usize| store_selection::check_order(&members[n], members.iter());
    let mut places: Vec<usize> = (0..7).map(|n| place(&members, n).before).collect();
    assert_eq!(places[6], 6, "the balancer is last");
    let first = places.iter().position(|before| *before == 0).unwrap();
    let second = places.iter().position(|before| *before == 1).unwrap();
    places.sort_unstable();
    assert_eq!(places, [0, 1, 2, 3, 4, 5, 6]);
    members[first].status = MemberStatus::Suspect;
    assert_eq!(place(&members, second), CheckOrder { before: 0, all: 6 });
    members[second].store = StoreReach::Fails;
    assert_eq!(place(&members, second), CheckOrder::LAST);
}
