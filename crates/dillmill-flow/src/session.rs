//! The process's entry in the store, and the way to the other processes.
//!
//! Processes find each other in the store and then talk directly: an entry only says where a process
//! was when it wrote it. Whether it lives is settled by probes, so an entry that lapses or is taken
//! away while its process lives changes nothing.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::EventKind;
use dillmill_node::{Node, NodeHandle};
use dillmill_platform::{CommitOutcome, LeaseId, Store};
use error_stack::Report;
use rand::Rng;

/// Keys of processes: this and the number of the run.
const PREFIX: &str = "dillmill/processes/";
/// Length of the lease, unless the store's shortest is longer: entries of lost processes are gone
/// soon, and some renewals in a row may be lost.
const LEASE: Duration = Duration::from_secs(8);
/// Time between two renewals. A renewal costs a tenth of a read and tells besides whether the store
/// answers this process: whoever it does not answer must not be relied on to watch.
const RENEW_EVERY: Duration = Duration::from_millis(1200);
/// Wait after a failed call: an entry must be back within 2 s of the store's return.
const RETRY: Duration = Duration::from_millis(800);
/// Entries through which a process joins; a few are enough to learn of all others.
const PEERS: usize = 8;

/// Keeps the entry of a process for as long as it lives.
#[derive(Debug)]
pub struct Session {
    store: Store,
    handle: NodeHandle,
    control: SocketAddrV4,
    lease: Option<LeaseId>,
    ttl: Duration,
    joined: bool,
    answered: Option<bool>,
}

type Step<T> = Result<T, Report<dillmill_platform::PlatformError>>;

impl Session {
    /// Starts the task that keeps the entry.
    pub fn spawn(node: &Node, control: SocketAddrV4, shortest_lease: Duration) {
        let session = Self {
            store: node.store.clone(),
            handle: node.handle.clone(),
            control,
            lease: None,
            ttl: LEASE.max(shortest_lease),
            joined: false,
            answered: None,
        };
        compio::runtime::spawn(session.run()).detach();
    }

    async fn run(mut self) {
        loop {
            let outcome = self.step().await;
            let pause = match outcome {
                Ok(()) => {
                    self.answered(true, "call answered".to_owned());
                    RENEW_EVERY
                }
                Err(report) => {
                    self.handle.metrics.platform_errors.inc();
                    self.answered(false, report.current_context().to_string());
                    RETRY
                }
            };
            compio::time::sleep(pause).await;
        }
    }

    async fn step(&mut self) -> Step<()> {
        match self.lease {
            Some(lease) => {
                if !self.store.renew(lease).await? {
                    let what = format!("lease {lease} is over");
                    self.handle.journal.record(
                        EventKind::Platform,
                        what,
                        "store has no such lease",
                    );
                    self.lease = None;
                    self.enter().await?;
                }
            }
            None => self.enter().await?,
        }
        if !self.joined {
            self.join().await?;
        }
        Ok(())
    }

    /// Takes a lease and writes the entry under it.
    async fn enter(&mut self) -> Step<()> {
        let lease = self.store.grant(self.ttl).await?;
        let key = format!("{PREFIX}{}", self.handle.process);
        let value = self.control.to_string().into_bytes();
        match self.store.put(&key, value, lease.id).await? {
            CommitOutcome::Done(_) => self.lease = Some(lease.id),
            CommitOutcome::Conflict(_) | CommitOutcome::LeaseGone => {
                return Err(Report::new(self.store.error("write the entry", "lease is over")));
            }
        }
        Ok(())
    }

    /// Reads where some other processes are.
    ///
    /// The read begins at a random place, so that thousands of processes that start at once don't
    /// all join through the same few.
    async fn join(&mut self) -> Step<()> {
        let random: u64 = rand::rng().random();
        let mut entries = self.store.list(PREFIX, &format!("{PREFIX}{random:016x}")).await?.entries;
        if entries.len() < PEERS {
            entries.extend(self.store.list(PREFIX, "").await?.entries);
        }
        let control = |value: &[u8]| std::str::from_utf8(value).ok()?.parse::<SocketAddrV4>().ok();
        let mut peers: Vec<SocketAddrV4> =
            entries.iter().filter_map(|e| control(&e.value)).collect();
        peers.sort_unstable();
        peers.dedup();
        peers.truncate(PEERS * 2);
        self.joined = peers.iter().any(|peer| *peer != self.control);
        self.handle.add_seeds(peers);
        Ok(())
    }

    fn answered(&mut self, reachable: bool, cause: String) {
        self.handle.platform_answered(reachable, cause);
        if self.answered != Some(reachable) {
            self.answered = Some(reachable);
            self.handle.update_me(move |me| me.reaches_store = reachable);
        }
    }
}
