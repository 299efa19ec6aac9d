//! The admission controller, which decides whether a request runs, waits, is refused or goes to a sibling.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::claims::RingMember;
use dillmill_core::placement::{LoadDetail, LoadReport, Place, Policy, Siblings};
use dillmill_core::retry_budget::RetryBudget;
use dillmill_core::scheduler::{Offer, Refusal, RequestId, Scheduler, SchedulingRequest};
use dillmill_core::{
    EventKind, MemberStatus, PauseDetector, Percent, ServiceName, Slots, TargetPace, Timestamp,
    warm_up,
};
use dillmill_node::{NodeHandle, View, ViewReceiver, with_random_index};
use dillmill_wire::Message;

use crate::load_status::load_status;
use crate::metrics::AgentMetrics;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two ticks from which on the process counts as paused in the log.
const PAUSE_LIMIT: Duration = Duration::from_millis(200);
const CHANGED_REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
const MAX_REPORT_RECIPIENTS: usize = 8;

/// Decision on a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request is not run; the caller should retry after the given time.
    Refused(Refusal, Duration),
}

enum Input {
    Offer { ask: SchedulingRequest, tx: flume::Sender<Admission> },
    Finish(RequestId),
    Place { policy: Policy, exclude_self: bool, tx: flume::Sender<Option<RingMember>> },
    FirstAttempt,
    Retry(flume::Sender<bool>),
    Load(SocketAddrV4, LoadReport),
    View(Arc<View>),
    TargetReachable(bool),
    Close,
    ActiveRequests(flume::Sender<usize>),
    Tick,
}

/// Handle on the task of the admission controller.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    tx: flume::Sender<Input>,
}

/// A request's slot or place in the queue, released on drop.
#[derive(Debug)]
pub struct Slot {
    id: RequestId,
    tx: flume::Sender<Input>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let _ = self.tx.send(Input::Finish(self.id));
    }
}

impl AdmissionController {
    /// Starts the controller's task.
    #[must_use]
    pub fn spawn(handle: NodeHandle, service: ServiceName, metrics: AgentMetrics) -> Self {
        let (tx, rx) = flume::unbounded();
        compio::runtime::spawn(forward_views(handle.views(), tx.clone())).detach();
        compio::runtime::spawn(tick(tx.clone())).detach();
        compio::runtime::spawn(AdmissionTask::new(handle, service, metrics).run(rx)).detach();
        Self { tx }
    }

    /// Starts a task that forwards the load reports of siblings to the controller.
    pub fn forward_load_reports(&self, loads: flume::Receiver<(SocketAddrV4, LoadReport)>) {
        let tx = self.tx.clone();
        compio::runtime::spawn(async move {
            while let Ok((from, report)) = loads.recv_async().await {
                let _ = tx.send(Input::Load(from, report));
            }
        })
        .detach();
    }

    /// Asks for a slot and waits until there is one or the request is refused.
    ///
    /// # Errors
    ///
    /// Returns why the request was refused and after which time to retry.
    pub async fn admit(&self, ask: SchedulingRequest) -> Result<Slot, (Refusal, Duration)> {
        let (tx, rx) = flume::bounded(1);
        let slot = Slot { id: ask.id, tx: self.tx.clone() };
        let _ = self.tx.send(Input::Offer { ask, tx });
        match rx.recv_async().await {
            Ok(Admission::Run) => Ok(slot),
            Ok(Admission::Refused(refusal, after)) => Err((refusal, after)),
            Err(_) => Err((Refusal::Closed, REPORT_INTERVAL)),
        }
    }

    /// Chooses a sibling for a request; `None` means that the request runs here.
    ///
    /// With `exclude_self`, the request does not run here as long as any sibling takes work.
    pub async fn place(&self, policy: Policy, exclude_self: bool) -> Option<RingMember> {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Place { policy, exclude_self, tx });
        rx.recv_async().await.ok().flatten()
    }

    /// Counts a first attempt towards the retry budget.
    pub fn count_first_attempt(&self) {
        let _ = self.tx.send(Input::FirstAttempt);
    }

    /// Spends a retry from the budget; returns false if the budget does not allow one.
    pub async fn may_retry(&self) -> bool {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Retry(tx));
        rx.recv_async().await.unwrap_or(false)
    }

    /// Sets whether the target accepts connections.
    pub fn target_reachable(&self, reachable: bool) {
        let _ = self.tx.send(Input::TargetReachable(reachable));
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        let _ = self.tx.send(Input::Close);
    }

    /// Returns the sum of the slots in use and the requests waiting.
    pub async fn active_requests(&self) -> usize {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::ActiveRequests(tx));
        rx.recv_async().await.unwrap_or(0)
    }
}

