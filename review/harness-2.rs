//! Plays a case of the review: the project's programs on loopback addresses with small stand-ins around them.
//!
//! `harness CASE RECORD` exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! `TROUBLE=0` leaves out the disruption.

#[path = "harness-2-net.rs"]
mod net;
#[path = "harness-2-parts.rs"]
mod parts;

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use net::Addr;
use parts::{Callers, Ended, Plan, Record, Route, SIGCONT, SIGSTOP, Subnet, World, beat, fail};

const CONTACT: Duration = Duration::from_millis(4000);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else { fail("usage: harness CASE RECORD") };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::create(Path::new(record));
    record.note(&format!("case {case}, with the disruption: {trouble}"));
    let broken = match case.as_str() {
        "freeze" => freeze(&record, trouble),
        "rest" => rest(&record, trouble),
        "watchers" => watchers(&record, trouble),
        "silent" => silent(&record, trouble),
        "beat" => late_beat(&record, trouble),
        "moved" => moved(&record, trouble),
        "reuse" => reuse(&record, trouble),
        other => fail(&format!("no case {other}")),
    };
    record.note(if broken { "the rule was broken" } else { "the rule held" });
    println!("{}", if broken { "broken" } else { "held" });
    std::process::exit(i32::from(broken))
}

const BOUNDS: &str = "{\"seed-lag-s\":3,\"reuse-after-s\":2,\"contact-ms\":4000,\"ack-ms\":5000,\"catch-up-s\":4,\"drain-ms\":3000,\"grace-s\":6,\"loss-slack-ms\":200,\"config-apply-ms\":3000,\"rollback-slack-ms\":250,\"max-skew-ms\":12000,\"recover-s\":12,\"flow-ms\":2000,\"max-flow-s\":60}";

fn plan(fronts: usize, cotiza: usize, cuadre: usize) -> Plan {
    Plan {
        zones: vec!["sjo-a", "here-b"],
        fronts,
        sides: vec![("cotiza", cotiza), ("cuadre", cuadre)],
        bounds: BOUNDS,
        slots: 5,
        work: Duration::from_millis(40),
        proxy: false,
        empty_sides: 0,
    }
}

fn route(
    name: &'static str,
    net: Subnet,
    port: u16,
    service: &'static str,
    kind: &'static str,
) -> Route {
    Route { name, address: Addr { ip: net.ip(250), port }, service, kind, timeout_ms: 2000 }
}

fn routes(net: Subnet) -> Vec<Route> {
    vec![
        route("r-feed", net, 8443, "cotiza", "idempotent"),
        route("r-close", net, 8080, "cuadre", "upload"),
    ]
}

/// Returns whether an open flow was reset by the system although its server lives.
fn flows_reset(world: &World, ports: &[u16], feed: Addr) -> bool {
    let reset =
        ports.iter().filter(|port| world.callers.ended(**port, feed) == Ended::SystemReset).count();
    world.record.note(&format!("{reset} of {} open flows were reset by the system", ports.len()));
    reset > 0
}

