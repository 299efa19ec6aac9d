//! Tests which agent of a service runs a request.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dillmill_core::placement::{LoadReport, Place, Policy, Siblings};
use dillmill_core::{ProcessId, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(1000);

fn report(n: u64, slots: u16, in_use: u16, queued: u16) -> LoadReport {
    LoadReport { in_use, queued, ..LoadReport::idle(ProcessId(n), slots) }
}

fn siblings(reports: &[LoadReport]) -> Siblings {
    let mut siblings = Siblings::default();
    for (i, r) in (2..).zip(reports) {
        siblings.report(*r, SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, i), 7000), NOW);
    }
    siblings
}

fn place(policy: Policy, own: LoadReport, reports: &[LoadReport]) -> Option<u64> {
    match siblings(reports).place(policy, own, NOW, &mut |_| 0) {
        Place::Here => None,
        Place::Sibling { process, .. } => Some(process.0),
    }
}

#[rstest]
#[case::room(report(1, 5, 4, 0), None)]
#[case::full(report(1, 5, 5, 2), Some(2))]
#[case::closed(report(1, 0, 0, 0), Some(2))]
fn local_first(#[case] own: LoadReport, #[case] expected: Option<u64>) {
    assert_eq!(place(Policy::LocalFirst, own, &[report(2, 5, 0, 0)]), expected);
}

#[rstest]
#[case::better(report(2, 5, 0, 0), Some(2))]
#[case::hardly_better(report(2, 5, 2, 0), None)]
#[case::worse(report(2, 5, 5, 5), None)]
#[case::closed(report(2, 0, 0, 0), None)]
fn power_of_two(#[case] other: LoadReport, #[case] expected: Option<u64>) {
    assert_eq!(place(Policy::PowerOfTwo, report(1, 5, 3, 0), &[other]), expected);
}

#[test]
fn least_loaded_of_all() {
    let others = [report(2, 5, 4, 0), report(3, 5, 3, 0), report(4, 5, 1, 0), report(5, 5, 2, 0)];
    assert_eq!(place(Policy::LeastLoaded, report(1, 5, 5, 0), &others), Some(4));
}

#[test]
fn local_stays() {
    assert_eq!(place(Policy::Local, report(1, 5, 5, 50), &[report(2, 5, 0, 0)]), None);
}

#[test]
fn old_reports_ignored() {
    let mut siblings = siblings(&[report(2, 5, 0, 0)]);
    let late = NOW + Duration::from_secs(3);
    let place = siblings.place(Policy::LocalFirst, report(1, 5, 5, 0), late, &mut |_| 0);
    assert_eq!(place, Place::Here);
}

/// Requests sent since a sibling's last report are added to its load, so that not all go to the same
/// sibling.
#[test]
fn sent_requests_count() {
    let mut siblings = siblings(&[report(2, 5, 0, 0)]);
    let own = report(1, 5, 5, 0);
    let moved = (0..20)
        .filter(|_| siblings.place(Policy::LocalFirst, own, NOW, &mut |_| 0) != Place::Here)
        .count();
    assert!((3..=5).contains(&moved), "{moved} moved");
}

/// A leaving sibling still sends reports while it completes its requests, and must get no new ones.
#[test]
fn leaving_sibling_avoided() {
    let mut siblings = siblings(&[report(2, 5, 0, 0)]);
    let own = report(1, 5, 5, 0);
    siblings.set_unavailable([ProcessId(2)]);
    siblings.report(report(2, 5, 0, 0), SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000), NOW);
    assert_eq!(siblings.place(Policy::LocalFirst, own, NOW, &mut |_| 0), Place::Here);

    siblings.set_unavailable([]);
    siblings.report(report(2, 5, 0, 0), SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000), NOW);
    assert_ne!(siblings.place(Policy::LocalFirst, own, NOW, &mut |_| 0), Place::Here);
}
