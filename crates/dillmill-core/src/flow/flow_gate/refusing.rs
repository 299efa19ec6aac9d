//! Refuses waiting opening packets that can't be served within their callers' attempts.

use std::time::Duration;

use super::{FlowGate, RefuseReason, Verdict};
use crate::Timestamp;
use crate::open_queue::WaitingOpen;
use crate::route_table::{RouteEntry, RouteTable};
use crate::unservable::{DrainRate, QueuedTurn, min_wait, unservable};

/// Interval at which the queue is searched. The search orders the whole queue, and within this
/// time a target begins only a few requests.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// An opening packet that is refused because its turn would come too late.
#[derive(Debug)]
pub struct UnservableOpen {
    /// The packet.
    pub open: WaitingOpen,
    /// Verdict for its caller.
    pub verdict: Verdict,
    /// Time until its turn would come.
    pub turn: Duration,
    /// How long its caller waits in an attempt.
    pub attempt_timeout: Duration,
}

impl FlowGate {
    /// Removes the opening packets that can't be served within their callers' attempts; returns
    /// them with the verdicts for their callers.
    pub fn take_unservable(&mut self, routes: &RouteTable, now: Timestamp) -> Vec<UnservableOpen> {
        let requests = self.load(now).requests;
        let slots = u32::from(self.slots);
        let full = requests >= slots && self.cold.limit(now).is_none();
        if !full
            || self.opens.is_empty()
            || now.since(self.last_unservable_search) < SEARCH_INTERVAL
        {
            return Vec::new();
        }
        self.last_unservable_search = now;
        let order = self.opens.in_order(self.work_of(requests + 1), now);
        let turns: Vec<QueuedTurn> =
            order.iter().map(|open| self.queued_turn(open, routes, requests, now)).collect();
        let drain =
            DrainRate { first_after: requests + 1 - slots, interval: self.flows.work() / slots };
        let refused: Vec<UnservableOpen> = unservable(&turns, drain, now)
            .into_iter()
            .map(|lost| {
                let open = order[lost.index].clone();
                let verdict = self.refuse(RefuseReason::Unservable, &open.envelope, &[]);
                let attempt_timeout = self.opens.attempt_timeout(&open.flow, &open.terms, now);
                UnservableOpen { open, verdict, turn: lost.turn, attempt_timeout }
            })
            .collect();
        for lost in &refused {
            self.opens.remove(&lost.open.flow);
        }
        refused
    }

    fn queued_turn(
        &self,
        open: &WaitingOpen,
        routes: &RouteTable,
        requests: u32,
        now: Timestamp,
    ) -> QueuedTurn {
        let default = RouteEntry::default();
        let route = routes.get(open.flow.route()).unwrap_or(&default);
        let attempt_timeout = self.opens.attempt_timeout(&open.flow, &open.terms, now);
        let refusable = !open.terms.open_flow
            && route.overload.admission_control
            && now.since(open.terms.since) >= min_wait(open.terms.timeout)
            && !self.opens.last_attempt(open, now);
        QueuedTurn {
            late: !open.terms.answered_in_time(self.work_of(requests + 1), now),
            refusable,
            attempt_ends: open.terms.since + attempt_timeout,
            timeout: open.terms.timeout,
            priority: route.priority,
            low_priority_share: route.overload.low_priority_share,
        }
    }
}
