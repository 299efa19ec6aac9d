//! Guards rolling upgrades: messages without the fields that were added later must be decoded, and
//! messages with those fields must be decoded by earlier versions, which read only the fields that
//! they know.

use std::time::Duration;

use dillmill_core::placement::{LoadDetail, LoadReport};
use dillmill_core::{Evacuations, FlowTuple, Member, ProcessId, Revision, Role, Slots, TargetPace};
use dillmill_settings::{Change, RouteTree, Tree};
use dillmill_wire::{
    FlowMessage, LoadStatus, Message, ProcessStatus, RefusalDetail, StreamMessage,
};
use serde::{Deserialize, Serialize};

/// A load report as earlier versions send it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierReport {
    process: ProcessId,
    slots: Slots,
    in_use: u16,
    queued: u16,
    flows: u32,
    pace: TargetPace,
}

/// The reply to a synchronisation as earlier versions send it.
#[derive(Serialize)]
struct EarlierReply {
    members: Vec<Member>,
    changes: Vec<Change>,
    tree: Option<Tree>,
    routes: Option<RouteTree>,
    evacuations: Option<Evacuations>,
}

/// The status of a process as earlier versions send it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierStatus {
    member: Member,
    revision: Revision,
    evacuations: Evacuations,
    platform_reachable: bool,
    flows: u64,
    serving: u64,
}

/// The refusal of a new flow as earlier versions send it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRefusal {
    flow: FlowTuple,
    placed: ProcessId,
}

/// Positions of messages about flows among the variants of [`Message`], and of the refusal among those of
/// [`FlowMessage`].
const REFUSED_VARIANTS: [u8; 2] = [2, 2];
/// Position of the load report among the variants of [`Message`], which every version shares.
const LOAD_VARIANT: u8 = 1;
/// Position of the reply to a synchronisation among the variants of [`StreamMessage`].
const SYNC_REPLY_VARIANT: u8 = 1;
/// Position of the status of a process among the variants of [`StreamMessage`].
const STATUS_VARIANT: u8 = 3;

fn report() -> LoadReport {
    let detail = LoadDetail { waiting: [1, 2, 3, 4], flow_demand: Some(1500) };
    let pace = TargetPace { work: Duration::from_millis(40), cold: None };
    LoadReport { in_use: 3, flows: 9, pace, detail, ..LoadReport::idle(ProcessId(7), 3) }
}

#[test]
fn earlier_report_read() {
    let earlier = EarlierReport {
        process: ProcessId(7),
        slots: Slots(3),
        in_use: 3,
        queued: 0,
        flows: 9,
        pace: report().pace,
    };
    let mut bytes = vec![LOAD_VARIANT];
    bytes.extend(postcard::to_stdvec(&earlier).unwrap());
    let Message::Load(read) = postcard::from_bytes(&bytes).unwrap() else { panic!("no report") };
    assert_eq!(read, LoadReport { detail: LoadDetail::default(), ..report() });
}

#[test]
fn report_read_by_earlier_version() {
    let bytes = postcard::to_stdvec(&Message::Load(report())).unwrap();
    assert_eq!(bytes[0], LOAD_VARIANT);
    let read: EarlierReport = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!((read.in_use, read.flows, read.pace), (3, 9, report().pace));
    assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), Message::Load(report()));
}

#[test]
fn earlier_sync_reply_read() {
    let earlier = EarlierReply {
        members: Vec::new(),
        changes: Vec::new(),
        tree: None,
        routes: Some(RouteTree::default()),
        evacuations: None,
    };
    let mut bytes = vec![SYNC_REPLY_VARIANT];
    bytes.extend(postcard::to_stdvec(&earlier).unwrap());
    let StreamMessage::SyncReply { routes, overload, .. } = postcard::from_bytes(&bytes).unwrap()
    else {
        panic!("no reply")
    };
    assert_eq!(routes, Some(RouteTree::default()));
    assert_eq!(overload, dillmill_settings::OverloadSettings::default());
}

fn member() -> Member {
    let (vm, zone) = ("vm-1".parse().unwrap(), "zone-a".parse().unwrap());
    let address = "10.0.0.1:7000".parse().unwrap();
    Member::new(ProcessId(7), vm, zone, Role::Balancer, address, address)
}

fn status() -> ProcessStatus {
    let load = LoadStatus {
        slots: Slots(3),
        requests: 4,
        waiting: 2,
        waiting_by_class: Some([0, 2, 0, 0]),
        service_time_ms: Some(61),
        flow_demand: None,
    };
    ProcessStatus {
        member: member(),
        revision: Revision(5),
        evacuations: Evacuations::default(),
        platform_reachable: true,
        flows: 9,
        serving: 2,
        load: Some(load),
    }
}

fn earlier_status() -> EarlierStatus {
    EarlierStatus {
        member: member(),
        revision: Revision(5),
        evacuations: Evacuations::default(),
        platform_reachable: true,
        flows: 9,
        serving: 2,
    }
}

#[test]
fn earlier_status_read() {
    let mut bytes = vec![STATUS_VARIANT];
    bytes.extend(postcard::to_stdvec(&earlier_status()).unwrap());
    let read: StreamMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, StreamMessage::Status(Box::new(ProcessStatus { load: None, ..status() })));
}

#[test]
fn status_read_by_earlier_version() {
    let message = StreamMessage::Status(Box::new(status()));
    let bytes = postcard::to_stdvec(&message).unwrap();
    assert_eq!(bytes[0], STATUS_VARIANT);
    assert_eq!(postcard::from_bytes::<EarlierStatus>(&bytes[1..]).unwrap(), earlier_status());
    assert_eq!(postcard::from_bytes::<StreamMessage>(&bytes).unwrap(), message);
}

fn refusal(detail: RefusalDetail) -> Message {
    let earlier = earlier_refusal();
    Message::Flow(FlowMessage::Refused { flow: earlier.flow, placed: earlier.placed, detail })
}

fn earlier_refusal() -> EarlierRefusal {
    let (caller, route) = ("100.64.0.7:40001", "198.18.0.1:443");
    let flow = FlowTuple::new(caller.parse().unwrap(), route.parse().unwrap());
    EarlierRefusal { flow, placed: ProcessId(7) }
}

#[test]
fn earlier_refusal_read() {
    let mut bytes = REFUSED_VARIANTS.to_vec();
    bytes.extend(postcard::to_stdvec(&earlier_refusal()).unwrap());
    let read: Message = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, refusal(RefusalDetail::default()));
}

#[test]
fn refusal_read_by_earlier_version() {
    let tried = vec![ProcessId(7), ProcessId(8)];
    let message = refusal(RefusalDetail { tried, packet: Some(vec![1, 2, 3]) });
    let bytes = postcard::to_stdvec(&message).unwrap();
    assert_eq!(bytes[..2], REFUSED_VARIANTS);
    let read: EarlierRefusal = postcard::from_bytes(&bytes[2..]).unwrap();
    assert_eq!(read, earlier_refusal());
    assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
}
