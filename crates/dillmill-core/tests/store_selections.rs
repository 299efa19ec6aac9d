//! Tests which processes are selected to use the platform's store.

use std::net::SocketAddrV4;

use dillmill_core::store_selection::{REGISTERED_PROCESSES, is_selected};
use dillmill_core::{Member, MemberStatus, ProcessId, Role, StoreReach, Weight};

fn member(n: u8, role: Role) -> Member {
    let addr = |port| SocketAddrV4::new([10, 0, 0, n].into(), port);
    Member {
        weight: Weight(5),
        ..Member::new(
            ProcessId(u64::from(n)),
            format!("vm-{n}").parse().unwrap(),
            "zone-1".parse().unwrap(),
            role,
            addr(7001),
            addr(7000),
        )
    }
}

fn fleet(balancers: u8, agents: u8) -> Vec<Member> {
    let agent = || Role::Agent("orders".parse().unwrap());
    let balancers = (1..=balancers).map(|n| member(n, Role::Balancer));
    balancers.chain((101..=100 + agents).map(|n| member(n, agent()))).collect()
}

fn registered(fleet: &[Member]) -> Vec<u64> {
    let selected = |m: &&Member| is_selected(m.process, fleet.iter(), REGISTERED_PROCESSES);
    fleet.iter().filter(selected).map(|m| m.process.0).collect()
}

#[test]
fn selection_size_constant() {
    assert_eq!(registered(&fleet(4, 11)).len(), REGISTERED_PROCESSES);
    assert_eq!(registered(&fleet(60, 120)).len(), REGISTERED_PROCESSES);
    assert_eq!(registered(&fleet(1, 2)).len(), 3);
}

#[test]
fn agents_before_balancers() {
    assert!(registered(&fleet(20, 8)).iter().all(|n| *n > 100));
    assert_eq!(registered(&fleet(20, 4)).iter().filter(|n| **n > 100).count(), 4);
}

/// A registered process that the store rejects, or that is suspect, is replaced; the others stay
/// selected.
#[test]
fn next_process_replaces() {
    let mut fleet = fleet(4, 11);
    let before = registered(&fleet);
    let i = fleet.iter().position(|m| m.process.0 == before[0]).unwrap();
    fleet[i].store = StoreReach::Fails;
    let j = fleet.iter().position(|m| m.process.0 == before[1]).unwrap();
    fleet[j].status = MemberStatus::Suspect;
    let after = registered(&fleet);
    assert_eq!(after.len(), REGISTERED_PROCESSES);
    assert_eq!(before[2..].iter().filter(|n| after.contains(n)).count(), REGISTERED_PROCESSES - 2);
    assert!(!after.contains(&before[0]) && !after.contains(&before[1]));
}

/// While the store answers no process, some processes must keep calling it to notice its return.
#[test]
fn outage_keeps_selection() {
    let mut fleet = fleet(4, 11);
    let before = registered(&fleet);
    for m in &mut fleet {
        m.store = StoreReach::Fails;
    }
    assert_eq!(registered(&fleet), before);
}
