//! Tests when refused HTTP/3 callers are asked to return. Guards against callers that all return at
//! the same time and are refused again.

use std::time::Duration;

use dillmill_core::scheduler::{Offer, Refusal, RequestId, Scheduler, SchedulingRequest};
use dillmill_core::{Slots, Timestamp, Weight};
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(1000);
const WINDOW: u128 = 200;

fn ask(id: u64, group: &str, weight: u16) -> SchedulingRequest {
    SchedulingRequest {
        id: RequestId(id),
        group: group.parse().unwrap(),
        weight: Weight(weight),
        deadline: NOW + Duration::from_secs(30),
        max_queue: 10,
        max_wait: Duration::from_secs(2),
    }
}

/// Offers `count` requests of each group in turn at a target with 4 slots and a service time of
/// 20 ms; returns the delays of those refused, by group.
fn delays(groups: &[(&str, u16)], count: u64) -> Vec<Vec<u128>> {
    let mut scheduler = Scheduler::new(Slots(4));
    let mut delays = vec![Vec::new(); groups.len()];
    for n in 0..count {
        for (i, (name, weight)) in groups.iter().enumerate() {
            let id = n * 10 + u64::try_from(i).unwrap();
            let offer = scheduler.offer(&ask(id, name, *weight), NOW);
            if let Offer::Refuse(refusal, delay) = offer {
                assert_eq!(refusal, Refusal::QueueFull);
                delays[i].push(delay.as_millis());
            }
        }
    }
    delays
}

fn most_in_window(delays: &[u128]) -> usize {
    let window = |from: u128| delays.iter().filter(|d| (from..from + WINDOW).contains(d)).count();
    (0..5000).map(window).max().unwrap()
}

/// The target serves 200 requests a second, so 40 in each window.
#[rstest]
#[case(&[("a", 1)])]
#[case(&[("a", 1), ("b", 1)])]
#[case(&[("a", 3), ("b", 1)])]
fn returns_at_drain_rate(#[case] groups: &[(&str, u16)]) {
    let delays = delays(groups, 200);
    let all = delays.concat();
    assert!(all.len() > 150 * groups.len());
    assert!(all.iter().all(|ms| (100..=5000).contains(ms)));
    assert!(most_in_window(&all) <= 40, "{} return in {WINDOW} ms", most_in_window(&all));
    let total: u16 = groups.iter().map(|(_, weight)| weight).sum();
    for ((_, weight), delays) in groups.iter().zip(&delays) {
        let share = 40 * usize::from(*weight) / usize::from(total);
        assert!(most_in_window(delays) <= share + 1, "{} in a window", most_in_window(delays));
    }
}

/// More callers than are served in 5 s are spread evenly over that time.
#[test]
fn five_seconds_at_most() {
    let delays = delays(&[("a", 1)], 2500).concat();
    assert!(delays.iter().all(|ms| (100..=5000).contains(ms)));
    // Three times as many as are served in 5 s.
    assert!(most_in_window(&delays) <= 3 * 40);
}

/// Before there is load, each refused caller gets the same short time as without a schedule.
#[test]
fn idle_target_as_before() {
    let mut scheduler = Scheduler::new(Slots(4));
    for id in 0..50 {
        let late = SchedulingRequest { deadline: NOW, ..ask(id, "a", 1) };
        let refused = Offer::Refuse(Refusal::TooLate, Duration::from_millis(100));
        assert_eq!(scheduler.offer(&late, NOW), refused);
    }
}

/// Requests that expire together do not return together.
#[test]
fn expired_spread() {
    let mut scheduler = Scheduler::new(Slots(1));
    (0..8).for_each(|id| {
        scheduler.offer(&ask(id, "a", 1), NOW);
    });
    let expired = scheduler.expire(NOW + Duration::from_secs(2));
    let mut delays: Vec<Duration> = expired.iter().map(|e| e.retry_after).collect();
    delays.dedup();
    assert_eq!(delays.len(), 7);
}
