//! Tests to which agent a balancer gives a new flow, and which owners it caches.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::owner_cache::MISSING_CONFIRM_DELAY;
use dillmill_core::placement::LoadReport;
use dillmill_core::{
    AgentTable, FlowPlacement, FlowTuple, Member, MemberStatus, Owner, OwnerCache, PauseDetector,
    ProcessId, Role, ServiceTag, Timestamp, Weight,
};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn addr(n: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), port)
}

fn member(n: u8, zone: &str) -> Member {
    Member {
        weight: Weight(5),
        ..Member::new(
            ProcessId(u64::from(n)),
            format!("vm-{n}").parse().unwrap(),
            zone.parse().unwrap(),
            Role::Agent("orders".parse().unwrap()),
            addr(n, 7001),
            addr(n, 7000),
        )
    }
}

fn table(zones: &[&str]) -> AgentTable {
    let members: Vec<Member> = (1..).zip(zones).map(|(n, zone)| member(n, zone)).collect();
    AgentTable::new(members.iter(), &"near".parse().unwrap())
}

fn flow(port: u16) -> FlowTuple {
    FlowTuple::new(addr(200, port), addr(201, 443))
}

fn orders() -> ServiceTag {
    ServiceTag::from(&"orders".parse().unwrap())
}

fn placement(agents: &AgentTable) -> FlowPlacement {
    let mut placement = FlowPlacement::default();
    placement.retain(agents);
    placement
}

fn report(n: u64, in_use: u16) -> LoadReport {
    LoadReport { in_use, ..LoadReport::idle(ProcessId(n), 5) }
}

fn placed(placement: &mut FlowPlacement, agents: &AgentTable, port: u16, now: Timestamp) -> u64 {
    placement.place(&flow(port), orders(), agents, &[], now).unwrap().process.0
}

#[test]
fn flows_spread_evenly_without_reports() {
    let agents = table(&["near"; 4]);
    let mut placement = placement(&agents);
    let mut counts = [0; 5];
    for port in 0..100 {
        counts[usize::try_from(placed(&mut placement, &agents, port, NOW)).unwrap()] += 1;
    }
    assert_eq!(counts[1..], [25; 4]);
}

#[test]
fn near_agents_first_until_busy() {
    let agents = table(&["near", "far"]);
    let mut placement = placement(&agents);
    placement.report(report(1, 1));
    assert_eq!(placed(&mut placement, &agents, 1, NOW), 1);
    placement.report(report(1, 5));
    assert_eq!(placed(&mut placement, &agents, 2, NOW), 2);
}

/// An agent that sends no load report after it was given a flow gets no more flows until it answers,
/// while others report.
#[test]
fn silent_agent_avoided() {
    let agents = table(&["near", "far"]);
    let mut placement = placement(&agents);
    assert_eq!(placed(&mut placement, &agents, 1, NOW), 1);
    let later = NOW + Duration::from_millis(250);
    assert!(placement.silent(ProcessId(1), later));
    assert_eq!(placed(&mut placement, &agents, 2, later), 2);
    assert_eq!(placement.take_probes_due(later), [addr(1, 7000)]);
    assert!(placement.take_probes_due(later).is_empty(), "asked again at once");
    placement.report(report(1, 0));
    assert!(!placement.silent(ProcessId(1), later));
    assert_eq!(placed(&mut placement, &agents, 3, later), 1);
}

#[test]
fn all_silent_means_isolated() {
    let agents = table(&["near", "near"]);
    let mut placement = placement(&agents);
    placed(&mut placement, &agents, 1, NOW);
    placed(&mut placement, &agents, 2, NOW);
    let later = NOW + Duration::from_millis(250);
    assert!(!placement.reaches_any(later));
    placement.report(report(2, 0));
    assert!(placement.reaches_any(later));
}

#[test]
fn copy_placed_elsewhere() {
    let agents = table(&["near", "near"]);
    let mut placement = placement(&agents);
    let first = ProcessId(placed(&mut placement, &agents, 1, NOW));
    let other = placement.place(&flow(1), orders(), &agents, &[first], NOW).unwrap();
    assert_ne!(other.process, first);
}

