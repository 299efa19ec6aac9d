//! Tests the choice of the balancer through which a packet for a caller is sent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dillmill_agent::ReturnPaths;
use dillmill_agent::return_path::RETURN_PATH_LIFETIME;
use dillmill_core::Timestamp;

fn balancer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n], 7001))
}

fn caller() -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], 5000))
}

fn recorded_at(now: Timestamp) -> ReturnPaths {
    let mut paths = ReturnPaths::default();
    paths.record(caller(), balancer(1), now);
    paths
}

#[test]
fn fresh_path_kept() {
    let now = Timestamp::from_millis(1000);
    let paths = recorded_at(now);
    let serving = [balancer(2), balancer(3)];
    let chosen = paths.choose(caller(), &serving, now + RETURN_PATH_LIFETIME / 2, &mut |_| 0);
    assert_eq!(chosen, Some(balancer(1)));
}

/// A feed whose caller sends nothing must not depend on a balancer that has failed.
#[test]
fn stale_path_spread() {
    let now = Timestamp::from_millis(1000);
    let paths = recorded_at(now);
    let serving = [balancer(2), balancer(3)];
    let chosen: BTreeSet<_> = (0..2)
        .filter_map(|i| paths.choose(caller(), &serving, now + RETURN_PATH_LIFETIME, &mut |_| i))
        .collect();
    assert_eq!(chosen, BTreeSet::from(serving));
}

#[test]
fn last_resort_kept() {
    let now = Timestamp::from_millis(1000);
    let paths = recorded_at(now);
    let late = now + Duration::from_secs(5);
    assert_eq!(paths.choose(caller(), &[], late, &mut |_| 0), Some(balancer(1)));
    assert_eq!(ReturnPaths::default().choose(caller(), &[], late, &mut |_| 0), None);
}

#[test]
fn silent_callers_forgotten() {
    let now = Timestamp::from_millis(1000);
    let mut paths = recorded_at(now);
    paths.expire(now + Duration::from_mins(1));
    assert_eq!(paths.len(), 1);
    paths.expire(now + Duration::from_mins(3));
    assert!(paths.is_empty());
}
