//! The controller of claims and of the answers kept for resends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::Timestamp;
use dillmill_core::claims::{
    BeginError, Claim, ClaimKey, ClaimLedger, Epoch, Finding, HandoverRecord, Inquiry, Phase, Ring,
    RingMember,
};
use dillmill_node::Clock;
use dillmill_wire::CachedResponse;

use crate::answer::Outcome;
use crate::metrics::AgentMetrics;

const TICK: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_secs(2);
const MAX_KEPT_ANSWER: usize = 64 * 1024;
/// Longest answer that is passed on with its record, in bytes.
const MAX_HANDED_ANSWER: usize = 2 * 1024;
const MAX_KEPT_TOTAL: usize = 16 * 1024 * 1024;

/// What is known here of a key when a request arrives.
#[derive(Debug)]
pub enum Entry {
    /// Nothing: the request goes on, and its end must be told with [`Ledger::leave`].
    First,
    /// An earlier one is on its way; its outcome will be told.
    Running(flume::Receiver<Outcome>),
    /// An earlier one has ended here.
    Ended(Outcome),
}

/// A record and its answer, as passed between agents.
pub type Handed = (HandoverRecord, Option<CachedResponse>);

enum Input {
    Enter(ClaimKey, flume::Sender<Entry>),
    Leave(ClaimKey, Outcome),
    Ring(flume::Sender<(Ring, Epoch)>),
    Adopt(Ring, flume::Sender<bool>),
    Authority(ClaimKey, flume::Sender<Option<RingMember>>),
    CopyKeeper(ClaimKey, flume::Sender<Option<RingMember>>),
    Claim(ClaimKey, Epoch, RingMember, flume::Sender<Claim>),
    Consulted(ClaimKey, Epoch, RingMember, Vec<Finding>, flume::Sender<Claim>),
    Inquire(ClaimKey, Epoch, flume::Sender<Inquiry>),
    Copy(ClaimKey, Epoch, RingMember, flume::Sender<bool>),
    Begin(ClaimKey, Epoch, flume::Sender<Result<(), BeginError>>),
    End(ClaimKey, Phase),
    NotRun(ClaimKey),
    Release(ClaimKey, dillmill_core::ProcessId),
    HandOver(bool, flume::Sender<Vec<(RingMember, Vec<Handed>)>>),
    TakeOver(Vec<Handed>),
    Window(Duration),
    Tick,
}

/// A handle on the controller.
#[derive(Debug, Clone)]
pub struct Ledger {
    tx: flume::Sender<Input>,
    newer_ring: flume::Receiver<()>,
}

impl Ledger {
    /// Starts the controller for the agent `me`.
    #[must_use]
    pub fn spawn(me: RingMember, window: Duration, clock: Clock, metrics: AgentMetrics) -> Self {
        let (tx, rx) = flume::unbounded();
        let (ring_taken, newer_ring) = flume::bounded(1);
        let task = LedgerTask {
            ledger: ClaimLedger::new(me, window),
            running: HashMap::new(),
            kept: HashMap::new(),
            kept_bytes: 0,
            clock,
            metrics,
            ring_taken,
        };
        compio::runtime::spawn(task.run(rx)).detach();
        let ticker = tx.clone();
        compio::runtime::spawn(async move {
            while ticker.send(Input::Tick).is_ok() {
                compio::time::sleep(TICK).await;
            }
        })
        .detach();
        Self { tx, newer_ring }
    }

    async fn call<T>(&self, input: impl FnOnce(flume::Sender<T>) -> Input, gone: T) -> T {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(input(tx));
        rx.recv_async().await.unwrap_or(gone)
    }

    /// Registers a request with a key.
    pub async fn enter(&self, key: ClaimKey) -> Entry {
        self.call(|tx| Input::Enter(key, tx), Entry::Ended(lost())).await
    }

    /// Tells the outcome of the first request with a key to those that wait for it.
    pub fn leave(&self, key: ClaimKey, outcome: Outcome) {
        let _ = self.tx.send(Input::Leave(key, outcome));
    }

    /// Returns the ring in force here and the epoch from which on rings may still have live records.
    pub async fn ring(&self) -> (Ring, Epoch) {
        self.call(Input::Ring, (Ring::default(), Epoch::default())).await
    }

    /// Takes a ring into force if it is newer.
    pub async fn adopt(&self, ring: Ring) -> bool {
        self.call(|tx| Input::Adopt(ring, tx), false).await
    }