/// A front machine freezes while callers open flows through it, and wakes when these flows are long open.
fn freeze(record: &Arc<Record>, trouble: bool) -> bool {
    const FLOWS: usize = 40;
    const FROZEN: Duration = Duration::from_millis(3500);
    let net = Subnet::take();
    let plan = plan(2, 3, 1);
    let mut world = World::start(&plan, record.clone(), &routes(net), 15_000, net);
    let feed = routes(net)[0].address;
    let frozen = world.machines[0].ip;
    let me = |port| Addr { ip: world.callers.ip, port };
    let ports: Vec<u16> = (20_000..)
        .filter(|port| world.router.pick(me(*port), feed) == Some(frozen))
        .take(FLOWS)
        .collect();
    let began = Instant::now();
    if trouble {
        world.machines[0].process.as_ref().unwrap().signal(SIGSTOP);
        record.note(&format!("{} freezes", world.machines[0].name));
    }
    thread::sleep(Duration::from_millis(800));
    let mut open: Vec<u16> = thread::scope(|scope| {
        let opening: Vec<_> = ports
            .iter()
            .enumerate()
            .map(|(n, port)| {
                let callers = world.callers.clone();
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(8 * n as u64));
                    if !callers.open(*port, feed, None) {
                        return None;
                    }
                    // A rate screen catches up: six answers of 12,000 bytes.
                    let all = (0..6).all(|i| {
                        let id = format!("q-{port}-{i}");
                        callers.ask(*port, feed, &id, 12_000, Duration::from_millis(2000))
                    });
                    all.then_some(*port)
                })
            })
            .collect();
        opening.into_iter().filter_map(|o| o.join().ok().flatten()).collect()
    });
    open.retain(|port| world.callers.ended(*port, feed) == Ended::No);
    record.note(&format!("{} of {FLOWS} flows are open and have had six answers", open.len()));
    thread::sleep(FROZEN.saturating_sub(began.elapsed()));
    if trouble {
        world.machines[0].process.as_ref().unwrap().signal(SIGCONT);
        record.note(&format!("{} wakes again", world.machines[0].name));
    }
    // All machines are in touch again, and no flow has rested for its idle time-out.
    thread::sleep(CONTACT + Duration::from_millis(1500));
    thread::scope(|scope| {
        for port in &open {
            let callers = world.callers.clone();
            scope.spawn(move || {
                callers.ask(
                    *port,
                    feed,
                    &format!("q-{port}-last"),
                    2000,
                    Duration::from_millis(4000),
                )
            });
        }
    });
    let broken = flows_reset(&world, &open, feed);
    let enough = open.len() >= 4;
    world.finish();
    if !enough {
        fail("too few flows opened");
    }
    broken
}

/// Flows rest for less than the configured idle time-out while other callers go on.
fn rest(record: &Arc<Record>, trouble: bool) -> bool {
    const FLOWS: usize = 12;
    let resting = Duration::from_secs(if trouble { 46 } else { 10 });
    let net = Subnet::take();
    let plan = plan(2, 3, 1);
    let mut world = World::start(&plan, record.clone(), &routes(net), 50_000, net);
    let feed = routes(net)[0].address;
    let ports: Vec<u16> = (20_000..).take(FLOWS).collect();
    let open: Vec<u16> = ports
        .into_iter()
        .filter(|port| world.callers.open(*port, feed, None))
        .filter(|port| {
            world.callers.ask(
                *port,
                feed,
                &format!("q-{port}-0"),
                2000,
                Duration::from_millis(2000),
            )
        })
        .collect();
    record.note(&format!("{} of {FLOWS} flows are open and rest for {resting:?}", open.len()));
    let ends = Instant::now() + resting;
    let mut port = 30_000;
    while Instant::now() < ends {
        if world.callers.open(port, feed, None) {
            world.callers.ask(port, feed, &format!("q-{port}"), 600, Duration::from_millis(2000));
        }
        world.callers.forget(port, feed);
        port += 1;
        thread::sleep(Duration::from_millis(50));
    }
    thread::scope(|scope| {
        for port in &open {
            let callers = world.callers.clone();
            scope.spawn(move || {
                callers.ask(
                    *port,
                    feed,
                    &format!("q-{port}-last"),
                    2000,
                    Duration::from_millis(4000),
                )
            });
        }
    });
    let broken = flows_reset(&world, &open, feed);
    let enough = open.len() >= 4;
    world.finish();
    if !enough {
        fail("too few flows opened");
    }
    broken
}

