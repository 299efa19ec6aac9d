//! Tests how new flows are divided among agents.

use std::net::{Ipv4Addr, SocketAddrV4};

use dillmill_core::{Home, HomeTable, ProcessId, Weight};
use rstest::rstest;

const KEYS: u32 = 20_000;

fn home(n: u8, weight: u16) -> Home {
    let addr = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7001);
    Home { process: ProcessId(u64::from(n)), data: addr, control: addr, weight: Weight(weight) }
}

fn shares(table: &HomeTable) -> Vec<f64> {
    let mut counts = vec![0_u32; table.homes().len()];
    for key in 0..KEYS {
        let found = table.home(&key.to_le_bytes()).unwrap().process;
        let i = table.homes().iter().position(|h| h.process == found).unwrap();
        counts[i] += 1;
    }
    counts.into_iter().map(|n| f64::from(n) / f64::from(KEYS)).collect()
}

#[rstest]
#[case::equal(&[100, 100, 100, 100])]
#[case::unequal(&[100, 300])]
fn shares_follow_weights(#[case] weights: &[u16]) {
    let homes = (1..).zip(weights).map(|(n, w)| home(n, *w));
    let total: u16 = weights.iter().sum();
    for (share, weight) in shares(&HomeTable::new(homes)).iter().zip(weights) {
        let wanted = f64::from(*weight) / f64::from(total);
        assert!((share - wanted).abs() < 0.02, "the share is {share} instead of {wanted}");
    }
}

#[test]
fn only_lost_share_moves() {
    let all = HomeTable::new((1..=7).map(|n| home(n, 100)));
    let without = HomeTable::new((1..=6).map(|n| home(n, 100)));
    for key in 0..KEYS {
        let before = all.home(&key.to_le_bytes()).unwrap();
        let after = without.home(&key.to_le_bytes()).unwrap();
        assert!(before.process == after.process || before.process == ProcessId(7));
    }
}

#[test]
fn order_does_not_matter() {
    let up = HomeTable::new((1..=5).map(|n| home(n, 100)));
    let down = HomeTable::new((1..=5).rev().map(|n| home(n, 100)));
    for key in 0..1000_u32 {
        assert_eq!(up.home(&key.to_le_bytes()), down.home(&key.to_le_bytes()));
    }
}

#[test]
fn zero_weight_gets_nothing() {
    let table = HomeTable::new([home(1, 0)]);
    assert_eq!(table.home(b"key"), None);
}
