//! Steps of the agents and their targets: queues, exchange of loads, moves and the target's work.

use std::time::Duration;

use dillmill_core::flow_gate::{GateContext, Verdict};
use dillmill_core::placement::{LoadDetail, LoadReport};
use dillmill_core::{Envelope, Segment, SegmentKind, Slots};
use rand::Rng;

use crate::packets::{number, process, segment, service};
use crate::world::{Event, SLOTS, TRANSIT, WORK_MS, World};

impl World {
    pub(crate) fn arrived(&mut self, at: usize, seg: &Segment, env: &Envelope) -> Verdict {
        let (now, agent) = (self.now, &mut self.agents[at]);
        let context = GateContext {
            agents: &self.table,
            routes: &self.routes,
            settled: true,
            told: true,
            siblings: &agent.siblings,
        };
        agent.gate.arrived(seg, env, context, now)
    }

    pub(crate) fn serve(&mut self, at: usize) {
        let now = self.now;
        self.agents[at].gate.take_abandoned(now);
        while let Some(open) = self.agents[at].gate.next_waiting(now) {
            let seg = segment(number(&open.flow), SegmentKind::Open { copies: 0 }, 0);
            let agent = &mut self.agents[at];
            let context = GateContext {
                agents: &self.table,
                routes: &self.routes,
                settled: true,
                told: true,
                siblings: &agent.siblings,
            };
            let verdict = agent.gate.decide_waiting(&seg, &open.envelope, context, now);
            self.apply(at, verdict, &seg);
        }
    }

    pub(crate) fn move_waiting(&mut self, at: usize) {
        loop {
            let agent = &mut self.agents[at];
            let context = GateContext {
                agents: &self.table,
                routes: &self.routes,
                settled: true,
                told: true,
                siblings: &agent.siblings,
            };
            let Some((open, verdict)) = agent.gate.next_moved(context, self.now) else { return };
            let seg = segment(number(&open.flow), SegmentKind::Open { copies: 0 }, 0);
            self.apply(at, verdict, &seg);
        }
    }

    pub(crate) fn work(&mut self, at: usize) {
        while self.agents[at].running < SLOTS && !self.agents[at].backlog.is_empty() {
            let n = self.agents[at].backlog.remove(0);
            self.agents[at].running += 1;
            let took =
                Duration::from_millis(self.rng.random_range(WORK_MS / 2..=WORK_MS * 3 / 2).into());
            self.schedule(took, Event::Answer { n, at });
        }
    }

    pub(crate) fn exchange(&mut self, at: usize) {
        let (now, agent) = (self.now, &mut self.agents[at]);
        let pressure = agent.rounds.due(now) && agent.gate.under_pressure(now);
        if !pressure || !self.routes.shares_load(service()) {
            return;
        }
        let rng = &mut self.rng;
        let mut draw = |below: usize| rng.random_range(0..below);
        let peers = agent.rounds.begin(process(at), service(), &self.table, now, &mut draw);
        for peer in peers {
            self.send_load(at, usize::from(peer.control.ip().octets()[3]), true);
        }
    }

    pub(crate) fn send_load(&mut self, from: usize, to: usize, reply: bool) {
        self.totals.exchanges += 1;
        if self.silent {
            return;
        }
        let gate = &self.agents[from].gate;
        let load = gate.load(self.now);
        let requests = u16::try_from(load.requests).unwrap();
        let waiting = u16::try_from(gate.waiting()).unwrap();
        let report = LoadReport {
            in_use: requests.min(SLOTS),
            queued: requests.saturating_sub(SLOTS),
            pace: self.agents[from].gate.pace(self.now),
            detail: LoadDetail { waiting: [0, 0, 0, waiting], flow_demand: None },
            slots: Slots(SLOTS),
            ..LoadReport::idle(process(from), SLOTS)
        };
        let id = self.schedule(TRANSIT, Event::Load { from, at: to });
        self.reports.insert(id, (report, reply));
    }
}
