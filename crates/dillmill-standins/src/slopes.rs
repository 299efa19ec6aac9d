//! Measures the cost of the decision code at the planned size of the installation, by calling it directly.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dillmill_core::claims::{ClaimKey, ClaimLedger, Ring, RingMember};
use dillmill_core::scheduler::{Offer, RequestId, Scheduler, SchedulingRequest, Sharing};
use dillmill_core::{
    FlowId, FlowKey, FlowKeys, GroupName, Home, HomeTable, Member, Membership, ProcessId, Role,
    Secret, ServiceNumber, Slots, Timestamp, Weight,
};
use dillmill_settings::{NodePath, Tree};
use dillmill_wire::{ClusterKey, Message};
use serde_json::{Value, json};

use crate::StandinError;
use crate::cluster::{CLUSTER_KEY, FLOW_KEY};

const BALANCERS: u32 = 890;
const TARGETS: u32 = 5600;
const SERVICES: u32 = 640;
const GROUPS: u32 = 60;

fn mean_time(times: u32, mut f: impl FnMut(u32)) -> Duration {
    let started = Instant::now();
    (0..times).for_each(&mut f);
    started.elapsed() / times
}

fn nanos_json(span: Duration) -> Value {
    json!(span.as_nanos())
}

fn addr(n: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + n), 7000)
}

