//! The controller of an agent's claims and of the answers that it keeps for repeated requests.

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

const TICK_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_secs(2);
const MAX_CACHED_ANSWER: usize = 64 * 1024;
/// Maximum length of an answer that is handed over with its record, in bytes.
const MAX_HANDOVER_ANSWER: usize = 2 * 1024;
const MAX_CACHE_BYTES: usize = 16 * 1024 * 1024;

/// What this agent knows of a key when a request with the key arrives.
#[derive(Debug)]
pub enum Entry {
    /// Nothing is known: the request goes on, and its outcome must be reported with [`Ledger::complete`].
    First,
    /// An earlier request is running; the channel receives its outcome.
    Running(flume::Receiver<Outcome>),
    /// An earlier request has ended at this agent.
    Ended(Outcome),
}

/// A claim record and the answer kept for it, as handed over between agents.
pub type HandoverEntry = (HandoverRecord, Option<CachedResponse>);

enum Input {
    Register(ClaimKey, flume::Sender<Entry>),
    Complete(ClaimKey, Outcome),
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
    HandOver(bool, flume::Sender<Vec<(RingMember, Vec<HandoverEntry>)>>),
    TakeOver(Vec<HandoverEntry>),
    Window(Duration),
    Tick,
}

/// Handle on the task of the claim controller.
#[derive(Debug, Clone)]
pub struct Ledger {
    tx: flume::Sender<Input>,
    newer_ring: flume::Receiver<()>,
}

impl Ledger {
    /// Starts the controller's task for the agent `me`.
    #[must_use]
    pub fn spawn(me: RingMember, window: Duration, clock: Clock, metrics: AgentMetrics) -> Self {
        let (tx, rx) = flume::unbounded();
        let (ring_adopted, newer_ring) = flume::bounded(1);
        let task = LedgerTask {
            ledger: ClaimLedger::new(me, window),
            running: HashMap::new(),
            cached: HashMap::new(),
            cached_bytes: 0,
            clock,
            metrics,
            ring_adopted,
        };
        compio::runtime::spawn(task.run(rx)).detach();
        let ticker = tx.clone();
        compio::runtime::spawn(async move {
            while ticker.send(Input::Tick).is_ok() {
                compio::time::sleep(TICK_INTERVAL).await;
            }
        })
        .detach();
        Self { tx, newer_ring }
    }

    async fn call<T>(&self, input: impl FnOnce(flume::Sender<T>) -> Input, fallback: T) -> T {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(input(tx));
        rx.recv_async().await.unwrap_or(fallback)
    }

    /// Registers a request with an idempotency key.
    pub async fn register(&self, key: ClaimKey) -> Entry {
        self.call(|tx| Input::Register(key, tx), Entry::Ended(stopping_outcome())).await
    }

    /// Reports the outcome of the first request with a key to the requests that wait for it.
    pub fn complete(&self, key: ClaimKey, outcome: Outcome) {
        let _ = self.tx.send(Input::Complete(key, outcome));
    }

    /// Returns the current ring of this agent, and the oldest epoch whose ring may still have live records.
    pub async fn ring(&self) -> (Ring, Epoch) {
        self.call(Input::Ring, (Ring::default(), Epoch::default())).await
    }

    /// Adopts a ring if it is newer than the current one; returns whether it was.
    pub async fn adopt(&self, ring: Ring) -> bool {
        self.call(|tx| Input::Adopt(ring, tx), false).await
    }

    /// Waits until a newer ring has been adopted, for at most `limit`; only one task may wait.
    pub async fn wait_for_newer_ring(&self, limit: Duration) {
        // The caller checks the ring in either case.
        let _ = compio::time::timeout(limit, self.newer_ring.recv_async()).await;
    }

    /// Returns the authority of a key.
    pub async fn authority(&self, key: ClaimKey) -> Option<RingMember> {
        self.call(|tx| Input::Authority(key, tx), None).await
    }

    /// Returns the agent that keeps the copy of a grant that this agent gave itself.
    pub async fn copy_keeper(&self, key: ClaimKey) -> Option<RingMember> {
        self.call(|tx| Input::CopyKeeper(key, tx), None).await
    }

    /// See [`ClaimLedger::claim`].
    pub async fn claim(&self, key: ClaimKey, epoch: Epoch, by: RingMember) -> Claim {
        self.call(|tx| Input::Claim(key, epoch, by, tx), unknown_claim()).await
    }

