//! Tests of the balancer's routing decisions under different views of the members.

use std::net::{Ipv4Addr, SocketAddrV4};

use dillmill_balancer::{DropReason, Route, ServiceRouter};
use dillmill_core::{
    FlowId, FlowKey, FlowKeys, Home, HomeTable, ProcessId, Secret, ServiceNumber, Weight,
};
use rstest::rstest;

const SERVICE: ServiceNumber = ServiceNumber(1);

fn addr(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7001)
}

fn keys(fill: &str) -> FlowKeys {
    FlowKeys::new(&[FlowKey { id: 1, secret: Secret::new(fill.repeat(32)) }]).unwrap()
}

fn table(serving: &[u8]) -> ServiceRouter {
    let homes = HomeTable::new(serving.iter().map(|n| Home {
        process: ProcessId(u64::from(*n)),
        data: addr(*n),
        control: addr(*n),
        weight: Weight(100),
    }));
    ServiceRouter { service: SERVICE, keys: keys("a"), homes }
}

fn short(id: &[u8]) -> Vec<u8> {
    [&[0x40], id, &[0; 30]].concat()
}

fn initial(id: &[u8]) -> Vec<u8> {
    let len = u8::try_from(id.len()).unwrap();
    [&[0xc0, 0, 0, 0, 1, len], id, &[0, 0, 0x40, 40], &[0; 40]].concat()
}

/// An established flow is routed to its agent whatever the view: complete, empty, or without the agent.
#[rstest]
#[case(&[1, 2, 3])]
#[case(&[])]
#[case(&[2, 3])]
fn flow_pinned(#[case] serving: &[u8]) {
    let t = table(serving);
    let id = t.keys.seal(FlowId { service: SERVICE, agent: addr(1) }, [4; 7]);
    assert_eq!(t.route(&short(&id)), Route::Known(addr(1)));
    assert_eq!(t.route(&initial(&id)), Route::Known(addr(1)));
}

#[test]
fn other_service_dropped() {
    let t = table(&[1, 2]);
    let id = t.keys.seal(FlowId { service: ServiceNumber(2), agent: addr(1) }, [4; 7]);
    assert_eq!(t.route(&short(&id)), Route::Drop(DropReason::OtherService));
    assert_eq!(t.route(&initial(&id)), Route::Drop(DropReason::OtherService));
}

#[test]
fn foreign_id_dropped() {
    let t = table(&[1, 2]);
    let id = keys("b").seal(FlowId { service: SERVICE, agent: addr(1) }, [4; 7]);
    assert_eq!(t.route(&short(&id)), Route::Drop(DropReason::Foreign));
}

#[test]
fn first_packet_hashed() {
    let (one, other) = (table(&[1, 2, 3]), table(&[3, 1, 2]));
    for n in 0..100 {
        let packet = initial(&[n; 8]);
        assert!(matches!(one.route(&packet), Route::First(_)));
        assert_eq!(one.route(&packet), other.route(&packet));
    }
}

#[test]
fn no_agent_dropped() {
    assert_eq!(table(&[]).route(&initial(&[5; 8])), Route::Drop(DropReason::NoAgent));
}

#[rstest]
#[case::empty(b"")]
#[case::cut(&[0x40, 1, 2])]
#[case::no_fixed_long(&[0xc0, 0, 0])]
fn garbage_dropped(#[case] packet: &[u8]) {
    assert_eq!(table(&[1]).route(packet), Route::Drop(DropReason::NotQuic));
}

/// A packet of an unsupported QUIC version goes to an agent, which answers with the versions that it
/// supports.
#[test]
fn unknown_version_passed() {
    let mut packet = initial(&[5; 8]);
    packet[1..5].copy_from_slice(&[0x1a, 0x2a, 0x3a, 0x4a]);
    assert!(matches!(table(&[1]).route(&packet), Route::First(_)));
}
