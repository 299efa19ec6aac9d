//! Tests how views of the members change with answers, missing answers and gossip.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dillmill_core::membership::{FleetSize, Outgoing, Probe, StoredSize};
use dillmill_core::{
    AgentTable, FlowTuple, Member, MemberStatus, Membership, ProcessId, Role, ServiceName,
    ServiceTag, Timestamp, Weight,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(50);

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
            "zone-1".parse().unwrap(),
            Role::Balancer,
            SocketAddrV4::new(*addr(n).ip(), 7001),
            addr(n),
        )
    }
}

/// Delivers messages between views at once, except those to and from isolated members.
struct Net {
    views: BTreeMap<SocketAddrV4, Membership>,
    isolated: Vec<SocketAddrV4>,
    rng: SmallRng,
    now: Timestamp,
}

impl Net {
    fn new(n: u8, seeds: impl Fn(u8) -> Vec<SocketAddrV4>) -> Self {
        let views =
            (1..=n).map(|i| (addr(i), Membership::new(member(i)).seeds(seeds(i)))).collect();
        let rng = SmallRng::seed_from_u64(7);
        Self { views, isolated: Vec::new(), rng, now: Timestamp::from_millis(1000) }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for from in self.views.keys().copied().collect::<Vec<_>>() {
                if self.isolated.contains(&from) {
                    continue;
                }
                let rng = &mut self.rng;
                let view = self.views.get_mut(&from).unwrap();
                let out = view.tick(self.now, &mut |n| rng.random_range(0..n));
                let sync = view.next_sync_peer(&mut |n| rng.random_range(0..n));
                self.deliver(from, out);
                if let Some(peer) = sync {
                    self.sync(from, peer);
                }
            }
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, out: Vec<Outgoing>) {
        for Outgoing { to, probe } in out {
            if self.isolated.contains(&to) {
                continue;
            }
            let Some(view) = self.views.get_mut(&to) else { continue };
            let rng = &mut self.rng;
            let answers = view.receive(from, probe, self.now, &mut |n| rng.random_range(0..n));
            self.deliver(to, answers);
        }
    }

    fn sync(&mut self, from: SocketAddrV4, peer: SocketAddrV4) {
        if self.isolated.contains(&peer) || !self.views.contains_key(&peer) {
            return;
        }
        let me = self.views[&from].me().clone();
        let buckets = self.views[&from].buckets(self.rng.random());
        self.views.get_mut(&peer).unwrap().learn(me, self.now);
        let members = self.views[&peer].differing(&buckets);
        self.views.get_mut(&from).unwrap().learn_from_sync(members, self.now);
    }

    fn status(&self, seen_by: u8, of: u8) -> Option<MemberStatus> {
        let process = ProcessId(u64::from(of));
        self.views[&addr(seen_by)].standing(process, self.now).map(|(status, _)| status)
    }

    fn all_see(&self, of: u8, status: MemberStatus) -> bool {
        let others = self.views.keys().filter(|a| **a != addr(of) && !self.isolated.contains(a));
        others.map(|a| a.ip().octets()[3]).all(|n| self.status(n, of) == Some(status))
    }
}

fn joined(n: u8) -> Net {
    let mut net = Net::new(n, |_| vec![addr(1)]);
    net.run(Duration::from_secs(5));
    for i in 1..=n {
        assert!(net.all_see(i, MemberStatus::Serving), "{i} is not known to all");
    }
    net
}

#[rstest]
#[case(3)]
#[case(20)]
fn members_join(#[case] n: u8) {
    joined(n);
}

#[test]
fn silent_member_suspected() {
    let mut net = joined(8);
    net.isolated = vec![addr(5)];
    net.run(Duration::from_secs(4));
    for n in [1, 2, 3, 4, 6, 7, 8] {
        assert!(net.status(n, 5) >= Some(MemberStatus::Suspect));
    }
    net.run(Duration::from_secs(6));
    assert!(net.all_see(5, MemberStatus::Down));
}

#[test]
fn returning_member_serves() {
    let mut net = joined(8);
    net.isolated = vec![addr(5)];
    net.run(Duration::from_secs(12));
    net.isolated.clear();
    net.run(Duration::from_secs(15));
    assert!(net.all_see(5, MemberStatus::Serving));
}

#[test]
fn partition_heals() {
    let mut net = joined(8);
    let views = net.views.clone_keys();
    // The halves tick in turn, each while the other is isolated, so neither hears the other.
    for _ in 0..400 {
        net.isolated = views[..4].to_vec();
        net.run(STEP);
        net.isolated = views[4..].to_vec();
        net.run(STEP);
    }
    assert_eq!(net.status(1, 8), Some(MemberStatus::Down));
    assert_eq!(net.status(8, 1), Some(MemberStatus::Down));
    net.isolated.clear();
    net.run(Duration::from_secs(20));
    for i in 1..=8 {
        assert!(net.all_see(i, MemberStatus::Serving), "{i} is not back");
    }
}

