//! When a balancer repeats a search that has brought nothing.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::{FlowTuple, PendingSearches, Timestamp};

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn flow(port: u16) -> FlowTuple {
    let caller = SocketAddrV4::new([100, 64, 0, 7].into(), port);
    FlowTuple::new(caller, "198.18.0.1:443".parse().unwrap())
}

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

/// Ticks for ten seconds and returns when the search for flow 1 was repeated, in milliseconds.
fn repeats(searches: &mut PendingSearches) -> Vec<u64> {
    (0..100).map(|i| i * 100).filter(|ms| !searches.take_due(at(*ms)).is_empty()).collect()
}

#[test]
fn silent_search_repeated() {
    let mut searches = PendingSearches::default();
    searches.begin(flow(1), b"first", START);
    assert_eq!(searches.take_due(at(200)), []);
    assert_eq!(searches.take_due(at(300)), [flow(1)]);
    assert_eq!(searches.packet(&flow(1)), Some(&b"first"[..]));
}

#[test]
fn repeats_thin_out() {
    let mut searches = PendingSearches::default();
    searches.begin(flow(1), b"first", START);
    let mut times = Vec::new();
    for ms in (0..10_000).step_by(100) {
        for due in searches.take_due(at(ms)) {
            times.push(ms);
            searches.begin(due, b"first", at(ms));
        }
    }
    assert_eq!(times, [300, 800, 1800, 3800]);
}

#[test]
fn callers_own_tries_add_no_repeats() {
    let mut searches = PendingSearches::default();
    let mut count = 0;
    for ms in (0..3_000).step_by(100) {
        if ms % 500 == 0 {
            searches.begin(flow(1), b"again", at(ms));
        }
        for due in searches.take_due(at(ms)) {
            count += 1;
            searches.begin(due, b"again", at(ms));
        }
    }
    assert!(count <= 4, "{count} repeats");
}

#[test]
fn found_flow_not_searched_again() {
    let mut searches = PendingSearches::default();
    searches.begin(flow(1), b"first", START);
    searches.end(&flow(1));
    assert!(repeats(&mut searches).is_empty());
    assert!(searches.is_empty());
}
