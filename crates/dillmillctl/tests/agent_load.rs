//! Tests of `dillmillctl load` against processes that the test itself plays. Guard against agents that are
//! left out because they do not answer, or because they are of an earlier version.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::Command;

use compio::net::TcpListener;
use dillmill_core::{
    Evacuations, Member, MemberStatus, ProcessId, Revision, Role, Slots, ZoneName,
};
use dillmill_node::Framed;
use dillmill_wire::{ClusterKey, LoadStatus, ProcessStatus, StreamMessage};
use serde_json::{Value, json};

const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";
/// Nothing listens on port 1 of loopback.
const NOBODY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

fn member(n: u64, role: &str, zone: &str, control: SocketAddrV4) -> Member {
    let role = role.parse().map_or(Role::Balancer, Role::Agent);
    let vm = format!("vm-{n}").parse().unwrap();
    Member::new(ProcessId(n), vm, zone.parse().unwrap(), role, control, control)
}

fn status(member: Member, load: Option<LoadStatus>) -> ProcessStatus {
    ProcessStatus {
        member,
        revision: Revision(3),
        evacuations: Evacuations::new(Revision(2), ["zone-b".parse::<ZoneName>().unwrap()]),
        platform_reachable: true,
        flows: 70,
        serving: 4,
        load,
    }
}

fn busy() -> LoadStatus {
    LoadStatus {
        slots: Slots(3),
        requests: 4,
        waiting: 14,
        waiting_by_class: Some([0, 2, 11, 1]),
        service_time_ms: Some(61),
        flow_demand: Some(2750),
    }
}

/// A process that answers requests for its status, and for the members that it is given.
struct Peer {
    listener: TcpListener,
    address: SocketAddrV4,
}

impl Peer {
    async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else { panic!("no IPv4") };
        Self { listener, address }
    }

    async fn serve(self, members: Vec<Member>, status: ProcessStatus) {
        let key = ClusterKey::from_hex(KEY).unwrap();
        loop {
            let (stream, from) = self.listener.accept().await.unwrap();
            let mut framed = Framed::new(stream, key.clone(), from.to_string());
            let reply = match framed.receive().await.unwrap() {
                StreamMessage::GetMembers => StreamMessage::Members(members.clone()),
                StreamMessage::GetStatus => StreamMessage::Status(Box::new(status.clone())),
                other => panic!("asked {other:?}"),
            };
            framed.send(&reply).await.unwrap();
        }
    }
}

/// Runs `dillmillctl load` for a service whose agents are a busy one, one of an earlier version, and one
/// that does not answer.
fn load(service: &str, more: &[&str]) -> (i32, String, String) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("ctl.yaml");
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async {
            let (busy_peer, earlier_peer) = (Peer::bind().await, Peer::bind().await);
            let busy_member = member(1, "pay", "zone-b", busy_peer.address);
            let earlier_member = member(2, "pay", "zone-a", earlier_peer.address);
            let mut down = member(5, "pay", "zone-a", NOBODY);
            down.status = MemberStatus::Down;
            let members = vec![
                member(3, "pay", "zone-a", NOBODY),
                earlier_member.clone(),
                busy_member.clone(),
                member(4, "feed", "zone-a", NOBODY),
                member(6, "", "zone-a", NOBODY),
                down,
            ];
            tx.send(busy_peer.address).unwrap();
            let earlier = earlier_peer.serve(Vec::new(), status(earlier_member, None));
            compio::runtime::spawn(earlier).detach();
            busy_peer.serve(members, status(busy_member, Some(busy()))).await;
        });
    });
    let peer = rx.recv().unwrap();
    let text = format!("platform: http://{NOBODY}\ncluster_key: \"{KEY}\"\npeers: [\"{peer}\"]\n");
    std::fs::write(&file, text).unwrap();
    let config = file.display().to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dillmillctl"));
    let output = command.args(["load", service, "--config", &config]).args(more).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

#[test]
fn table_lists_agents() {
    let (code, table, error) = load("pay", &[]);
    let rows: Vec<Vec<&str>> =
        table.lines().skip(1).map(|row| row.split_whitespace().collect()).collect();
    assert_eq!(rows.len(), 3, "{table}");
    assert_eq!(
        rows[0],
        ["vm-1", "zone-b", "3", "4", "14", "0", "2", "11", "1", "61", "70", "2750", "yes"]
    );
    assert_eq!(
        rows[1],
        ["vm-2", "zone-a", "-", "-", "-", "-", "-", "-", "-", "-", "70", "-", "no"]
    );
    assert_eq!(rows[2].join(" "), "vm-3 zone-a does not answer");
    assert_eq!(code, 1);
    assert!(error.contains("1 agents of pay do not answer"), "{error}");
}

#[test]
fn json_lists_agents() {
    let (_, text, _) = load("pay", &["--json"]);
    let load: Value = serde_json::from_str(&text).unwrap();
    let answers: Vec<&Value> =
        load["agents"].as_array().unwrap().iter().map(|agent| &agent["answer"]).collect();
    let expected = json!({"evacuated": true, "flows": 70, "load": {
        "slots": 3, "requests": 4, "waiting": 14, "waiting_by_class": [0, 2, 11, 1],
        "service_time_ms": 61, "flow_demand": 2750,
    }});
    assert_eq!(answers[0], &expected);
    assert_eq!((&answers[1]["load"], answers[2]), (&Value::Null, &Value::Null));
    assert_eq!(load["agents"][2]["member"]["vm"], "vm-3");
}

#[test]
fn unknown_service_refused() {
    let (code, _, error) = load("photo", &[]);
    assert_eq!(code, 2, "{error}");
    assert!(error.contains("no agent of service photo is known"), "{error}");
}
