//! The controller of the target's slots: who runs, who waits, and who goes to a sibling.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::claims::RingMember;
use dillmill_core::placement::{LoadReport, Place, Policy, Siblings};
use dillmill_core::retry_budget::RetryBudget;
use dillmill_core::scheduler::{Offer, Refusal, RequestId, Scheduler, SchedulingRequest};
use dillmill_core::{MemberStatus, Percent, ServiceName, Slots, TargetPace, Timestamp, warm_up};
use dillmill_node::{NodeHandle, View, Views, with_draw};
use dillmill_wire::Message;

use crate::metrics::AgentMetrics;

const TICK: Duration = Duration::from_millis(20);
const REPORT_WHEN_CHANGED: Duration = Duration::from_millis(500);
const REPORT_ALWAYS: Duration = Duration::from_secs(2);
const REPORT_SIBLINGS: usize = 8;

/// What becomes of a request that asked for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It is not run; worth coming back after the given time.
    Refused(Refusal, Duration),
}

enum Input {
    Offer { ask: SchedulingRequest, tx: flume::Sender<Admission> },
    Finish(RequestId),
    Place { policy: Policy, elsewhere: bool, tx: flume::Sender<Option<RingMember>> },
    FirstTry,
    Retry(flume::Sender<bool>),
    Load(SocketAddrV4, LoadReport),
    View(Arc<View>),
    TargetReachable(bool),
    Close,
    InUse(flume::Sender<usize>),
    Tick,
}

/// A handle on the controller.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    tx: flume::Sender<Input>,
}

/// A place in a slot or in the queue; given back when dropped.
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
    /// Starts the controller.
    #[must_use]
    pub fn spawn(handle: NodeHandle, service: ServiceName, metrics: AgentMetrics) -> Self {
        let (tx, rx) = flume::unbounded();
        compio::runtime::spawn(feed_views(handle.views(), tx.clone())).detach();
        compio::runtime::spawn(tick(tx.clone())).detach();
        compio::runtime::spawn(AdmissionTask::new(handle, service, metrics).run(rx)).detach();
        Self { tx }
    }

    /// Returns where load reports of siblings go.
    pub fn take_loads(&self, loads: flume::Receiver<(SocketAddrV4, LoadReport)>) {
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
    /// Says why it was refused and when to come back.
    pub async fn admit(&self, ask: SchedulingRequest) -> Result<Slot, (Refusal, Duration)> {
        let (tx, rx) = flume::bounded(1);
        let slot = Slot { id: ask.id, tx: self.tx.clone() };
        let _ = self.tx.send(Input::Offer { ask, tx });
        match rx.recv_async().await {
            Ok(Admission::Run) => Ok(slot),
            Ok(Admission::Refused(refusal, after)) => Err((refusal, after)),
            Err(_) => Err((Refusal::Closed, REPORT_ALWAYS)),
        }
    }

    /// Chooses a sibling for a request, or `None` to run it here.
    ///
    /// With `elsewhere` it is not run here as long as any sibling takes work.
    pub async fn place(&self, policy: Policy, elsewhere: bool) -> Option<RingMember> {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Place { policy, elsewhere, tx });
        rx.recv_async().await.ok().flatten()
    }

    /// Counts a first try towards the retry budget.
    pub fn first_try(&self) {
        let _ = self.tx.send(Input::FirstTry);
    }

    /// Asks whether a retry may be made, and spends it.
    pub async fn may_retry(&self) -> bool {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::Retry(tx));
        rx.recv_async().await.unwrap_or(false)
    }

    /// Says whether the target accepts connections.
    pub fn target_reachable(&self, reachable: bool) {
        let _ = self.tx.send(Input::TargetReachable(reachable));
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        let _ = self.tx.send(Input::Close);
    }

    /// Returns the slots in use and the requests waiting, together.
    pub async fn busy(&self) -> usize {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Input::InUse(tx));
        rx.recv_async().await.unwrap_or(0)
    }
}

async fn feed_views(views: Views, tx: flume::Sender<Input>) {
    while let Some(view) = views.next().await {
        if tx.send(Input::View(view)).is_err() {
            return;
        }
    }
}