/// Machines lose their power at once, those that keep an entry in the store among them; a route is dropped
/// right after. Up to four rounds, each with all machines running again before.
fn watchers(record: &Arc<Record>, trouble: bool) -> bool {
    const LOST: usize = 8;
    let net = Subnet::take();
    let plan = plan(4, 7, 4);
    let kept = routes(net);
    let old = route("r-old", net, 8600, "cotiza", "idempotent");
    let with_old = [&kept[..], &[old.clone()]].concat();
    let mut world = World::start(&plan, record.clone(), &with_old, 15_000, net);
    let mut broken = false;
    for round in 1..=4 {
        thread::sleep(Duration::from_secs(7));
        let entries = world.range("dillmill/processes/").unwrap_or_default();
        let has_entry = |world: &World, i: usize| {
            entries.iter().any(|e| e.starts_with(&format!("{}:", world.machines[i].ip)))
        };
        let mut lost: Vec<usize> =
            (0..world.machines.len()).filter(|i| has_entry(&world, *i)).collect();
        let others = (0..world.machines.len())
            .rev()
            .filter(|i| !lost.contains(i) && world.machines[*i].service.is_some());
        let others: Vec<usize> = others.collect();
        // Two servers of `cotiza` stay at least, so that the service goes on.
        let mut left =
            others.iter().filter(|i| world.machines[**i].service == Some("cotiza")).count();
        for i in others {
            let cotiza = world.machines[i].service == Some("cotiza");
            if lost.len() < LOST && (!cotiza || left > 2) {
                lost.push(i);
                left -= usize::from(cotiza);
            }
        }
        record.note(&format!(
            "round {round}: {} of {} machines are to be lost",
            lost.len(),
            world.machines.len()
        ));
        if trouble && left > 0 && !entries.is_empty() {
            lost.iter().for_each(|i| world.power_off(*i));
        }
        world.configure(round * 2, &kept, 15_000);
        broken |= dropped_route_runs(&world, old.address, Duration::from_secs(6));
        if broken || round == 4 {
            break;
        }
        if trouble {
            lost.iter().for_each(|i| world.run(*i));
            thread::sleep(Duration::from_millis(900));
            for i in lost {
                let service = world.machines[i].service;
                world.run_server(i, service, &plan, Some(Duration::ZERO));
            }
        }
        world.configure(round * 2 + 1, &with_old, 15_000);
        thread::sleep(Duration::from_secs(4));
    }
    world.finish();
    broken
}

/// The idle connections to the store go silent; long after that, a route is dropped.
fn silent(record: &Arc<Record>, trouble: bool) -> bool {
    let net = Subnet::take();
    let plan = Plan { proxy: true, ..plan(3, 4, 2) };
    let mut all = routes(net);
    all.push(route("r-old", net, 8600, "cotiza", "idempotent"));
    let mut world = World::start(&plan, record.clone(), &all, 15_000, net);
    thread::sleep(Duration::from_secs(6));
    if trouble {
        let count = world.proxy.as_ref().unwrap().silence_idle(Duration::from_millis(2500));
        record.note(&format!("{count} open connections to the store go silent, new ones work"));
        if count == 0 {
            fail("no connection to the store is idle");
        }
    }
    // The disruption counts as a reset of the connections of all machines; they are in touch again after this.
    thread::sleep(CONTACT + Duration::from_millis(1000));
    let old = all.pop().unwrap().address;
    world.configure(2, &all, 15_000);
    let late = dropped_route_runs(&world, old, Duration::from_secs(30));
    world.finish();
    late
}

/// A route moves to another service, and the agents of its former service are stopped and started in turn
/// while flows of the route are open there.
fn moved(record: &Arc<Record>, trouble: bool) -> bool {
    const FLOWS: usize = 24;
    let net = Subnet::take();
    let plan = Plan { sides: vec![("cotiza", 3), ("cotiza-v2", 2)], ..plan(2, 0, 0) };
    let close = route("r-close", net, 8080, "cotiza", "upload");
    let before = [route("r-feed", net, 8443, "cotiza", "idempotent"), close.clone()];
    let after = [route("r-feed", net, 8443, "cotiza-v2", "idempotent"), close];
    let mut world = World::start(&plan, record.clone(), &before, 15_000, net);
    let feed = before[0].address;
    let open: Vec<u16> = (20_000..)
        .take(FLOWS)
        .filter(|port| world.callers.open(*port, feed, None))
        .filter(|port| {
            world.callers.ask(
                *port,
                feed,
                &format!("q-{port}-0"),
                2000,
                Duration::from_millis(2000),
            )
        })
        .collect();
    record.note(&format!("{} of {FLOWS} flows are open at servers of cotiza", open.len()));
    world.configure(2, &after, 15_000);
    thread::sleep(Duration::from_millis(2000));
    for i in 0..world.machines.len() {
        if trouble && world.machines[i].service == Some("cotiza") {
            let process = world.machines[i].process.take().unwrap();
            record.note(&format!("the agent of {} is asked to stop", world.machines[i].name));
            let stopped = process.stop(Duration::from_secs(6));
            record.note(&format!("it has stopped by itself: {stopped}"));
            thread::sleep(Duration::from_millis(300));
            world.run(i);
            thread::sleep(Duration::from_millis(1400));
        }
    }
    thread::sleep(Duration::from_millis(1500));
    thread::scope(|scope| {
        for port in &open {
            let callers = world.callers.clone();
            scope.spawn(move || {
                callers.ask(
                    *port,
                    feed,
                    &format!("q-{port}-last"),
                    2000,
                    Duration::from_millis(4000),
                )
            });
        }
    });
    let broken = flows_reset(&world, &open, feed);
    let enough = open.len() >= 4;
    world.finish();
    if !enough {
        fail("too few flows opened");
    }
    broken
}