async fn forward_views(views: ViewReceiver, tx: flume::Sender<Input>) {
    while let Some(view) = views.next().await {
        if tx.send(Input::View(view)).is_err() {
            return;
        }
    }
}

async fn tick(tx: flume::Sender<Input>) {
    while tx.send(Input::Tick).is_ok() {
        compio::time::sleep(TICK_INTERVAL).await;
    }
}

struct AdmissionTask {
    handle: NodeHandle,
    service: ServiceName,
    metrics: AgentMetrics,
    scheduler: Scheduler,
    siblings: Siblings,
    sibling_addrs: Vec<RingMember>,
    budget: RetryBudget,
    waiting: HashMap<RequestId, flume::Sender<Admission>>,
    configured_slots: Slots,
    warm_up: Duration,
    reachable_since: Option<Timestamp>,
    reachable: bool,
    closed: bool,
    last_report: Option<(LoadReport, Timestamp)>,
    pauses: PauseDetector,
}

impl AdmissionTask {
    fn new(handle: NodeHandle, service: ServiceName, metrics: AgentMetrics) -> Self {
        Self {
            handle,
            service,
            metrics,
            scheduler: Scheduler::new(Slots(0)),
            siblings: Siblings::default(),
            sibling_addrs: Vec::new(),
            budget: RetryBudget::new(Percent(0)),
            waiting: HashMap::new(),
            configured_slots: Slots(0),
            warm_up: Duration::ZERO,
            reachable_since: None,
            reachable: false,
            closed: false,
            last_report: None,
            pauses: PauseDetector::new(PAUSE_LIMIT),
        }
    }

    async fn run(mut self, rx: flume::Receiver<Input>) {
        while let Ok(input) = rx.recv_async().await {
            let now = self.handle.clock.now();
            self.handle_input(input, now);
        }
    }

    fn handle_input(&mut self, input: Input, now: Timestamp) {
        match input {
            Input::Offer { ask, tx } => self.offer(&ask, tx, now),
            Input::Finish(id) => {
                self.waiting.remove(&id);
                self.scheduler.cancel_waiting(id);
                let started = self.scheduler.finish(id, now);
                self.start(started);
            }
            Input::Place { policy, exclude_self, tx } => {
                let _ = tx.send(self.place(policy, exclude_self, now));
            }
            Input::FirstAttempt => self.budget.record_first_try(),
            Input::Retry(tx) => {
                let _ = tx.send(self.budget.try_spend());
            }
            Input::Load(from, report) => self.siblings.report(report, from, now),
            Input::View(view) => self.apply_view(&view),
            Input::TargetReachable(reachable) => {
                if reachable && !self.reachable {
                    self.reachable_since = Some(now);
                }
                self.reachable = reachable;
                // The slots must be available at once, as siblings send work as soon as they learn of it.
                self.tick(now);
            }
            Input::Close => {
                self.closed = true;
                self.scheduler.close();
            }
            Input::ActiveRequests(tx) => {
                let _ = tx.send(self.scheduler.in_use() + self.scheduler.queued());
            }
            Input::Tick => self.tick(now),
        }
    }

    fn offer(&mut self, ask: &SchedulingRequest, tx: flume::Sender<Admission>, now: Timestamp) {
        match self.scheduler.offer(ask, now) {
            Offer::Run => {
                let _ = tx.send(Admission::Run);
            }
            Offer::Wait => {
                self.waiting.insert(ask.id, tx);
            }
            Offer::Refuse(refusal, after) => {
                self.log_refusal(ask.id, refusal);
                let _ = tx.send(Admission::Refused(refusal, after));
            }
        }
    }

    /// Logs the load behind a refusal, which tells a busy target from one that stands still.
    fn log_refusal(&self, id: RequestId, refusal: Refusal) {
        let load = &self.scheduler;
        let cause = format!(
            "{refusal}; {} of {} slots in use, {} queued, service time {} ms",
            load.in_use(),
            load.slots(),
            load.queued(),
            load.service_time().as_millis()
        );
        self.handle.journal.record_debug(
            EventKind::Request,
            format!("request {} refused", id.0),
            cause,
        );
    }

    fn start(&mut self, started: Vec<RequestId>) {
        for id in started {
            if let Some(tx) = self.waiting.remove(&id) {
                let _ = tx.send(Admission::Run);
            }
        }
    }