async fn tick(tx: flume::Sender<Input>) {
    while tx.send(Input::Tick).is_ok() {
        compio::time::sleep(TICK).await;
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
    full_slots: Slots,
    warm_up: Duration,
    warm_since: Option<Timestamp>,
    reachable: bool,
    closed: bool,
    last_report: Option<(LoadReport, Timestamp)>,
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
            full_slots: Slots(0),
            warm_up: Duration::ZERO,
            warm_since: None,
            reachable: false,
            closed: false,
            last_report: None,
        }
    }

    async fn run(mut self, rx: flume::Receiver<Input>) {
        while let Ok(input) = rx.recv_async().await {
            let now = self.handle.clock.now();
            self.take(input, now);
        }
    }

    fn take(&mut self, input: Input, now: Timestamp) {
        match input {
            Input::Offer { ask, tx } => self.offer(&ask, tx, now),
            Input::Finish(id) => {
                self.waiting.remove(&id);
                self.scheduler.cancel_waiting(id);
                let started = self.scheduler.finish(id, now);
                self.start(started);
            }
            Input::Place { policy, elsewhere, tx } => {
                let _ = tx.send(self.place(policy, elsewhere, now));
            }
            Input::FirstTry => self.budget.record_first_try(),
            Input::Retry(tx) => {
                let _ = tx.send(self.budget.try_spend());
            }
            Input::Load(from, report) => self.siblings.report(report, from, now),
            Input::View(view) => self.use_view(&view),
            Input::TargetReachable(reachable) => {
                if reachable && !self.reachable {
                    self.warm_since = Some(now);
                }
                self.reachable = reachable;
                // The slots count at once: others send work as soon as they hear of it.
                self.tick(now);
            }
            Input::Close => {
                self.closed = true;
                self.scheduler.close();
            }
            Input::InUse(tx) => {
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
                let _ = tx.send(Admission::Refused(refusal, after));
            }
        }
    }

    fn start(&mut self, started: Vec<RequestId>) {
        for id in started {
            if let Some(tx) = self.waiting.remove(&id) {
                let _ = tx.send(Admission::Run);
            }
        }
    }

    fn place(&mut self, policy: Policy, elsewhere: bool, now: Timestamp) -> Option<RingMember> {
        let mut own = self.report();
        if elsewhere {
            own.slots = Slots(0);
        }
        let place = with_draw(|draw| self.siblings.place(policy, own, now, draw));
        match place {
            Place::Sibling { process, control } => Some(RingMember { process, control }),
            Place::Here if own.slots.0 == 0 => self.unheard_sibling(),
            Place::Here => None,
        }
    }

    /// Returns a serving sibling whose first report has not come yet.
    fn unheard_sibling(&self) -> Option<RingMember> {
        let unheard = |m: &&RingMember| !self.siblings.knows(m.process);
        let unheard: Vec<&RingMember> = self.sibling_addrs.iter().filter(unheard).collect();
        let i = with_draw(|draw| draw(unheard.len()));
        unheard.get(i).map(|m| **m)
    }

    fn use_view(&mut self, view: &View) {
        if let Some(service) = view.settings.as_ref().and_then(|s| s.service(&self.service)) {
            self.full_slots = service.node.slots;
            self.warm_up = service.operation.warm_up.duration();
            self.budget.set_share(service.operation.retry_share);
        }
        let before = std::mem::take(&mut self.sibling_addrs);
        self.sibling_addrs = view
            .serving_agents(&self.service)
            .filter(|m| m.process != view.me.process)
            .map(|m| RingMember { process: m.process, control: m.control })
            .collect();
        let away = view.members().filter(|m| m.status != MemberStatus::Serving);
        self.siblings.set_unavailable(away.map(|m| m.process));
        let report = self.report();
        for new in self.sibling_addrs.iter().filter(|m| !before.contains(m)) {
            self.handle.send(new.control, Message::Load(report));
        }
    }

    fn tick(&mut self, now: Timestamp) {
        self.scheduler.set_slots(self.slots_now(now));
        let started = self.scheduler.start_waiting(now);
        self.start(started);
        for expired in self.scheduler.expire(now) {
            if let Some(tx) = self.waiting.remove(&expired.id) {
                let _ = tx.send(Admission::Refused(expired.refusal, expired.retry_after));
            }
        }
        self.metrics.slots_in_use.set(i64::try_from(self.scheduler.in_use()).unwrap_or(0));
        self.metrics.queued.set(i64::try_from(self.scheduler.queued()).unwrap_or(0));
        self.report_if_due(now);
    }

    /// A target that has just started gets its slots one after the other.
    fn slots_now(&self, now: Timestamp) -> Slots {
        let Some(since) = self.warm_since else { return Slots(0) };
        if !self.reachable {
            return Slots(0);
        }
        warm_up::slots(self.full_slots, self.warm_up, since, now)
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
        }
    }

    fn report_if_due(&mut self, now: Timestamp) {
        let report = self.report();
        let due = self.last_report.is_none_or(|(last, at)| {
            let since = now.since(at);
            // That a target takes work, or takes none any more, can't wait.
            let opened_or_closed = (last.slots.0 == 0) != (report.slots.0 == 0);
            opened_or_closed
                || since >= REPORT_ALWAYS
                || (last != report && since >= REPORT_WHEN_CHANGED)
        });
        if !due {
            return;
        }
        self.last_report = Some((report, now));
        let mut to: Vec<RingMember> = self.sibling_addrs.clone();
        while to.len() > REPORT_SIBLINGS {
            let i = with_draw(|draw| draw(to.len()));
            to.swap_remove(i);
        }
        for member in to {
            self.handle.send(member.control, Message::Load(report));
        }
    }
}
