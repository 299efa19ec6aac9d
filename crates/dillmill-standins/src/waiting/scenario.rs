//! Loads of services: classes of callers, targets, bursts and an outage.

use std::time::Duration;

use dillmill_core::Priority;

/// The load of a service and the outage that it goes through.
#[derive(Debug, Clone, Copy)]
pub struct OutageScenario {
    /// Requests per second.
    pub load: f64,
    /// Number of slots of all targets together.
    pub slots: u32,
    /// Mean service time of a request.
    pub work: Duration,
    /// Factor by which targets are slower just after their start.
    pub cold: f64,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective: a response within this time is of full use.
    pub latency_objective: Duration,
    /// Duration of the outage, in which no packet gets through.
    pub outage: Duration,
}

/// A class of callers: the requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct CallerClass {
    /// Priority of the route.
    pub priority: Priority,
    /// Requests per second.
    pub load: f64,
    /// Mean service time of a request, without the tail.
    pub work: Duration,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective: a response within this time is of full use.
    pub latency_objective: Duration,
    /// Whether a request may be sent again.
    pub repeatable: bool,
    /// Whether requests are sent on flows that are open already: each stays at one agent and has one attempt.
    pub open_flow: bool,
}

/// A target with its agent.
#[derive(Debug, Clone, Copy)]
pub struct TargetSpec {
    /// Number of slots.
    pub slots: u32,
    /// Speed relative to the nominal speed.
    pub speed: f64,
}

/// Requests that take a multiple of the service time.
#[derive(Debug, Clone, Copy)]
pub struct Tail {
    /// Share of such requests.
    pub share: f64,
    /// Factor of their service time.
    pub factor: f64,
}

/// Higher load for part of each period.
#[derive(Debug, Clone, Copy)]
pub struct Bursts {
    /// Factor of the load in a burst.
    pub factor: f64,
    /// Time from the start of one burst to the next; the first starts after one period.
    pub period: Duration,
    /// Duration of a burst.
    pub length: Duration,
}

/// The load of a service whose targets have agents with queues of their own.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Classes of callers.
    pub classes: Vec<CallerClass>,
    /// Targets, each with an agent.
    pub targets: Vec<TargetSpec>,
    /// Requests that take a multiple of the service time.
    pub tail: Option<Tail>,
    /// Times of higher load.
    pub bursts: Option<Bursts>,
    /// Factor by which targets are slower just after an outage.
    pub cold: f64,
    /// Duration of the outage, in which no packet gets through.
    pub outage: Duration,
}

impl Scenario {
    /// Returns the factor of the load at this time after the start.
    pub(super) fn load_factor(&self, elapsed: Duration) -> f64 {
        let Some(bursts) = self.bursts else { return 1.0 };
        let period = bursts.period.as_secs_f64();
        let in_burst = elapsed >= bursts.period
            && elapsed.as_secs_f64() % period < bursts.length.as_secs_f64();
        if in_burst { bursts.factor } else { 1.0 }
    }
}

impl From<OutageScenario> for Scenario {
    fn from(outage: OutageScenario) -> Self {
        let class = CallerClass {
            priority: Priority::LOWEST,
            load: outage.load,
            work: outage.work,
            timeout: outage.timeout,
            latency_objective: outage.latency_objective,
            repeatable: true,
            open_flow: false,
        };
        Self {
            classes: vec![class],
            targets: vec![TargetSpec { slots: outage.slots, speed: 1.0 }],
            tail: None,
            bursts: None,
            cold: outage.cold,
            outage: outage.outage,
        }
    }
}

/// Returns the scenario of the menu service as its users describe it, at `load` requests per second.
#[must_use]
pub fn menu_service(load: f64) -> OutageScenario {
    OutageScenario {
        load,
        slots: 28,
        work: Duration::from_millis(32),
        cold: 1.6,
        timeout: Duration::from_millis(2500),
        latency_objective: Duration::from_millis(150),
        outage: Duration::from_millis(1700),
    }
}

/// Returns the stall terminals of docs/design/overload.md, at a sixth of their size: payments that open a flow
/// each, and feeds on open flows, on targets of two speeds with a heavy tail. The load is the peak of a
/// swing, some 1.05 of all slots, and 1.25 in bursts.
#[must_use]
pub fn stall_terminals() -> Scenario {
    let class = |priority, load, ms, objective, open_flow| CallerClass {
        priority: Priority(priority),
        load,
        work: Duration::from_millis(ms),
        timeout: Duration::from_secs(3),
        latency_objective: Duration::from_millis(objective),
        repeatable: open_flow,
        open_flow,
    };
    let target = |n| TargetSpec { slots: 3, speed: if n % 4 == 0 { 0.55 } else { 1.2 } };
    Scenario {
        classes: vec![class(1, 94.0, 61, 400, false), class(2, 330.0, 47, 300, true)],
        targets: (0..8).map(target).collect(),
        tail: Some(Tail { share: 0.03, factor: 7.0 }),
        bursts: Some(Bursts {
            factor: 1.2,
            period: Duration::from_secs(3),
            length: Duration::from_secs(1),
        }),
        cold: 1.0,
        outage: Duration::ZERO,
    }
}

/// Returns the lost-and-found hosting of docs/design/overload.md, at a fifth of its size: reports before
/// listings in bursts, and a power failure.
#[must_use]
pub fn lost_and_found() -> Scenario {
    let class = |priority, load, ms, objective| CallerClass {
        priority: Priority(priority),
        load,
        work: Duration::from_millis(ms),
        timeout: Duration::from_millis(1200),
        latency_objective: Duration::from_millis(objective),
        repeatable: priority > 1,
        open_flow: false,
    };
    Scenario {
        classes: vec![class(1, 97.0, 29, 250), class(2, 197.0, 22, 200)],
        targets: vec![TargetSpec { slots: 2, speed: 1.0 }; 9],
        tail: None,
        bursts: Some(Bursts {
            factor: 2.3,
            period: Duration::from_secs(3),
            length: Duration::from_secs(2),
        }),
        cold: 1.6,
        outage: Duration::from_millis(1700),
    }
}