trait CloneKeys {
    fn clone_keys(&self) -> Vec<SocketAddrV4>;
}

impl CloneKeys for BTreeMap<SocketAddrV4, Membership> {
    fn clone_keys(&self) -> Vec<SocketAddrV4> {
        self.keys().copied().collect()
    }
}

/// Two agents that had joined only through each other never found the rest of the fleet (seen in the
/// demonstration).
#[test]
fn islands_merge() {
    let mut net = Net::new(6, |n| if n == 6 { vec![addr(5)] } else { vec![addr(1)] });
    net.isolated = vec![addr(1), addr(2), addr(3), addr(4)];
    net.views.get_mut(&addr(5)).unwrap().learn(member(6), Timestamp::from_millis(1000));
    net.run(Duration::from_secs(5));
    assert_eq!(net.status(6, 5), Some(MemberStatus::Serving));
    assert_eq!(net.status(5, 1), None);
    net.isolated.clear();
    net.run(Duration::from_secs(10));
    for i in 1..=6 {
        assert!(net.all_see(i, MemberStatus::Serving), "{i} is not known to all");
    }
}

#[test]
fn leaving_spreads_fast() {
    let mut net = joined(20);
    net.views.get_mut(&addr(9)).unwrap().update_me(|me| me.status = MemberStatus::Leaving);
    net.run(Duration::from_secs(2));
    assert!(net.all_see(9, MemberStatus::Leaving));
}

#[test]
fn restart_retires_predecessor() {
    let mut net = joined(4);
    let mut successor = member(2);
    successor.process = ProcessId(99);
    successor.started = Timestamp::from_millis(9_000_000);
    let now = net.now;
    net.views.get_mut(&addr(3)).unwrap().learn(successor, now);
    assert_eq!(net.status(3, 2), Some(MemberStatus::Down));
}

#[test]
fn paused_member_accuses_nobody() {
    let mut net = joined(4);
    let mut view = net.views.remove(&addr(1)).unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    // The member has a probe in progress and is then paused for a minute.
    let mut now = net.now;
    let mut probing = false;
    for _ in 0..30 {
        now = now + STEP;
        let out = view.tick(now, &mut |n| rng.random_range(0..n));
        probing = out.iter().any(|o| matches!(o.probe, Probe::Ping { .. }));
        if probing {
            break;
        }
    }
    assert!(probing, "no probe is in progress");
    now = now + Duration::from_mins(1);
    view.tick(now, &mut |n| rng.random_range(0..n));
    assert!(view.others().all(|m| m.status == MemberStatus::Serving));
}

/// A view must settle even while records change all the time, so that no two processes hold the same.
#[test]
fn view_settles_while_records_change() {
    let mut net = Net::new(8, |i| vec![addr(i % 8 + 1)]);
    let mut settled_at = None;
    for round in 0..60_u64 {
        for n in 1..=8 {
            let view = net.views.get_mut(&addr(n)).unwrap();
            view.update_me(|me| me.weight = Weight(u16::try_from(100 + round % 7).unwrap()));
        }
        net.run(STEP);
        let now = net.now;
        if net.views.values().all(|view| view.settled(now)) {
            settled_at.get_or_insert(round * 50);
        }
    }
    let settled_at = settled_at.expect("settled within 3 s");
    assert!((1000..1600).contains(&settled_at), "after {settled_at} ms");
}

/// The first two processes to start hold the same records and know nobody else. They must not consider
/// their view complete.
#[test]
fn first_two_not_settled() {
    let mut net = Net::new(2, |_| vec![addr(1), addr(2)]);
    net.run(Duration::from_millis(250));
    assert_eq!(net.views[&addr(1)].fleet(), 2);
    assert!(net.views.values().all(|view| !view.settled(net.now)));
    net.run(Duration::from_millis(400));
    assert!(net.views.values().all(|view| view.settled(net.now)));
}

/// A process that knows the stored fleet size settles as soon as its view has reached that size.
#[test]
fn settles_at_stored_size() {
    let mut net = Net::new(5, |_| vec![addr(1)]);
    let stored = StoredSize { size: FleetSize(6), version: 3 };
    net.views.get_mut(&addr(1)).unwrap().set_stored_size(stored);
    net.run(Duration::from_millis(300));
    assert_eq!(net.views[&addr(4)].stored_size(), stored, "received with the first answer");
    assert!(net.views.values().all(|view| view.fleet() == 5 && !view.settled(net.now)));
    let now = net.now;
    let view = net.views.get_mut(&addr(1)).unwrap();
    view.learn(member(6), now);
    assert!(!view.settled(now), "the fleet may have grown");
    assert!(view.settled(now + Duration::from_millis(100)));
    view.set_stored_size(StoredSize { size: FleetSize(9), version: 2 });
    assert_eq!(view.stored_size(), stored, "an older version");
}

