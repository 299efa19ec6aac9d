//! Tests how fast changed records spread between data centres by gossip, and what that costs.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dillmill_core::membership::Probe;
use dillmill_core::{Member, MemberStatus, Membership, ProcessId, Role, Timestamp, Weight};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const START: Timestamp = Timestamp::from_millis(100_000);
const STEP: Duration = Duration::from_millis(50);
const MEMBERS: u8 = 60;
/// Number of members that count as nearly all. A few miss a change, as each member passes it on once;
/// they notice it by the next digest.
const NEARLY_ALL: usize = 57;

fn zone(n: u8) -> u8 {
    n % 3
}

fn addr(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7000)
}

fn member(n: u8) -> Member {
    Member {
        started: Timestamp::from_millis(u64::from(n)),
        weight: Weight(100),
        ..Member::new(
            ProcessId(u64::from(n)),
            format!("vm-{n}").parse().unwrap(),
            format!("zone-{}", zone(n)).parse().unwrap(),
            Role::Balancer,
            SocketAddrV4::new(*addr(n).ip(), 7001),
            addr(n),
        )
    }
}

fn views() -> BTreeMap<SocketAddrV4, Membership> {
    let mut views = BTreeMap::new();
    for n in 1..=MEMBERS {
        let mut view = Membership::new(member(n));
        for other in (1..=MEMBERS).filter(|other| *other != n) {
            view.learn(member(other), START);
        }
        views.insert(addr(n), view);
    }
    views
}

/// Simulates one step of all members. Returns the number of records passed on, and how many of these
/// went between data centres.
fn step(
    views: &mut BTreeMap<SocketAddrV4, Membership>,
    rng: &mut SmallRng,
    now: Timestamp,
) -> (usize, usize) {
    let (mut sent, mut remote) = (0, 0);
    let mut messages = Vec::new();
    for (from, view) in views.iter_mut() {
        let out = view.tick(now, &mut |n| rng.random_range(0..n));
        messages.extend(out.into_iter().map(|out| (*from, out)));
    }
    for (from, out) in messages {
        if let Probe::Records(records) = &out.probe {
            sent += records.len();
            if zone(from.ip().octets()[3]) != zone(out.to.ip().octets()[3]) {
                remote += records.len();
            }
        }
        if let Some(view) = views.get_mut(&out.to) {
            view.receive(from, out.probe, now, &mut |n| rng.random_range(0..n));
        }
    }
    (sent, remote)
}

/// Gossip prefers peers in the same data centre, which must not slow it down. Load: one of 60 members in
/// three data centres leaves, with ten random seeds.
///
/// Nearly all members know after four steps of 50 ms, as with peers drawn from all data centres, and 11
/// of 600 miss the change (15 with peers from everywhere). The share of records that go between data
/// centres is 0.36 instead of 0.67. The thresholds for steps and misses are the figures with peers from
/// everywhere; the one for bytes is a sixth above the measured share.
#[test]
fn gossip_stays_near() {
    let (mut sent, mut remote, mut missed, mut steps) = (0, 0, 0, Vec::new());
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut views = views();
        for i in 0..4 {
            step(&mut views, &mut rng, START + STEP * i);
        }
        let leaver = views.get_mut(&addr(7)).unwrap();
        leaver.update_me(|me| me.status = MemberStatus::Leaving);
        let known = |view: &Membership| {
            view.all().any(|m| m.control == addr(7) && m.status == MemberStatus::Leaving)
        };
        let mut steps_taken = 0;
        while steps_taken < 20 && views.values().filter(|view| known(view)).count() < NEARLY_ALL {
            steps_taken += 1;
            let (s, f) = step(&mut views, &mut rng, START + STEP * (steps_taken + 4));
            sent += s;
            remote += f;
        }
        steps.push(steps_taken);
        for i in 0..10 {
            step(&mut views, &mut rng, START + STEP * (steps_taken + 5 + i));
        }
        missed += views.values().filter(|view| !known(view)).count();
    }
    steps.sort_unstable();
    assert!(steps[5] <= 4, "{steps:?}");
    assert!(remote * 100 <= sent * 42, "{remote} of {sent} records between data centres");
    assert!(missed <= 15, "{missed} of 600 have missed the change");
}