/// A heartbeat that a cut held back arrives after its sender has crashed and a server of another service
/// has registered at the same address.
fn late_beat(record: &Arc<Record>, trouble: bool) -> bool {
    let net = Subnet::take();
    let plan = Plan { empty_sides: 1, ..plan(2, 2, 1) };
    let mut world = World::start(&plan, record.clone(), &routes(net), 15_000, net);
    let feed = routes(net)[0].address;
    let i = world.machines.len() - 1;
    let ip = world.machines[i].ip;
    // A server of `cotiza` starts behind a cut, sends its first heartbeats, and crashes.
    let first = world.run_server(i, Some("cotiza"), &plan, None);
    record
        .note(&format!("server {first} of cotiza starts at {ip}; a cut holds its heartbeats back"));
    thread::sleep(Duration::from_millis(1500));
    world.machines[i].server.take().unwrap().stop();
    record.note(&format!("server {first} crashes"));
    // After `reuse-after-s` its address goes to another service.
    thread::sleep(Duration::from_millis(2500));
    let second = world.run_server(i, Some("cuadre"), &plan, Some(Duration::ZERO));
    record.note(&format!("server {second} of cuadre starts at {ip}"));
    thread::sleep(Duration::from_millis(2000));
    if trouble {
        let done = beat(&first, "cotiza", ip, "sjo-a", plan.slots, 1);
        record.note(&format!("heartbeat 1 of {first} arrives late; acknowledged: {done}"));
    }
    call(&world.callers, feed, 4, Duration::from_secs(8));
    foreign_runs(&mut world)
}

/// `count` callers send requests on `feed` for `span`, each request on a flow of its own.
fn call(callers: &Arc<Callers>, feed: Addr, count: u16, span: Duration) {
    thread::scope(|scope| {
        for n in 0..count {
            scope.spawn(move || {
                let ends = Instant::now() + span;
                let mut port = 20_000 + n * 600;
                while Instant::now() < ends {
                    if callers.open(port, feed, None) {
                        callers.ask(
                            port,
                            feed,
                            &format!("q-{port}"),
                            600,
                            Duration::from_millis(2000),
                        );
                    }
                    callers.forget(port, feed);
                    port += 1;
                    thread::sleep(Duration::from_millis(30));
                }
            });
        }
    });
}

/// Keeps 30 flows, on each of which a request comes every 4 s; one that fails takes a new flow.
fn long_feeds(callers: &Arc<Callers>, feed: Addr, span: Duration) {
    thread::scope(|scope| {
        for n in 0..30_u16 {
            scope.spawn(move || {
                let ends = Instant::now() + span;
                let mut port = 40_000 + n * 100;
                thread::sleep(Duration::from_millis(130 * u64::from(n)));
                let mut open = callers.open(port, feed, None);
                for i in 0.. {
                    if Instant::now() >= ends {
                        break;
                    }
                    let id = format!("q-{port}-{i}");
                    if !open || !callers.ask(port, feed, &id, 600, Duration::from_millis(2000)) {
                        callers.forget(port, feed);
                        port += 1;
                        open = callers.open(port, feed, None);
                    } else {
                        thread::sleep(Duration::from_millis(4000));
                    }
                }
            });
        }
    });
}

