//! Tests how the slots of a target are shared among groups.

use std::collections::BTreeMap;
use std::time::Duration;

use dillmill_core::scheduler::{Offer, Refusal, RequestId, Scheduler, SchedulingRequest, Sharing};
use dillmill_core::{GroupName, Slots, Timestamp, Weight};
use rstest::rstest;

const SERVICE_TIME: Duration = Duration::from_millis(20);

fn group(name: &str) -> GroupName {
    name.parse().unwrap()
}

fn ask(id: u64, name: &str, weight: u16, now: Timestamp) -> SchedulingRequest {
    SchedulingRequest {
        id: RequestId(id),
        group: group(name),
        weight: Weight(weight),
        deadline: now + Duration::from_secs(5),
        max_queue: 50,
        max_wait: Duration::from_secs(2),
    }
}

/// Simulates a scheduler and a target whose requests all take [`SERVICE_TIME`].
struct Simulation {
    scheduler: Scheduler,
    now: Timestamp,
    next: u64,
    running: Vec<(RequestId, Timestamp)>,
    asked: BTreeMap<RequestId, (String, Timestamp)>,
    runs: BTreeMap<String, u32>,
    waits: BTreeMap<String, Vec<Duration>>,
    refused: BTreeMap<String, u32>,
}

impl Simulation {
    fn new(slots: u16, sharing: Sharing) -> Self {
        Self {
            scheduler: Scheduler::new(Slots(slots)).sharing(sharing),
            now: Timestamp::from_millis(1000),
            next: 1,
            running: Vec::new(),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            waits: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    fn offer(&mut self, name: &str, weight: u16) {
        let ask = ask(self.next, name, weight, self.now);
        self.next += 1;
        self.asked.insert(ask.id, (name.to_owned(), self.now));
        match self.scheduler.offer(&ask, self.now) {
            Offer::Run => self.start(ask.id),
            Offer::Wait => {}
            Offer::Refuse(..) => *self.refused.entry(name.to_owned()).or_default() += 1,
        }
    }

    fn start(&mut self, id: RequestId) {
        let (name, asked) = self.asked[&id].clone();
        *self.runs.entry(name.clone()).or_default() += 1;
        self.waits.entry(name).or_default().push(self.now.since(asked));
        self.running.push((id, self.now + SERVICE_TIME));
        assert!(self.running.len() <= usize::from(self.scheduler.slots().0), "slots overrun");
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        let now = self.now;
        let done: Vec<RequestId> =
            self.running.iter().filter(|(_, end)| *end <= now).map(|(id, _)| *id).collect();
        self.running.retain(|(_, end)| *end > now);
        for id in done {
            for started in self.scheduler.finish(id, now) {
                self.start(started);
            }
        }
        self.scheduler.expire(now);
    }

    /// Simulates `span_ms` in steps of 1 ms. Each load is a group, its weight, the interval in
    /// milliseconds at which it offers requests, and how many at a time.
    fn run(&mut self, span_ms: u64, loads: &[(&str, u16, u64, u64)]) {
        for ms in 0..span_ms {
            for (name, weight, every, burst) in loads {
                if ms % every == 0 {
                    (0..*burst).for_each(|_| self.offer(name, *weight));
                }
            }
            self.step();
        }
    }

    fn p99(&mut self, name: &str) -> Duration {
        let waits = self.waits.get_mut(name).unwrap();
        waits.sort();
        waits[waits.len() * 99 / 100]
    }
}

/// Two groups that together demand more than the capacity get slots in proportion to their weights.
#[rstest]
#[case(10, 10, 1.0)]
#[case(30, 10, 3.0)]
#[case(10, 40, 0.25)]
fn shares_follow_weights(#[case] a: u16, #[case] b: u16, #[case] ratio: f64) {
    let mut simulation = Simulation::new(5, Sharing::Fair);
    simulation.run(20_000, &[("a", a, 4, 2), ("b", b, 4, 2)]);
    let found = f64::from(simulation.runs["a"]) / f64::from(simulation.runs["b"]);
    assert!((found / ratio - 1.0).abs() < 0.1, "the ratio is {found} instead of {ratio}");
}

#[test]
fn lone_group_uses_all() {
    let mut simulation = Simulation::new(5, Sharing::Fair);
    simulation.run(10_000, &[("a", 1, 4, 2)]);
    // 5 slots of 20 ms for 10 s.
    assert!(simulation.runs["a"] > 2400, "{} runs", simulation.runs["a"]);
}

/// A group that floods the scheduler must not delay another group by more than one service time.
#[test]
fn flood_bounded() {
    let mut quiet = Simulation::new(5, Sharing::Fair);
    quiet.run(20_000, &[("small", 10, 40, 1)]);
    let mut flooded = Simulation::new(5, Sharing::Fair);
    flooded.run(20_000, &[("small", 10, 40, 1), ("flood", 10, 2, 3)]);
    assert!(flooded.p99("small") <= quiet.p99("small") + SERVICE_TIME);
    assert_eq!(flooded.refused.get("small"), None);
    assert!(flooded.refused["flood"] > 0);
    // In order of arrival the flood does delay the other group, which fair sharing prevents.
    let mut baseline = Simulation::new(5, Sharing::ArrivalOrder);
    baseline.run(20_000, &[("small", 10, 40, 1), ("flood", 10, 2, 3)]);
    assert!(baseline.p99("small") > quiet.p99("small") + SERVICE_TIME);
}

#[test]
fn earliest_deadline_first() {
    let mut scheduler = Scheduler::new(Slots(1));
    let now = Timestamp::from_millis(1000);
    assert_eq!(scheduler.offer(&ask(1, "a", 1, now), now), Offer::Run);
    assert_eq!(scheduler.offer(&ask(2, "a", 1, now), now), Offer::Wait);
    let urgent =
        SchedulingRequest { deadline: now + Duration::from_secs(1), ..ask(3, "a", 1, now) };
    assert_eq!(scheduler.offer(&urgent, now), Offer::Wait);
    assert_eq!(scheduler.finish(RequestId(1), now), vec![RequestId(3)]);
}

#[test]
fn unmeetable_deadline_refused() {
    let mut scheduler = Scheduler::new(Slots(1));
    let now = Timestamp::from_millis(1000);
    scheduler.offer(&ask(1, "a", 1, now), now);
    let unmeetable =
        SchedulingRequest { deadline: now + Duration::from_millis(5), ..ask(2, "a", 1, now) };
    let Offer::Refuse(refusal, after) = scheduler.offer(&unmeetable, now) else {
        panic!("not refused");
    };
    assert_eq!(refusal, Refusal::TooLate);
    assert!(after > Duration::ZERO);
}

#[test]
fn full_queue_refuses() {
    let mut scheduler = Scheduler::new(Slots(1));
    let now = Timestamp::from_millis(1000);
    let short = |id| SchedulingRequest { max_queue: 1, ..ask(id, "a", 1, now) };
    assert_eq!(scheduler.offer(&short(1), now), Offer::Run);
    assert_eq!(scheduler.offer(&short(2), now), Offer::Wait);
    assert!(matches!(scheduler.offer(&short(3), now), Offer::Refuse(Refusal::QueueFull, _)));
}

#[test]
fn long_wait_expires() {
    let mut scheduler = Scheduler::new(Slots(1));
    let now = Timestamp::from_millis(1000);
    scheduler.offer(&ask(1, "a", 1, now), now);
    scheduler.offer(&ask(2, "a", 1, now), now);
    assert!(scheduler.expire(now + Duration::from_secs(1)).is_empty());
    let expired = scheduler.expire(now + Duration::from_secs(3));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].refusal, Refusal::WaitedTooLong);
    assert!(scheduler.finish(RequestId(1), now).is_empty());
}

#[test]
fn closed_refuses() {
    let mut scheduler = Scheduler::new(Slots(1));
    let now = Timestamp::from_millis(1000);
    scheduler.offer(&ask(1, "a", 1, now), now);
    scheduler.offer(&ask(2, "a", 1, now), now);
    scheduler.close();
    assert!(matches!(
        scheduler.offer(&ask(3, "a", 1, now), now),
        Offer::Refuse(Refusal::Closed, _)
    ));
    // A request that was queued before the close still runs.
    assert_eq!(scheduler.finish(RequestId(1), now), vec![RequestId(2)]);
}

#[test]
fn fewer_slots_respected() {
    let mut scheduler = Scheduler::new(Slots(3));
    let now = Timestamp::from_millis(1000);
    (1..=4).for_each(|id| {
        scheduler.offer(&ask(id, "a", 1, now), now);
    });
    scheduler.set_slots(Slots(1));
    assert!(scheduler.finish(RequestId(1), now).is_empty());
    assert!(scheduler.finish(RequestId(2), now).is_empty());
    assert_eq!(scheduler.finish(RequestId(3), now), vec![RequestId(4)]);
}
