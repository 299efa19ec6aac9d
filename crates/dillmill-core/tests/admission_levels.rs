//! Tests which new flows a balancer refuses by the load reports of a service's agents. Guards against
//! refusals while some agent has a short wait, and of high priority before low.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::placement::{LoadDetail, LoadReport};
use dillmill_core::{
    AdmissionLevel, FlowTuple, OverloadPolicy, Percent, Priority, ProcessId, RouteEntry, Slots,
    TargetPace, Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const HIGH: u8 = 1;
const LOW: u8 = 2;

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn route(priority: u8) -> RouteEntry {
    RouteEntry {
        timeout: Some(Duration::from_secs(1)),
        priority: Priority(priority),
        ..RouteEntry::default()
    }
}

/// Returns the report of an agent whose two slots take 50 ms for a request, so that each waiting
/// packet adds 25 ms.
fn report(agent: u64, in_use: u16, high: u16, low: u16) -> LoadReport {
    LoadReport {
        in_use,
        pace: TargetPace { work: Duration::from_millis(50), cold: None },
        detail: LoadDetail { waiting: [0, high, low, 0], flow_demand: None },
        ..LoadReport::idle(ProcessId(agent), 2)
    }
}

/// Returns how many of 1000 new flows are refused.
fn refused(level: &mut AdmissionLevel, route: &RouteEntry, now: Timestamp) -> usize {
    let flow = |n: u16| {
        let caller = SocketAddrV4::new([100, 64, 0, 7].into(), n);
        FlowTuple::new(caller, "198.18.0.1:443".parse().unwrap())
    };
    (0..1000).filter(|n| level.refusal(&flow(*n), route, now).is_some()).count()
}

/// Simulates a period with a flow of each priority and a report of each agent every 50 ms.
fn run(level: &mut AdmissionLevel, from: u64, until: u64, reports: &[LoadReport]) {
    for ms in (from..until).step_by(50) {
        for report in reports {
            level.report(*report, at(ms));
        }
        for priority in [HIGH, LOW] {
            refused(level, &route(priority), at(ms));
        }
        level.step(at(ms));
    }
}

/// Before there is load, no flow is refused: without reports, and with a free slot at one agent
/// whatever the others report.
#[rstest]
#[case::no_reports(&[])]
#[case::idle(&[report(1, 0, 0, 0)])]
#[case::one_has_room(&[report(1, 2, 0, 900), report(2, 1, 0, 0)])]
#[case::wait_short(&[report(1, 2, 0, 79)])]
fn admitted_before_load(#[case] reports: &[LoadReport]) {
    let mut level = AdmissionLevel::default();
    run(&mut level, 0, 5000, reports);
    assert_eq!(refused(&mut level, &route(LOW), at(5000)), 0);
    assert_eq!(level.level(2), Percent(0));
}

/// A target that leaves or is cold says nothing on the wait for the others' slots.
#[test]
fn closed_and_cold_targets() {
    let mut level = AdmissionLevel::default();
    let closed = LoadReport { slots: Slots(0), ..report(1, 0, 0, 0) };
    run(&mut level, 0, 5000, &[closed, report(2, 2, 0, 900)]);
    assert!(refused(&mut level, &route(LOW), at(5000)) > 0);
    let mut level = AdmissionLevel::default();
    let cold = dillmill_core::ColdLoad { limit: 10, received: 900 };
    let pace = TargetPace { cold: Some(cold), ..report(1, 2, 0, 900).pace };
    run(&mut level, 0, 5000, &[LoadReport { pace, ..report(1, 2, 0, 900) }]);
    assert_eq!(refused(&mut level, &route(LOW), at(5000)), 0);
}

/// The level rises by 5 points in 100 ms up to the share that the wait calls for, and stays there.
#[test]
fn level_rises_in_steps() {
    let mut level = AdmissionLevel::default();
    // 100 packets of 25 ms are 2.5 s, half-way between the waits from which some and all are refused.
    run(&mut level, 0, 500, &[report(1, 2, 0, 100)]);
    let early = level.level(2);
    assert!((Percent(15)..=Percent(30)).contains(&early), "{early:?} after 0.5 s");
    run(&mut level, 500, 5000, &[report(1, 2, 0, 100)]);
    let steady = level.level(2);
    assert!((Percent(45)..=Percent(60)).contains(&steady), "{steady:?} after 5 s");
    let share = refused(&mut level, &route(LOW), at(5000));
    assert!((400..=650).contains(&share), "{share} of 1000 refused");
}

/// High priority is refused only when nearly all of the low priority is.
#[test]
fn low_refused_first() {
    let mut level = AdmissionLevel::default();
    for ms in (0..6000).step_by(100) {
        run(&mut level, ms, ms + 100, &[report(1, 2, 400, 400)]);
        if refused(&mut level, &route(HIGH), at(ms + 50)) > 0 {
            assert!(level.level(2) >= Percent(90), "low priority at {:?}", level.level(2));
        }
    }
    assert!(refused(&mut level, &route(HIGH), at(5950)) > 900);
}

/// Packets of low priority that wait delay no flow of high priority.
#[test]
fn high_not_behind_low() {
    let mut level = AdmissionLevel::default();
    run(&mut level, 0, 5000, &[report(1, 2, 3, 900)]);
    assert_eq!(refused(&mut level, &route(HIGH), at(4950)), 0);
    assert_eq!(refused(&mut level, &route(LOW), at(4950)), 1000);
}

#[test]
fn switched_off() {
    let mut level = AdmissionLevel::default();
    run(&mut level, 0, 5000, &[report(1, 2, 900, 900)]);
    let overload = OverloadPolicy { admission_control: false, ..OverloadPolicy::default() };
    let off = RouteEntry { overload, ..route(LOW) };
    assert_eq!(refused(&mut level, &off, at(4950)), 0);
}

/// A balancer whose reports stop, or whose service has room again, must not keep refusing.
#[rstest]
#[case::reports_stop(&[])]
#[case::load_gone(&[report(1, 1, 0, 0)])]
fn opens_within_second(#[case] reports: &[LoadReport]) {
    let mut level = AdmissionLevel::default();
    run(&mut level, 0, 5000, &[report(1, 2, 0, 900)]);
    assert_eq!(level.level(2), Percent(100));
    run(&mut level, 5000, 6050, reports);
    assert_eq!(refused(&mut level, &route(LOW), at(6000)), 0);
    assert_eq!(level.level(2), Percent(0));
}