/// Returns whether a server of another service has run a request. All requests were sent on the route of
/// `cotiza`, which no configuration sends elsewhere.
fn foreign_runs(world: &mut World) -> bool {
    let runs = world.runs.lock().unwrap().clone();
    let foreign: Vec<_> = runs.iter().filter(|run| run.0 != "cotiza").collect();
    world.record.note(&format!(
        "{} of {} requests for cotiza were run by a server of cuadre",
        foreign.len(),
        runs.len()
    ));
    world.finish();
    if runs.is_empty() {
        fail("no request was run");
    }
    !foreign.is_empty()
}

/// Three times a server crashes and its address goes to a server of another service, whose first heartbeat
/// comes half a second after its start.
fn reuse(record: &Arc<Record>, trouble: bool) -> bool {
    let first_beat =
        std::env::var("FIRST_BEAT_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(530);
    let first_beat = Duration::from_millis(first_beat);
    let net = Subnet::take();
    let plan = plan(2, 5, 1);
    let mut world = World::start(&plan, record.clone(), &routes(net), 15_000, net);
    let feed = routes(net)[0].address;
    let span = Duration::from_secs(31);
    let callers = world.callers.clone();
    let calls = thread::spawn(move || call(&callers, feed, 32, span));
    let callers = world.callers.clone();
    let feeds = thread::spawn(move || long_feeds(&callers, feed, span));
    let used: Vec<usize> = (0..world.machines.len())
        .filter(|i| world.machines[*i].service == Some("cotiza"))
        .take(3)
        .collect();
    for i in used {
        thread::sleep(Duration::from_millis(2500));
        if trouble {
            world.machines[i].server.take().unwrap().stop();
            record.note(&format!("the server at {} crashes", world.machines[i].ip));
            // After `reuse-after-s` its address goes to another service.
            thread::sleep(Duration::from_millis(2500));
            let second = world.run_server(i, Some("cuadre"), &plan, Some(first_beat));
            record.note(&format!("server {second} of cuadre starts at {}", world.machines[i].ip));
        }
        thread::sleep(Duration::from_millis(4500));
    }
    let _ = calls.join();
    let _ = feeds.join();
    foreign_runs(&mut world)
}

/// Sends requests on a dropped route straight to each front for `span`; returns whether one ran that was
/// sent later than `config-apply-ms` after the acknowledgement.
fn dropped_route_runs(world: &World, old: Addr, span: Duration) -> bool {
    const APPLY: Duration = Duration::from_millis(3000);
    let record = &world.record;
    let acked = Instant::now();
    let fronts: Vec<_> =
        world.machines.iter().filter(|m| m.service.is_none()).map(|m| m.ip).collect();
    let mut port = 40_000;
    let mut broken = false;
    let mut latest = Duration::ZERO;
    while acked.elapsed() < span {
        let rounds: Vec<(u16, std::net::Ipv4Addr)> = fronts
            .iter()
            .map(|front| {
                port += 1;
                (port, *front)
            })
            .collect();
        let sent = acked.elapsed();
        let ran: Vec<bool> = thread::scope(|scope| {
            let asked: Vec<_> = rounds
                .iter()
                .map(|(port, front)| {
                    let callers = world.callers.clone();
                    scope.spawn(move || {
                        callers.open(*port, old, Some(*front))
                            && callers.ask(
                                *port,
                                old,
                                &format!("q-{port}"),
                                600,
                                Duration::from_millis(1000),
                            )
                    })
                })
                .collect();
            asked.into_iter().map(|a| a.join().unwrap_or(false)).collect()
        });
        if ran.contains(&true) {
            latest = sent;
            if sent > APPLY {
                broken = true;
                record.note(&format!(
                    "a request sent {sent:?} after the acknowledgement ran on the dropped route"
                ));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.note(&format!("the last request that ran on the dropped route was sent {latest:?} after the acknowledgement"));
    broken
}
