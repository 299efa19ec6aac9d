//! Tests the estimates of a target's speed and of the load that its open flows bring, and which routes
//! count as having long-lived flows. Guards against targets that are taken for slow or fast after a few
//! unusual answers or another mix of routes.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::flow_kinds::{FlowKind, FlowKinds};
use dillmill_core::target_flows::TargetFlows;
use dillmill_core::target_speed::TargetSpeed;
use dillmill_core::{FlowTuple, Segment, SegmentKind, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WORK: f64 = 0.047;
/// Times of slow and fast targets, as multiples of the nominal time.
const SLOW: f64 = 1.0 / 0.55;
const FAST: f64 = 1.0 / 1.2;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000) + Duration::from_millis(ms)
}

fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), port)
}

/// Returns a time of spread 0.5, of which 3 % are 7 times as long.
fn draw(rng: &mut SmallRng, mean: f64) -> Duration {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let tail = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
    Duration::from_secs_f64(mean * tail * (0.5 * normal - 0.125).exp())
}

/// Returns the estimates after each of `answers` answers, relative to `WORK`.
fn estimates(seed: u64, answers: usize, factor: impl Fn(usize) -> f64) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut target = TargetSpeed::default();
    let note = |i| {
        target.note(route(443), draw(&mut rng, WORK * factor(i)));
        target.work().as_secs_f64() / WORK
    };
    (0..answers).map(note).collect()
}

/// A mean of the last answers takes a fast target for a slow one after two long requests. Slow and fast
/// targets differ by a factor of 2.18, so they are not confused while each estimate is within a factor
/// of 1.47, its root, of the usual one.
#[test]
fn tail_moves_estimate_little() {
    let (mut outside, mut total) = (0, 0);
    for seed in 0..200 {
        let all = &estimates(seed, 1000, |_| FAST)[50..];
        let usual = FAST * 1.06;
        total += all.len();
        outside += all.iter().filter(|e| !(usual / 1.47..usual * 1.47).contains(*e)).count();
    }
    println!("{outside} of {total}");
    assert!(outside * 200 <= total, "{outside} of {total} estimates are outside the bound");
}

/// A target that becomes slow, or fast again, counts as such after some ten answers.
#[test]
fn change_followed() {
    for (from, to) in [(FAST, SLOW), (SLOW, FAST)] {
        let middle = (from * to).sqrt();
        let mut after: Vec<usize> = (0..200)
            .map(|seed| {
                let all = estimates(seed, 260, |i| if i < 200 { from } else { to });
                let crossed = |e: &f64| (*e > middle) == (to > from);
                all[200..].iter().position(crossed).unwrap_or(60)
            })
            .collect();
        after.sort_unstable();
        println!("{from:.2} -> {to:.2}: median {}, 90 % {}", after[100], after[180]);
        assert!(after[100] <= 12 && after[180] <= 20, "{from} -> {to}: {after:?}");
    }
}

/// A single answer in half the usual time, or twice, is no change of speed. The usual deviation started at
/// that of the first answer, so that one quick answer made the target count as 1.5 times slower.
#[rstest]
fn one_answer_is_no_change(#[values(20, 22, 60, 80)] ms: u64) {
    let mut target = TargetSpeed::default();
    (0..8).for_each(|_| target.note(route(443), Duration::from_millis(40)));
    target.note(route(443), Duration::from_millis(ms));
    let work = target.work().as_millis();
    assert_eq!(ms < 40, work < 40, "{work} ms");
    assert!((35..=45).contains(&work), "{work} ms");
}

/// Long requests of one route must not make the target look slow for another: with a plain mean, the
/// estimate follows whichever route was answered last.
#[test]
fn routes_have_own_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut target = TargetSpeed::default();
    for i in 0..2000 {
        let (port, mean) = if i % 2 == 0 { (443, 0.02) } else { (444, 0.4) };
        target.note(route(port), draw(&mut rng, mean));
    }
    let before = target.work();
    for _ in 0..20 {
        target.note(route(444), draw(&mut rng, 0.4));
    }
    let after = target.work();
    assert!(after < before * 3 / 2 && after * 3 / 2 > before, "{before:?} -> {after:?}");
}