#[test]
fn missing_needs_confirmation() {
    let mut owners = OwnerCache::default();
    assert!(!owners.missing(flow(1), MISSING_CONFIRM_DELAY, NOW));
    assert!(
        !owners.missing(flow(1), MISSING_CONFIRM_DELAY, NOW + Duration::from_millis(10)),
        "from the same search"
    );
    assert!(owners.missing(flow(1), MISSING_CONFIRM_DELAY, NOW + Duration::from_millis(200)));
    let owner = Owner { process: ProcessId(1), data: addr(1, 7001) };
    owners.set(flow(1), owner, NOW);
    assert_eq!(owners.get(&flow(1), NOW), Some(owner));
    assert!(
        !owners.missing(flow(1), MISSING_CONFIRM_DELAY, NOW + Duration::from_millis(400)),
        "the flow was found meanwhile"
    );
}

#[test]
fn unused_owners_forgotten() {
    let mut owners = OwnerCache::default();
    let owner = Owner { process: ProcessId(1), data: addr(1, 7001) };
    owners.set(flow(1), owner, NOW);
    owners.set(flow(2), owner, NOW);
    for second in 1..60 {
        owners.get(&flow(1), NOW + Duration::from_secs(second));
    }
    assert_eq!(owners.len(), 1);
}

/// After a restart of everything most agents are late with their reports. New flows must not all go to
/// the one that is not.
#[test]
fn widespread_silence_ignored() {
    let agents = table(&["near"; 4]);
    let mut placement = placement(&agents);
    for port in 0..4 {
        placed(&mut placement, &agents, port, NOW);
    }
    placement.report(report(4, 1));
    let later = NOW + Duration::from_millis(300);
    let mut counts = [0; 5];
    for port in 0..100 {
        counts[usize::try_from(placed(&mut placement, &agents, port, later)).unwrap()] += 1;
    }
    assert!(counts[4] < 40, "{counts:?}");
}

/// Flows that carry many bytes are kept in their data centre under higher load than others.
#[test]
fn uploads_stay_near() {
    let agents = table(&["near", "far"]);
    let mut placement = placement(&agents);
    for port in 0..20 {
        placed(&mut placement, &agents, port, NOW);
        placement.count_bytes(orders(), 40_000);
    }
    placement.report(report(2, 0));
    placement.report(report(1, 5));
    assert_eq!(placed(&mut placement, &agents, 100, NOW), 1);
    placement.report(LoadReport { queued: 10, ..report(1, 5) });
    assert_eq!(placed(&mut placement, &agents, 101, NOW), 2);
}

/// After a pause of its own, a balancer must not treat all agents as silent.
#[test]
fn own_pause_forgiven() {
    let agents = table(&["near", "far"]);
    let mut placement = placement(&agents);
    let mut pauses = PauseDetector::new(Duration::from_millis(200));
    placed(&mut placement, &agents, 1, NOW);
    assert!(!pauses.was_paused(NOW));
    let awake = NOW + Duration::from_secs(2);
    assert!(placement.silent(ProcessId(1), awake));
    assert!(pauses.was_paused(awake));
    placement.reset_silence(awake);
    assert!(!placement.silent(ProcessId(1), awake));
    assert!(!pauses.was_paused(awake + Duration::from_millis(100)));
    assert!(placement.silent(ProcessId(1), awake + Duration::from_millis(300)), "still no answer");
}

fn table_of(statuses: &[MemberStatus]) -> AgentTable {
    let members: Vec<Member> = (1..)
        .zip(statuses)
        .map(|(n, status)| Member { status: *status, ..member(n, "near") })
        .collect();
    AgentTable::new(members.iter(), &"near".parse().unwrap())
}

/// All agents of a service with three targets pause at the same time, for 3 s. Callers that were told
/// that there is no agent used up their three attempts within milliseconds, although their requests
/// have 8 s. So flows go to suspect agents if none serves.
#[test]
fn suspect_agent_as_fallback() {
    let agents = table_of(&[MemberStatus::Suspect, MemberStatus::Leaving, MemberStatus::Suspect]);
    let mut placement = placement(&agents);
    assert_eq!(placed(&mut placement, &agents, 1, NOW) % 2, 1, "one of the suspect agents");
    let agents = table_of(&[MemberStatus::Suspect, MemberStatus::Serving, MemberStatus::Suspect]);
    for port in 0..30 {
        assert_eq!(placed(&mut placement, &agents, port, NOW), 2, "while one serves");
    }
}

#[test]
fn no_agent_left_reported() {
    let agents = table_of(&[MemberStatus::Leaving, MemberStatus::Down, MemberStatus::Empty]);
    let mut placement = placement(&agents);
    assert!(placement.place(&flow(1), orders(), &agents, &[], NOW).is_none());
}