fn member(n: u32) -> Result<Member, StandinError> {
    let role = if n < BALANCERS {
        Role::Balancer
    } else {
        let name = format!("service-{}", n % SERVICES);
        Role::Agent(name.parse().map_err(StandinError::at("name"))?)
    };
    Ok(Member {
        store: dillmill_core::StoreReach::Answers,
        started: Timestamp::from_millis(u64::from(n)),
        weight: Weight(100),
        ..Member::new(
            ProcessId(u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            format!("vm-{n}").parse().map_err(StandinError::at("name"))?,
            format!("zone-{}", n % 7).parse().map_err(StandinError::at("name"))?,
            role,
            addr(n),
            addr(n),
        )
    })
}

/// Measures all costs and prints them as JSON.
///
/// # Errors
///
/// Fails when a generated input is refused.
pub fn run() -> Result<(), StandinError> {
    let result = json!({
        "routing": routing()?,
        "membership": membership()?,
        "settings": settings()?,
        "scheduler": scheduler()?,
        "claims": claims(),
        "sharing": sharing()?,
    });
    println!("{result:#}");
    Ok(())
}

fn routing() -> Result<Value, StandinError> {
    let key = FlowKey { id: 1, secret: Secret::new(FLOW_KEY) };
    let keys = FlowKeys::new(&[key]).map_err(StandinError::at("flow key"))?;
    let id = keys.seal(FlowId { service: ServiceNumber(1), agent: addr(1) }, [1; 7]);
    let open = mean_time(1_000_000, |_| {
        let _ = black_box(keys.open(black_box(&id)));
    });
    let mut lookups = Vec::new();
    for n in [9, 100, 1000] {
        let homes = (1..=n).map(|i| Home {
            process: ProcessId(u64::from(i)),
            data: addr(i),
            control: addr(i),
            weight: Weight(100),
        });
        let table = HomeTable::new(homes);
        let lookup = mean_time(20_000, |i| {
            black_box(table.home(&i.to_le_bytes()));
        });
        lookups.push(json!({ "targets": n, "ns": lookup.as_nanos() }));
    }
    Ok(json!({ "open_id_ns": nanos_json(open), "first_packet_lookup": lookups }))
}

fn membership() -> Result<Value, StandinError> {
    let all = BALANCERS + TARGETS;
    let now = Timestamp::from_millis(1_000_000);
    let before = crate::usage::Usage::of(std::process::id()).memory;
    let mut view = Membership::new(member(0)?);
    let members = (1..all).map(member).collect::<Result<Vec<_>, _>>()?;
    let started = Instant::now();
    for m in &members {
        view.learn(m.clone(), now);
    }
    let fill = started.elapsed();
    let memory = crate::usage::Usage::of(std::process::id()).memory.saturating_sub(before);
    // Sends out the new records first, as after a join.
    while view.tick(now, &mut |n| n / 2).len() > 8 {}
    let mut at = now;
    let tick = mean_time(200, |_| {
        at = at + Duration::from_millis(50);
        black_box(view.tick(at, &mut |n| n / 2));
    });
    let mut version = 1;
    let change = mean_time(200, |i| {
        version += 1;
        let mut m = members[usize::try_from(i).unwrap_or(0)].clone();
        m.version = version;
        view.learn(m, at);
        black_box(view.tick(at, &mut |n| n / 2));
    });
    let key = ClusterKey::from_hex(CLUSTER_KEY).map_err(StandinError::at("cluster key"))?;
    let sealed = |message: &Message| key.seal(message).map_or(0, |b| b.len());
    let probe = dillmill_core::membership::Probe::Records(vec![members[1000].clone()]);
    let ping = dillmill_core::membership::Probe::Ping {
        seq: 1_000_000,
        digest: view.digest(),
        receiver_record: None,
    };
    let buckets = mean_time(50, |_| {
        black_box(view.buckets(7));
    });
    Ok(json!({
        "members": all,
        "learn_each_ns": (fill / all).as_nanos(),
        "memory_bytes": memory,
        "tick_ns": tick.as_nanos(),
        "change_and_tick_ns": change.as_nanos(),
        "record_datagram_bytes": sealed(&Message::Probe(probe)),
        "ping_datagram_bytes": sealed(&Message::Probe(ping)),
        "bucket_hashes_ns": buckets.as_nanos(),
    }))
}

fn big_tree() -> Result<Tree, StandinError> {
    let mut tree = Tree::default();
    let path = |text: String| text.parse::<NodePath>().map_err(StandinError::at("path"));
    let root = format!("flow_keys: [{{ id: 1, secret: \"{FLOW_KEY}\" }}]\n");
    tree = tree.with(NodePath::Root, Some(root));
    // A certificate and key of the usual size; only their length matters here.
    let pem = |kind: &str, lines| {
        format!(
            "    -----BEGIN {kind}-----\n{}    -----END {kind}-----\n",
            format!("    {}\n", "A".repeat(64)).repeat(lines)
        )
    };
    for n in 0..SERVICES {
        let text = format!(
            "number: {}\naddress: {}\nslots: 5\ntls:\n  certificate: |\n{}  key: |\n{}",
            n + 1,
            addr(n),
            pem("CERTIFICATE", 12),
            pem("PRIVATE KEY", 3),
        );
        tree = tree.with(path(format!("services/service-{n}"))?, Some(text));
    }
    for n in 0..GROUPS {
        tree =
            tree.with(path(format!("groups/group-{n}"))?, Some("limits: { weight: 5 }\n".into()));
        let leaf = path(format!("groups/group-{n}/service-{n}"))?;
        tree = tree.with(leaf, Some("limits: { weight: 7 }\n".into()));
    }
    Ok(tree)
}

fn settings() -> Result<Value, StandinError> {
    let before = crate::usage::Usage::of(std::process::id()).memory;
    let tree = big_tree()?;
    let bytes: usize = tree.nodes.values().map(|node| node.text.len()).sum();
    let check = mean_time(5, |_| {
        let _ = black_box(tree.check());
    });
    let compiled = tree.check().map_err(|p| StandinError::new("check", format!("{p:?}")))?;
    let memory = crate::usage::Usage::of(std::process::id()).memory.saturating_sub(before);
    let group = "group-3".parse().map_err(StandinError::at("name"))?;
    let service = "service-3".parse().map_err(StandinError::at("name"))?;
    let limits = mean_time(100_000, |_| {
        black_box(compiled.limits(&group, &service));
    });
    Ok(json!({
        "services": SERVICES,
        "groups": GROUPS,
        "text_bytes": bytes,
        "whole_check_ns": check.as_nanos(),
        "limits_lookup_ns": limits.as_nanos(),
        "memory_bytes": memory,
    }))
}

fn scheduler() -> Result<Value, StandinError> {
    let mut rows = Vec::new();
    for groups in [3_u64, 60] {
        let mut scheduler = Scheduler::new(Slots(5));
        let now = Timestamp::from_millis(1000);
        let names = (0..groups)
            .map(|g| format!("group-{g}").parse::<GroupName>().map_err(StandinError::at("name")))
            .collect::<Result<Vec<_>, _>>()?;
        let each_request = mean_time(50_000, |i| {
            let i = u64::from(i);
            let request = SchedulingRequest {
                id: RequestId(i),
                group: names[usize::try_from(i % groups).unwrap_or(0)].clone(),
                weight: Weight(10),
                deadline: now + Duration::from_hours(1),
                max_queue: 64,
                max_wait: Duration::from_hours(1),
            };
            black_box(scheduler.offer(&request, now));
            if i >= 20 {
                black_box(scheduler.finish(RequestId(i - 20), now));
            }
        });
        rows.push(json!({ "groups": groups, "offer_and_finish_ns": each_request.as_nanos() }));
    }
    Ok(json!(rows))
}

/// Compares ways of sharing slots in virtual time: one group floods while another makes a request now and
/// then.
fn sharing() -> Result<Value, StandinError> {
    let mut rows = Vec::new();
    for (name, sharing) in [("fair", Sharing::Fair), ("arrival-order", Sharing::ArrivalOrder)] {
        for flooded in [false, true] {
            let mut waits = virtual_waits(sharing, flooded)?;
            waits.sort_unstable();
            let at = |q: usize| waits.get(waits.len() * q / 100).map_or(0, Duration::as_millis);
            rows.push(json!({
                "sharing": name,
                "flooded": flooded,
                "runs": waits.len(),
                "wait_p50_ms": at(50),
                "wait_p99_ms": at(99),
            }));
        }
    }
    Ok(json!(rows))
}

/// Returns the waits of the small group's requests over 60 s at a target with 5 slots and runs of 20 ms.
fn virtual_waits(sharing: Sharing, flooded: bool) -> Result<Vec<Duration>, StandinError> {
    const RUN: Duration = Duration::from_millis(20);
    let small: GroupName = "small".parse().map_err(StandinError::at("name"))?;
    let flood: GroupName = "flood".parse().map_err(StandinError::at("name"))?;
    let mut scheduler = Scheduler::new(Slots(5)).sharing(sharing);
    let mut asked: Vec<(bool, Timestamp)> = Vec::new();
    let mut running: Vec<(RequestId, Timestamp)> = Vec::new();
    let mut waits = Vec::new();
    for ms in 0..60_000_u64 {
        let now = Timestamp::from_millis(1000 + ms);
        let mut started = Vec::new();
        let ended: Vec<RequestId> =
            running.iter().filter(|(_, end)| *end <= now).map(|(id, _)| *id).collect();
        running.retain(|(_, end)| *end > now);
        for id in ended {
            started.extend(scheduler.finish(id, now));
        }
        scheduler.expire(now);
        let offers = [(&small, ms % 40 == 0), (&flood, flooded), (&flood, flooded && ms % 2 == 0)];
        for (group, _) in offers.iter().filter(|(_, due)| *due) {
            let id = RequestId(u64::try_from(asked.len()).unwrap_or(u64::MAX));
            asked.push((*group == &small, now));
            let request = SchedulingRequest {
                id,
                group: (*group).clone(),
                weight: Weight(10),
                deadline: now + Duration::from_secs(10),
                max_queue: 64,
                max_wait: Duration::from_secs(2),
            };
            if scheduler.offer(&request, now) == Offer::Run {
                started.push(id);
            }
        }
        for id in started {
            running.push((id, now + RUN));
            let (is_small, at) = asked[usize::try_from(id.0).unwrap_or(0)];
            if is_small {
                waits.push(now.since(at));
            }
        }
    }
    Ok(waits)
}

fn claims() -> Value {
    let ring_member = |n: u32| RingMember { process: ProcessId(u64::from(n)), control: addr(n) };
    let ring =
        (1..=9).fold(Ring::default(), |ring, n| ring.changed(&[ring_member(n)], &[], ring.epoch));
    let ring = Ring { past: Vec::new(), ..ring };
    let now = Timestamp::from_millis(1000);
    let mut ledger = ClaimLedger::new(ring_member(1), Duration::from_mins(10));
    ledger.adopt(ring.clone(), now);
    let before = crate::usage::Usage::of(std::process::id()).memory;
    let claim = mean_time(200_000, |n| {
        let mut key = [0; 16];
        key[..4].copy_from_slice(&n.to_le_bytes());
        let key = ClaimKey(key);
        if ledger.authority(key) == Some(ring_member(1)) {
            black_box(ledger.claim(key, ring.epoch, ring_member(2), now));
        } else {
            let _ = black_box(ledger.begin(key, ring.epoch, now));
        }
    });
    let memory = crate::usage::Usage::of(std::process::id()).memory.saturating_sub(before);
    json!({
        "ring": 9,
        "claim_or_begin_ns": claim.as_nanos(),
        "bytes_per_record": memory / 200_000,
    })
}
