//! Tests connection ids that name the agent of a flow.

use dillmill_core::flow_id::FLOW_ID_LEN;
use dillmill_core::{FlowId, FlowIdError, FlowKey, FlowKeys, Secret, ServiceNumber};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn key(id: u8, fill: char) -> FlowKey {
    FlowKey { id, secret: Secret::new(fill.to_string().repeat(32)) }
}

fn flow() -> FlowId {
    FlowId { service: ServiceNumber(3), agent: "10.1.2.3:7001".parse().unwrap() }
}

#[test]
fn sealed_ids_open() {
    let keys = FlowKeys::new(&[key(1, 'a')]).unwrap();
    assert_eq!(keys.open(&keys.seal(flow(), [9; 7])), Ok(flow()));
}

#[test]
fn rotated_keys_open() {
    let old = FlowKeys::new(&[key(1, 'a')]).unwrap();
    let new = FlowKeys::new(&[key(2, 'b'), key(1, 'a')]).unwrap();
    assert_eq!(new.open(&old.seal(flow(), [1; 7])), Ok(flow()));
    assert_eq!(new.seal(flow(), [1; 7])[0], 2);
    let later = FlowKeys::new(&[key(2, 'b')]).unwrap();
    assert_eq!(later.open(&old.seal(flow(), [1; 7])), Err(FlowIdError::UnknownKey(1)));
}

#[test]
fn other_secret_refused() {
    let ours = FlowKeys::new(&[key(1, 'a')]).unwrap();
    let theirs = FlowKeys::new(&[key(1, 'b')]).unwrap();
    assert_eq!(ours.open(&theirs.seal(flow(), [1; 7])), Err(FlowIdError::Forged));
}

#[test]
fn random_ids_refused() {
    let keys = FlowKeys::new(&[key(1, 'a')]).unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..10_000 {
        let mut id: [u8; FLOW_ID_LEN] = rng.random();
        id[0] = 1;
        assert_eq!(keys.open(&id), Err(FlowIdError::Forged));
    }
}

#[test]
fn changed_bytes_refused() {
    let keys = FlowKeys::new(&[key(1, 'a')]).unwrap();
    let good = keys.seal(flow(), [5; 7]);
    for i in 4..FLOW_ID_LEN {
        let mut bad = good;
        bad[i] ^= 1;
        assert_eq!(keys.open(&bad), Err(FlowIdError::Forged), "byte {i}");
    }
}

#[rstest]
#[case::empty(&[])]
#[case::twice(&[key(1, 'a'), key(1, 'b')])]
#[case::short(&[FlowKey { id: 1, secret: Secret::new("abcd") }])]
fn bad_keys_refused(#[case] keys: &[FlowKey]) {
    assert!(FlowKeys::new(keys).is_err());
}

#[rstest]
#[case(0)]
#[case(8)]
#[case(19)]
fn other_lengths_refused(#[case] len: usize) {
    let keys = FlowKeys::new(&[key(1, 'a')]).unwrap();
    assert_eq!(keys.open(&vec![1; len]), Err(FlowIdError::Length(len)));
}
