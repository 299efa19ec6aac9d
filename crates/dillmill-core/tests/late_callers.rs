//! Which opening packets bring requests that are late already.

use std::net::Ipv4Addr;
use std::time::Duration;

use dillmill_core::{LateCallers, Timestamp};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const CALLER: Ipv4Addr = Ipv4Addr::new(100, 64, 0, 7);
const OTHER: Ipv4Addr = Ipv4Addr::new(100, 64, 0, 8);

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

#[test]
fn next_try_is_late() {
    let mut late = LateCallers::default();
    late.told(CALLER, START);
    assert!(!late.tries_again(OTHER, at(3)));
    assert!(late.tries_again(CALLER, at(3)));
    assert!(!late.tries_again(CALLER, at(4)), "one flow, one request");
}

#[test]
fn each_flow_counts() {
    let mut late = LateCallers::default();
    late.told(CALLER, START);
    late.told(CALLER, at(1));
    assert!(late.tries_again(CALLER, at(3)));
    assert!(late.tries_again(CALLER, at(4)));
    assert!(!late.tries_again(CALLER, at(5)));
}

#[test]
fn later_requests_are_new() {
    let mut late = LateCallers::default();
    late.told(CALLER, START);
    assert!(!late.tries_again(CALLER, at(60)));
}
