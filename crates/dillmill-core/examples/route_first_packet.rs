//! Shows how new flows are distributed over agents, and that only the share of a removed agent moves.
//!
//! Run with `cargo run -p dillmill-core --example route_first_packet`.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use dillmill_core::{Home, HomeTable, ProcessId, Weight};

fn home(n: u8) -> Home {
    let addr = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7001);
    Home { process: ProcessId(u64::from(n)), data: addr, control: addr, weight: Weight(100) }
}

fn main() {
    let before = HomeTable::new((1..=4).map(home));
    let after = HomeTable::new((1..=3).map(home));
    let mut moved: BTreeMap<(ProcessId, ProcessId), u32> = BTreeMap::new();
    for id in 0..10_000_u32 {
        let id = id.to_le_bytes();
        if let (Some(from), Some(to)) = (before.home(&id), after.home(&id)) {
            *moved.entry((from.process, to.process)).or_default() += 1;
        }
    }
    println!("10,000 first packets, before and after agent 4 leaves:");
    for ((from, to), n) in moved {
        println!("agent {} -> agent {}: {n}", from.0, to.0);
    }
}