/// Answers within the same millisecond must not fix the estimate at zero.
#[test]
fn immediate_answers_forgotten() {
    let mut target = TargetSpeed::default();
    (0..20).for_each(|_| target.note(route(443), Duration::ZERO));
    (0..60).for_each(|_| target.note(route(443), Duration::from_millis(50)));
    let work = target.work();
    assert!((35..=65).contains(&work.as_millis()), "{work:?}");
}

/// An agent under load gives its target a further request as soon as one is answered, so hardly any begins
/// with a free slot. Estimates from such requests alone stayed unknown or at the first few answers.
#[rstest]
#[case::one_slot(1, 1)]
#[case::two_slots(2, 1)]
#[case::many_slots(8, 4)]
fn speed_of_busy_target(#[case] slots: u16, #[case] queued: u16) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut flows = TargetFlows::default();
    let mut running: Vec<(u64, u16)> = Vec::new();
    let mut queue: VecDeque<u16> = VecDeque::new();
    let (mut port, mut measured) = (0, None);
    for ms in 0..10_000 {
        for (_, done) in running.extract_if(.., |(end, _)| *end <= ms) {
            flows.note_target(&seg(done, SegmentKind::Data, 0, 700), at(ms));
        }
        while running.len() + queue.len() < usize::from(slots + queued) {
            port += 1;
            flows.opening(seg(port, SegmentKind::Data, 0, 0).flow, 0, at(ms));
            flows.note_target(&seg(port, SegmentKind::Accept, 0, 0), at(ms));
            flows.note_caller(&seg(port, SegmentKind::Data, 101, 300), slots, at(ms));
            queue.push_back(port);
        }
        while running.len() < usize::from(slots) && !queue.is_empty() {
            let end = ms + u64::from(rng.random_range(20..=60_u16));
            running.push((end, queue.pop_front().unwrap()));
        }
        if ms == 500 {
            measured = flows.measured_work();
        }
    }
    for work in [measured, flows.measured_work()] {
        let work = work.expect("the speed is known after half a second");
        assert!((34..=48).contains(&work.as_millis()), "{work:?}");
    }
}

fn seg(port: u16, kind: SegmentKind, ack: u32, len: u16) -> Segment {
    let flow = FlowTuple::new(SocketAddrV4::new([100, 64, 0, 1].into(), port), route(443));
    Segment { flow, kind, seq: 100, ack, len, returned: false, mark: 0 }
}

/// Ten flows with two requests of 50 ms a second are one slot of load, however few requests run now. A
/// fixed weight of a flow counts half of it.
#[test]
fn demand_of_open_flows() {
    let mut flows = TargetFlows::default();
    for port in 0..10 {
        flows.opening(seg(port, SegmentKind::Data, 0, 0).flow, 0, at(0));
        flows.note_target(&seg(port, SegmentKind::Accept, 0, 0), at(0));
        flows.note_caller(&seg(port, SegmentKind::Data, 101, 0), 30, at(0));
    }
    for ms in (0..10_000).step_by(50) {
        for port in 0..10 {
            match (ms + u64::from(port) * 50) % 500 {
                0 => drop(flows.note_caller(&seg(port, SegmentKind::Data, 101, 300), 30, at(ms))),
                50 => drop(flows.note_target(&seg(port, SegmentKind::Data, 0, 700), at(ms))),
                _ => {}
            }
        }
        flows.flow_demand(at(ms));
    }
    let demand = flows.flow_demand(at(10_000));
    assert!((900..1100).contains(&demand), "{demand} thousandths");
}

/// The packets of one upload are one request; data after an answer is another.
#[test]
fn long_lived_routes_learned() {
    let kind_after = |acks: [u32; 4]| {
        let mut kinds = FlowKinds::default();
        for port in 0..20 {
            for (ack, ms) in acks.into_iter().zip(0..) {
                kinds.note(&seg(port, SegmentKind::Data, ack, 1400), at(ms));
            }
        }
        kinds.of(route(443))
    };
    assert_eq!(kind_after([101; 4]), FlowKind::OneOff);
    assert_eq!(kind_after([101, 801, 1501, 2201]), FlowKind::LongLived);
    assert_eq!(FlowKinds::default().of(route(443)), FlowKind::OneOff);
}