    fn place(&mut self, policy: Policy, exclude_self: bool, now: Timestamp) -> Option<RingMember> {
        let mut own = self.report();
        if exclude_self {
            own.slots = Slots(0);
        }
        let place =
            with_random_index(|random_index| self.siblings.place(policy, own, now, random_index));
        match place {
            Place::Sibling { process, control } => Some(RingMember { process, control }),
            Place::Here if own.slots.0 == 0 => self.unreported_sibling(),
            Place::Here => None,
        }
    }

    /// Returns a random serving sibling whose first load report has not arrived yet.
    fn unreported_sibling(&self) -> Option<RingMember> {
        let unreported = |m: &&RingMember| !self.siblings.knows(m.process);
        let unreported: Vec<&RingMember> = self.sibling_addrs.iter().filter(unreported).collect();
        let i = with_random_index(|random_index| random_index(unreported.len()));
        unreported.get(i).map(|m| **m)
    }

    fn apply_view(&mut self, view: &View) {
        if let Some(service) = view.settings.as_ref().and_then(|s| s.service(&self.service)) {
            self.configured_slots = service.node.slots;
            self.warm_up = service.operation.warm_up.duration();
            self.budget.set_share(service.operation.retry_share);
        }
        let previous = std::mem::take(&mut self.sibling_addrs);
        self.sibling_addrs = view
            .serving_agents(&self.service)
            .filter(|m| m.process != view.me.process)
            .map(|m| RingMember { process: m.process, control: m.control })
            .collect();
        let unavailable = view.members().filter(|m| m.status != MemberStatus::Serving);
        self.siblings.set_unavailable(unavailable.map(|m| m.process));
        let report = self.report();
        for new in self.sibling_addrs.iter().filter(|m| !previous.contains(m)) {
            self.handle.send(new.control, Message::Load(report));
        }
    }

    fn tick(&mut self, now: Timestamp) {
        if self.pauses.was_paused(now) {
            let cause = format!("no tick for over {} ms", PAUSE_LIMIT.as_millis());
            self.handle.journal.record(EventKind::Process, "process was paused", cause);
        }
        self.scheduler.set_slots(self.slots_now(now));
        let started = self.scheduler.start_waiting(now);
        self.start(started);
        for expired in self.scheduler.expire(now) {
            self.log_refusal(expired.id, expired.refusal);
            if let Some(tx) = self.waiting.remove(&expired.id) {
                let _ = tx.send(Admission::Refused(expired.refusal, expired.retry_after));
            }
        }
        self.metrics.slots_in_use.set(i64::try_from(self.scheduler.in_use()).unwrap_or(0));
        self.metrics.queued.set(i64::try_from(self.scheduler.queued()).unwrap_or(0));
        self.report_if_due(now);
    }

    /// Returns the present number of slots; a target that has just started gets its slots one by one.
    fn slots_now(&self, now: Timestamp) -> Slots {
        let Some(since) = self.reachable_since else { return Slots(0) };
        if !self.reachable {
            return Slots(0);
        }
        warm_up::slots(self.configured_slots, self.warm_up, since, now)
    }

    fn report(&self) -> LoadReport {
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            process: self.handle.process,
            slots: if self.closed { Slots(0) } else { self.scheduler.slots() },
            in_use: count(self.scheduler.in_use()),
            queued: count(self.scheduler.queued()),
            flows: 0,
            pace: TargetPace::default(),
            detail: LoadDetail::default(),
        }
    }

    fn report_if_due(&mut self, now: Timestamp) {
        let report = self.report();
        let due = self.last_report.is_none_or(|(last, at)| {
            let since = now.since(at);
            // Siblings must learn at once that the target takes work or no longer takes any.
            let opened_or_closed = (last.slots.0 == 0) != (report.slots.0 == 0);
            opened_or_closed
                || since >= REPORT_INTERVAL
                || (last != report && since >= CHANGED_REPORT_INTERVAL)
        });
        if !due {
            return;
        }
        self.last_report = Some((report, now));
        self.handle.put_load(load_status(&report));
        let mut to: Vec<RingMember> = self.sibling_addrs.clone();
        while to.len() > MAX_REPORT_RECIPIENTS {
            let i = with_random_index(|random_index| random_index(to.len()));
            to.swap_remove(i);
        }
        for member in to {
            self.handle.send(member.control, Message::Load(report));
        }
    }
}