    /// See [`ClaimLedger::consulted`].
    pub async fn consulted(
        &self,
        key: ClaimKey,
        epoch: Epoch,
        by: RingMember,
        findings: Vec<Finding>,
    ) -> Claim {
        self.call(|tx| Input::Consulted(key, epoch, by, findings, tx), unknown_claim()).await
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
    /// As [`ClaimLedger::begin`].
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
    pub async fn hand_over(&self, leaving: bool) -> Vec<(RingMember, Vec<HandoverEntry>)> {
        self.call(|tx| Input::HandOver(leaving, tx), Vec::new()).await
    }

    /// See [`ClaimLedger::take_over`].
    pub fn take_over(&self, records: Vec<HandoverEntry>) {
        let _ = self.tx.send(Input::TakeOver(records));
    }

    /// See [`ClaimLedger::set_window`].
    pub fn set_window(&self, window: Duration) {
        let _ = self.tx.send(Input::Window(window));
    }
}

fn unknown_claim() -> Claim {
    Claim::Answer(dillmill_core::claims::ClaimAnswer::Unknown)
}

fn stopping_outcome() -> Outcome {
    Outcome::unknown("the agent is stopping", RETRY_AFTER)
}

struct LedgerTask {
    ledger: ClaimLedger,
    running: HashMap<ClaimKey, Vec<flume::Sender<Outcome>>>,
    cached: HashMap<ClaimKey, Outcome>,
    cached_bytes: usize,
    clock: Clock,
    metrics: AgentMetrics,
    ring_adopted: flume::Sender<()>,
}

impl LedgerTask {
    async fn run(mut self, rx: flume::Receiver<Input>) {
        while let Ok(input) = rx.recv_async().await {
            let now = self.clock.now();
            self.handle_input(input, now);
        }
    }

    fn handle_input(&mut self, input: Input, now: Timestamp) {
        match input {
            Input::Register(key, tx) => {
                let entry = self.register(key);
                let _ = tx.send(entry);
            }
            Input::Complete(key, outcome) => self.complete(key, &outcome),
            Input::Ring(tx) => {
                let _ = tx.send((self.ledger.ring().clone(), self.ledger.live_since(now)));
            }
            Input::Adopt(ring, tx) => {
                let newer = self.ledger.adopt(ring, now);
                if newer {
                    // A full channel already holds a notification.
                    let _ = self.ring_adopted.try_send(());
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

    fn register(&mut self, key: ClaimKey) -> Entry {
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
                Entry::Ended(self.cached.get(&key).cloned().unwrap_or(Outcome::AnswerNotKept))
            }
            Some(Phase::InFlight | Phase::Unknown) => {
                Entry::Ended(Outcome::unknown("the first try broke off", RETRY_AFTER))
            }
        }
    }

    fn complete(&mut self, key: ClaimKey, outcome: &Outcome) {
        for waiter in self.running.remove(&key).unwrap_or_default() {
            let _ = waiter.send(outcome.clone());
        }
        if self.ledger.phase(key) == Some(Phase::Done) {
            self.cache_answer(key, outcome);
        }
    }

    fn cache_answer(&mut self, key: ClaimKey, outcome: &Outcome) {
        let Outcome::Answer(answer) = outcome else { return };
        let size = answer.body.len();
        if size <= MAX_CACHED_ANSWER && self.cached_bytes + size <= MAX_CACHE_BYTES {
            self.cached_bytes += size;
            self.cached.insert(key, Outcome::Answer(Arc::clone(answer)));
        }
    }

    fn hand_over(&self, leaving: bool) -> Vec<(RingMember, Vec<HandoverEntry>)> {
        let with_answer = |record: HandoverRecord| {
            let answer = match self.cached.get(&record.key) {
                Some(Outcome::Answer(answer)) if answer.body.len() <= MAX_HANDOVER_ANSWER => {
                    Some((**answer).clone())
                }
                _ => None,
            };
            (record, answer)
        };
        let parts = self.ledger.hand_over(leaving).into_iter();
        parts.map(|(to, records)| (to, records.into_iter().map(with_answer).collect())).collect()
    }

    fn take_over(&mut self, handed: Vec<HandoverEntry>, now: Timestamp) {
        let records: Vec<HandoverRecord> = handed.iter().map(|(record, _)| *record).collect();
        self.ledger.take_over(&records, now);
        for (record, answer) in handed {
            if let Some(answer) = answer
                && self.ledger.phase(record.key) == Some(Phase::Done)
            {
                self.cache_answer(record.key, &Outcome::Answer(Arc::new(answer)));
            }
        }
    }

    fn tick(&mut self, now: Timestamp) {
        for key in self.ledger.expire(now) {
            if let Some(Outcome::Answer(answer)) = self.cached.remove(&key) {
                self.cached_bytes -= answer.body.len();
            }
        }
        self.metrics.claims.set(i64::try_from(self.ledger.len()).unwrap_or(i64::MAX));
    }
}
