//! Tests when a balancer repeats a search that has found nothing.

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

/// Ticks for 10 s and returns the times in milliseconds at which the search for flow 1 was repeated.
fn repeats(searches: &mut PendingSearches) -> Vec<u64> {
    (0..100).map(|i| i * 100).filter(|ms| !searches.take_due(at(*ms)).is_empty()).collect()
}

#[test]
fn silent_search_repeated() {
    let mut searches = PendingSearches::default();
    assert!(searches.begin(flow(1), b"first", START));
    assert_eq!(searches.take_due(at(50)), []);
    assert_eq!(searches.take_due(at(100)), [flow(1)]);
    assert_eq!(searches.repeat(&flow(1), at(100)).as_deref(), Some(&b"first"[..]));
}

#[test]
fn repeats_back_off() {
    let mut searches = PendingSearches::default();
    searches.begin(flow(1), b"first", START);
    assert_eq!(repeats(&mut searches), [100, 300, 700, 1500, 3100]);
}

#[test]
fn callers_retries_add_no_repeats() {
    let mut searches = PendingSearches::default();
    let mut count = 0;
    for ms in (0..3_000).step_by(100) {
        if ms % 500 == 0 {
            assert!(searches.begin(flow(1), b"again", at(ms)));
        }
        count += searches.take_due(at(ms)).len();
    }
    assert!(count <= 5, "{count} repeats");
}

#[test]
fn found_flow_not_searched_again() {
    let mut searches = PendingSearches::default();
    searches.begin(flow(1), b"first", START);
    assert_eq!(searches.end(&flow(1)), Vec::<Vec<u8>>::new());
    assert!(repeats(&mut searches).is_empty());
    assert!(searches.is_empty());
}

/// The packets of an upload arrive together. One search serves them all; the others wait for its end
/// and then follow the first.
#[test]
fn packets_wait_for_one_search() {
    let mut searches = PendingSearches::default();
    assert!(searches.begin(flow(1), b"first", START));
    assert!(!searches.begin(flow(1), b"second", at(1)));
    assert!(!searches.begin(flow(1), b"third", at(2)));
    assert!(searches.begin(flow(2), b"other", at(2)));
    assert_eq!(searches.end(&flow(1)), [b"second".to_vec(), b"third".to_vec()]);
}

#[test]
fn waiting_packets_bounded() {
    let mut searches = PendingSearches::default();
    for ms in 0..90 {
        searches.begin(flow(1), b"more", at(ms));
    }
    assert_eq!(searches.end(&flow(1)).len(), 15);
}

/// Everything restarts, and a caller's last packet arrives 0.1 s after the balancer's start. Searches
/// become conclusive between 1.0 and 1.2 s. With growing intervals the repeats come after 0.7 and
/// 1.5 s, so the caller would be told 0.3 to 0.5 s later than possible. With intervals that start anew
/// once the view is settled, it is told after 0.1 s.
#[test]
fn settling_restarts_repeats() {
    let mut searches = PendingSearches::default();
    searches.begin(flow(1), b"last", START);
    let until_settled: Vec<u64> = repeats_until(&mut searches, 0, 1000);
    assert_eq!(until_settled, [100, 300, 700]);
    searches.restart_repeats(at(1000));
    assert_eq!(repeats_until(&mut searches, 1000, 4000), [1100, 1300, 1700, 2500]);
}

fn repeats_until(searches: &mut PendingSearches, from: u64, until: u64) -> Vec<u64> {
    let ticks = (from..until).step_by(100);
    ticks.filter(|ms| !searches.take_due(at(*ms)).is_empty()).collect()
}