    /// Waits until a newer ring has been taken into force, or for `limit`; one task may wait.
    pub async fn newer_ring(&self, limit: Duration) {
        // Both ends lead to the same look at the ring.
        let _ = compio::time::timeout(limit, self.newer_ring.recv_async()).await;
    }

    /// Returns the authority of a key.
    pub async fn authority(&self, key: ClaimKey) -> Option<RingMember> {
        self.call(|tx| Input::Authority(key, tx), None).await
    }

    /// Returns the agent that keeps a copy of a grant to this agent.
    pub async fn copy_keeper(&self, key: ClaimKey) -> Option<RingMember> {
        self.call(|tx| Input::CopyKeeper(key, tx), None).await
    }

    /// See [`ClaimLedger::claim`].
    pub async fn claim(&self, key: ClaimKey, epoch: Epoch, by: RingMember) -> Claim {
        self.call(|tx| Input::Claim(key, epoch, by, tx), unknown()).await
    }

    /// See [`ClaimLedger::consulted`].
    pub async fn consulted(
        &self,
        key: ClaimKey,
        epoch: Epoch,
        by: RingMember,
        findings: Vec<Finding>,
    ) -> Claim {
        self.call(|tx| Input::Consulted(key, epoch, by, findings, tx), unknown()).await
    }

    /// See [`ClaimLedger::inquire`].
    pub async fn inquire(&self, key: ClaimKey, epoch: Epoch) -> Inquiry {
        self.call(|tx| Input::Inquire(key, epoch, tx), Inquiry::OldEpoch).await
    }

    /// See [`ClaimLedger::keep_copy`].
    pub async fn keep_copy(&self, key: ClaimKey, epoch: Epoch, holder: RingMember) -> bool {
        self.call(|tx| Input::Copy(key, epoch, holder, tx), false).await
    }

    /// See [`ClaimLedger::begin`].
    ///
    /// # Errors
    ///
    /// As the method that it calls.
    pub async fn begin(&self, key: ClaimKey, grant: Epoch) -> Result<(), BeginError> {
        self.call(|tx| Input::Begin(key, grant, tx), Err(BeginError::StaleGrant)).await
    }

    /// See [`ClaimLedger::end`].
    pub fn end(&self, key: ClaimKey, phase: Phase) {
        let _ = self.tx.send(Input::End(key, phase));
    }

    /// See [`ClaimLedger::not_run`].
    pub fn not_run(&self, key: ClaimKey) {
        let _ = self.tx.send(Input::NotRun(key));
    }

    /// See [`ClaimLedger::release`].
    pub fn release(&self, key: ClaimKey, by: dillmill_core::ProcessId) {
        let _ = self.tx.send(Input::Release(key, by));
    }

    /// See [`ClaimLedger::hand_over`].
    pub async fn hand_over(&self, leaving: bool) -> Vec<(RingMember, Vec<Handed>)> {
        self.call(|tx| Input::HandOver(leaving, tx), Vec::new()).await
    }

    /// See [`ClaimLedger::take_over`].
    pub fn take_over(&self, records: Vec<Handed>) {
        let _ = self.tx.send(Input::TakeOver(records));
    }

    /// See [`ClaimLedger::set_window`].
    pub fn set_window(&self, window: Duration) {
        let _ = self.tx.send(Input::Window(window));
    }
}

fn unknown() -> Claim {
    Claim::Answer(dillmill_core::claims::ClaimAnswer::Unknown)
}

fn lost() -> Outcome {
    Outcome::unknown("the agent is stopping", RETRY_AFTER)
}

struct LedgerTask {
    ledger: ClaimLedger,
    running: HashMap<ClaimKey, Vec<flume::Sender<Outcome>>>,
    kept: HashMap<ClaimKey, Outcome>,
    kept_bytes: usize,
    clock: Clock,
    metrics: AgentMetrics,
    ring_taken: flume::Sender<()>,
}

impl LedgerTask {
    async fn run(mut self, rx: flume::Receiver<Input>) {
        while let Ok(input) = rx.recv_async().await {
            let now = self.clock.now();
            self.take(input, now);
        }
    }

