//! Tests what an agent does with packets of flows.

use std::net::{Ipv4Addr, SocketAddrV4};

use dillmill_agent::inbound::{FirstPackets, MAX_HOPS, MAX_HOPS_LEAVING};
use dillmill_agent::{Inbound, InboundTable};
use dillmill_core::{
    FlowId, FlowKey, FlowKeys, Home, HomeTable, ProcessId, Secret, ServiceNumber, Timestamp, Weight,
};
use rstest::rstest;

const SERVICE: ServiceNumber = ServiceNumber(3);

fn addr(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7001)
}

fn keys() -> FlowKeys {
    FlowKeys::new(&[FlowKey { id: 1, secret: Secret::new("a".repeat(32)) }]).unwrap()
}

/// Returns the table of agent `own`, in whose view the agents `serving` take new flows.
fn table(own: u8, serving: &[u8]) -> InboundTable {
    let homes = serving.iter().map(|n| Home {
        process: ProcessId(u64::from(*n)),
        data: addr(*n),
        control: addr(*n),
        weight: Weight(100),
    });
    let own = FlowId { service: SERVICE, agent: addr(own) };
    InboundTable { own, keys: keys(), homes: HomeTable::new(homes) }
}

/// Returns a short-header packet (RFC 9000 section 17.3) with this connection id.
fn short(id: &[u8]) -> Vec<u8> {
    [&[0x40], id, &[0; 30]].concat()
}

/// Returns an Initial packet (RFC 9000 section 17.2.2) with this destination connection id.
fn initial(id: &[u8]) -> Vec<u8> {
    let len = u8::try_from(id.len()).unwrap();
    [&[0xc0, 0, 0, 0, 1, len], id, &[0, 0, 0x40, 40], &[0; 40]].concat()
}

fn classify(table: &InboundTable, hops: u8, packet: &[u8]) -> Inbound {
    let mut first_packets = FirstPackets::default();
    table.classify(SERVICE, hops, packet, &mut first_packets, Timestamp::from_millis(1))
}

/// Returns a connection id, as chosen by a caller, whose home among `serving` is `home`.
fn id_with_home(home: u8, serving: &[u8]) -> Vec<u8> {
    let homes = table(home, serving).homes;
    (0..=255_u8).map(|n| vec![n; 8]).find(|id| homes.home(id).unwrap().data == addr(home)).unwrap()
}

#[test]
fn own_flow_delivered() {
    let t = table(1, &[2]);
    let id = t.keys.seal(t.own, [1; 7]);
    assert_eq!(classify(&t, 0, &short(&id)), Inbound::Deliver);
    assert_eq!(classify(&t, 0, &initial(&id)), Inbound::Deliver);
}

#[rstest]
#[case::other_service(FlowId { service: ServiceNumber(4), agent: addr(1) }, Inbound::OtherService)]
#[case::other_agent(FlowId { service: SERVICE, agent: addr(2) }, Inbound::Foreign)]
fn others_flow_dropped(#[case] flow: FlowId, #[case] expected: Inbound) {
    let t = table(1, &[1, 2]);
    let id = t.keys.seal(flow, [1; 7]);
    assert_eq!(classify(&t, 0, &short(&id)), expected);
    assert_eq!(classify(&t, 0, &initial(&id)), expected);
}

#[test]
fn wrong_service_dropped() {
    let t = table(1, &[1]);
    let mut first_packets = FirstPackets::default();
    let packet = initial(&[7; 8]);
    let found =
        t.classify(ServiceNumber(9), 0, &packet, &mut first_packets, Timestamp::from_millis(1));
    assert_eq!(found, Inbound::OtherService);
}

#[test]
fn garbage_dropped() {
    let t = table(1, &[1]);
    assert_eq!(classify(&t, 0, b""), Inbound::Foreign);
    assert_eq!(classify(&t, 0, &[0x40; 5]), Inbound::Foreign);
    assert_eq!(classify(&t, 0, &short(&[9; 20])), Inbound::Foreign);
}

/// If the balancers' views differ, the packets of one handshake arrive at two agents. Both agents see the
/// same agent as its home, so all packets reach that agent.
#[test]
fn handshake_meets_at_home() {
    let serving = [1, 2, 3];
    let id = id_with_home(2, &serving);
    for own in [1, 3] {
        assert_eq!(classify(&table(own, &serving), 0, &initial(&id)), Inbound::Pass(addr(2)));
    }
    assert_eq!(classify(&table(2, &serving), 1, &initial(&id)), Inbound::Deliver);
}

/// Agents whose views differ must not pass a packet on in circles.
#[test]
fn passing_on_is_bounded() {
    let id = id_with_home(2, &[1, 2]);
    let packet = initial(&id);
    assert_eq!(classify(&table(1, &[1, 2]), MAX_HOPS, &packet), Inbound::Deliver);
    // Two agents leave at once and do not know of each other yet.
    assert_eq!(classify(&table(1, &[2]), MAX_HOPS, &packet), Inbound::Pass(addr(2)));
    assert_eq!(classify(&table(1, &[2]), MAX_HOPS_LEAVING, &packet), Inbound::Deliver);
}

#[test]
fn started_handshake_stays() {
    let id = id_with_home(2, &[1, 2]);
    let mut first_packets = FirstPackets::default();
    let now = Timestamp::from_millis(1);
    let alone = table(1, &[1]);
    let taken = alone.classify(SERVICE, 0, &initial(&id), &mut first_packets, now);
    assert_eq!(taken, Inbound::Deliver);
    // Agent 2 joins between two packets of the handshake.
    let later = table(1, &[1, 2]).classify(SERVICE, 0, &initial(&id), &mut first_packets, now);
    assert_eq!(later, Inbound::Deliver);
}