/// The view of a process that knows nobody yet, or has just learned of a new process, is not settled.
#[test]
fn newcomer_unsettles_view() {
    let mut net = Net::new(2, |_| vec![addr(2)]);
    net.isolated.push(addr(2));
    net.run(Duration::from_millis(1500));
    assert!(!net.views[&addr(1)].settled(net.now));
    let now = net.now;
    let view = net.views.get_mut(&addr(1)).unwrap();
    view.learn(member(3), now);
    assert!(!view.settled(now));
}

/// A process that was isolated is probed again within about a second, however many ended runs of other
/// processes are on record. Its flows are still open and must not be taken for gone.
#[test]
fn lost_process_probed_soon() {
    let now = Timestamp::from_millis(1000);
    let mut view = Membership::new(member(1));
    view.learn(member(2), now);
    let mut declare_down = |member: Member| {
        view.learn(member.clone(), now);
        view.learn(Member { version: 2, status: MemberStatus::Down, ..member }, now);
    };
    declare_down(member(9));
    for n in 0..40 {
        // An earlier run of process 2, at the same address.
        declare_down(Member {
            process: ProcessId(1000 + n),
            started: Timestamp::default(),
            ..member(2)
        });
    }
    let mut rng = SmallRng::seed_from_u64(7);
    let mut asked = 0;
    for step in 1..=24 {
        let out = view.tick(now + STEP * step, &mut |n| rng.random_range(0..n));
        asked += out.iter().filter(|o| o.to == addr(9)).count();
    }
    assert!(asked > 0, "not probed in 1.2 s");
}

fn shared_status(view: &Membership, n: u8) -> Option<MemberStatus> {
    let process = ProcessId(u64::from(n));
    view.shared().iter().find(|m| m.process == process).map(|m| m.status)
}

/// An agent may wrongly be declared down. Until it can have refuted this, it is shared as suspect, so
/// that a search does not take its flows for lost. An agent that announces its own end is down at once.
#[rstest]
#[case::silent_briefly(1, 400, MemberStatus::Suspect)]
#[case::silent_long(1, 500, MemberStatus::Down)]
#[case::own_announcement(2, 50, MemberStatus::Down)]
fn unconfirmed_down_shared(#[case] version: u32, #[case] ms: u64, #[case] expected: MemberStatus) {
    let now = Timestamp::from_millis(1000);
    let mut view = Membership::new(member(1));
    view.learn(member(2), now);
    view.learn(Member { status: MemberStatus::Down, version, ..member(2) }, now);

    view.tick(now + Duration::from_millis(ms), &mut |_| 0);
    assert_eq!(shared_status(&view, 2), Some(expected));
}

#[test]
fn refutation_ends_doubt() {
    let now = Timestamp::from_millis(1000);
    let mut view = Membership::new(member(1));
    view.learn(member(2), now);
    view.learn(Member { status: MemberStatus::Down, ..member(2) }, now);
    view.learn(Member { version: 2, ..member(2) }, now);
    assert_eq!(shared_status(&view, 2), Some(MemberStatus::Serving));

    let generation = view.generation();
    view.tick(now + Duration::from_secs(1), &mut |_| 0);
    assert_eq!(view.generation(), generation);
}

/// Another run at the address of a process proves that the process has ended, so it is down at once.
#[test]
fn replaced_run_is_down() {
    let now = Timestamp::from_millis(1000);
    let mut view = Membership::new(member(1));
    view.learn(member(2), now);
    let next = Member { process: ProcessId(9), started: now, ..member(2) };
    view.learn(next, now);
    assert_eq!(shared_status(&view, 2), Some(MemberStatus::Down));
}

#[test]
fn unconfirmed_down_may_miss() {
    let now = Timestamp::from_millis(1000);
    let service: ServiceName = "quote".parse().unwrap();
    let agent = Member { role: Role::Agent(service.clone()), ..member(2) };
    let mut view = Membership::new(member(1));
    view.learn(agent.clone(), now);
    view.learn(Member { status: MemberStatus::Down, ..agent }, now);

    let flow = FlowTuple::new(addr(99), addr(100));
    let may_miss = |view: &Membership| {
        let members = view.shared();
        let table = AgentTable::new(members.iter().map(AsRef::as_ref), &member(1).zone);
        table.may_miss(&flow, &[ServiceTag::from(&service)])
    };
    assert!(may_miss(&view));
    view.tick(now + Duration::from_secs(1), &mut |_| 0);
    assert!(!may_miss(&view));
}