    fn take(&mut self, input: Input, now: Timestamp) {
        match input {
            Input::Enter(key, tx) => {
                let entry = self.enter(key);
                let _ = tx.send(entry);
            }
            Input::Leave(key, outcome) => self.leave(key, &outcome),
            Input::Ring(tx) => {
                let _ = tx.send((self.ledger.ring().clone(), self.ledger.live_since(now)));
            }
            Input::Adopt(ring, tx) => {
                let newer = self.ledger.adopt(ring, now);
                if newer {
                    // A full channel says the same already.
                    let _ = self.ring_taken.try_send(());
                }
                let _ = tx.send(newer);
            }
            Input::Authority(key, tx) => {
                let _ = tx.send(self.ledger.authority(key));
            }
            Input::CopyKeeper(key, tx) => {
                let _ = tx.send(self.ledger.copy_keeper(key));
            }
            Input::Claim(key, epoch, by, tx) => {
                let _ = tx.send(self.ledger.claim(key, epoch, by, now));
            }
            Input::Consulted(key, epoch, by, findings, tx) => {
                let _ = tx.send(self.ledger.consulted(key, epoch, by, &findings, now));
            }
            Input::Inquire(key, epoch, tx) => {
                let _ = tx.send(self.ledger.inquire(key, epoch));
            }
            Input::Copy(key, epoch, holder, tx) => {
                let _ = tx.send(self.ledger.keep_copy(key, epoch, holder, now));
            }
            Input::Begin(key, grant, tx) => {
                let _ = tx.send(self.ledger.begin(key, grant, now));
            }
            Input::End(key, phase) => self.ledger.end(key, phase, now),
            Input::NotRun(key) => self.ledger.not_run(key),
            Input::Release(key, by) => self.ledger.release(key, by),
            Input::HandOver(leaving, tx) => {
                let _ = tx.send(self.hand_over(leaving));
            }
            Input::TakeOver(records) => self.take_over(records, now),
            Input::Window(window) => self.ledger.set_window(window),
            Input::Tick => self.tick(now),
        }
    }

    fn enter(&mut self, key: ClaimKey) -> Entry {
        if let Some(waiters) = self.running.get_mut(&key) {
            let (tx, rx) = flume::bounded(1);
            waiters.push(tx);
            return Entry::Running(rx);
        }
        match self.ledger.phase(key) {
            None => {
                self.running.insert(key, Vec::new());
                Entry::First
            }
            Some(Phase::Done) => {
                Entry::Ended(self.kept.get(&key).cloned().unwrap_or(Outcome::AnswerNotKept))
            }
            Some(Phase::InFlight | Phase::Unknown) => {
                Entry::Ended(Outcome::unknown("the first try broke off", RETRY_AFTER))
            }
        }
    }

    fn leave(&mut self, key: ClaimKey, outcome: &Outcome) {
        for waiter in self.running.remove(&key).unwrap_or_default() {
            let _ = waiter.send(outcome.clone());
        }
        if self.ledger.phase(key) == Some(Phase::Done) {
            self.keep(key, outcome);
        }
    }

    fn keep(&mut self, key: ClaimKey, outcome: &Outcome) {
        let Outcome::Answer(answer) = outcome else { return };
        let size = answer.body.len();
        if size <= MAX_KEPT_ANSWER && self.kept_bytes + size <= MAX_KEPT_TOTAL {
            self.kept_bytes += size;
            self.kept.insert(key, Outcome::Answer(Arc::clone(answer)));
        }
    }

    fn hand_over(&self, leaving: bool) -> Vec<(RingMember, Vec<Handed>)> {
        let with_answer = |record: HandoverRecord| {
            let answer = match self.kept.get(&record.key) {
                Some(Outcome::Answer(answer)) if answer.body.len() <= MAX_HANDED_ANSWER => {
                    Some((**answer).clone())
                }
                _ => None,
            };
            (record, answer)
        };
        let parts = self.ledger.hand_over(leaving).into_iter();
        parts.map(|(to, records)| (to, records.into_iter().map(with_answer).collect())).collect()
    }

    fn take_over(&mut self, handed: Vec<Handed>, now: Timestamp) {
        let records: Vec<HandoverRecord> = handed.iter().map(|(record, _)| *record).collect();
        self.ledger.take_over(&records, now);
        for (record, answer) in handed {
            if let Some(answer) = answer
                && self.ledger.phase(record.key) == Some(Phase::Done)
            {
                self.keep(record.key, &Outcome::Answer(Arc::new(answer)));
            }
        }
    }

    fn tick(&mut self, now: Timestamp) {
        for key in self.ledger.expire(now) {
            if let Some(Outcome::Answer(answer)) = self.kept.remove(&key) {
                self.kept_bytes -= answer.body.len();
            }
        }
        self.metrics.claims.set(i64::try_from(self.ledger.len()).unwrap_or(i64::MAX));
    }
}
