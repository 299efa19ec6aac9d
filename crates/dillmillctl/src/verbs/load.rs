//! The verb `load`, which asks the agents of a service for their load.

use std::fmt;

use dillmill_core::{Member, PRIORITY_CLASSES, Role, ServiceName};
use dillmill_wire::{LoadStatus, ProcessStatus, StreamMessage};
use serde::Serialize;

use super::print_json;
use super::processes::{members, request_all};
use crate::config::CtlConfig;
use crate::error::CtlError;
use crate::output::out;

/// Load of the agents of a service, printed as a table or JSON.
#[derive(Debug, Serialize)]
struct ServiceLoad<'a> {
    service: &'a ServiceName,
    agents: Vec<AgentRow>,
}

/// One agent of the service.
#[derive(Debug, Serialize)]
struct AgentRow {
    member: Member,
    /// `None` if the agent did not answer.
    answer: Option<AgentAnswer>,
}

#[derive(Debug, Serialize)]
struct AgentAnswer {
    /// Whether the agent's data centre gets no new flows, as far as the agent knows.
    evacuated: bool,
    flows: u64,
    /// `None` if the agent does not know its load yet, or is of an earlier version.
    load: Option<LoadStatus>,
}

pub(crate) async fn load(
    cfg: &CtlConfig,
    service: &ServiceName,
    json: bool,
) -> Result<(), CtlError> {
    let key = cfg.key()?;
    let mut agents = members(cfg, &key).await?;
    agents.retain(|member| matches!(&member.role, Role::Agent(of) if of == service));
    let answers = request_all(agents, &key, &StreamMessage::GetStatus).await;
    if answers.is_empty() {
        return Err(CtlError::Input(format!("no agent of service {service} is known")));
    }
    let mut agents: Vec<AgentRow> =
        answers.into_iter().map(|(member, answer)| AgentRow::new(member, answer)).collect();
    agents.sort_by(|a, b| (&a.member.vm, a.member.process).cmp(&(&b.member.vm, b.member.process)));
    let load = ServiceLoad { service, agents };
    if json {
        print_json(&load);
    } else {
        out!("{load}");
    }
    match load.agents.iter().filter(|row| row.answer.is_none()).count() {
        0 => Ok(()),
        n => Err(CtlError::Unreachable(format!("{n} agents of {service} do not answer"))),
    }
}

impl AgentRow {
    fn new(member: Member, answer: Option<StreamMessage>) -> Self {
        let answer = match answer {
            Some(StreamMessage::Status(status)) => Some(AgentAnswer::new(&member, *status)),
            _ => None,
        };
        Self { member, answer }
    }
}

impl AgentAnswer {
    fn new(member: &Member, status: ProcessStatus) -> Self {
        let evacuated = status.evacuations.contains(&member.zone);
        Self { evacuated, flows: status.flows, load: status.load }
    }
}

impl fmt::Display for ServiceLoad<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:<12} {:>5} {:>8} {:>7} {:>6} {:>6} {:>6} {:>6} {:>10} {:>8} {:>8} evacuated",
            "vm",
            "data centre",
            "slots",
            "requests",
            "waiting",
            "prio 0",
            "1",
            "2",
            "lower",
            "service ms",
            "flows",
            "demand"
        )?;
        self.agents.iter().try_for_each(|row| writeln!(f, "{row}"))
    }
}

impl fmt::Display for AgentRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (vm, zone) = (self.member.vm.to_string(), self.member.zone.to_string());
        write!(f, "{vm:<16} {zone:<12} ")?;
        let Some(AgentAnswer { evacuated, flows, load }) = &self.answer else {
            return f.write_str("does not answer");
        };
        let load = load.as_ref();
        let number = |n: Option<u64>| n.map_or_else(|| "-".to_owned(), |n| n.to_string());
        let class = |i: usize| load.and_then(|l| l.waiting_by_class).map(|n| u64::from(n[i]));
        let slots = number(load.map(|l| u64::from(l.slots.0)));
        let requests = number(load.map(|l| u64::from(l.requests)));
        let waiting = number(load.map(|l| u64::from(l.waiting)));
        write!(f, "{slots:>5} {requests:>8} {waiting:>7}")?;
        (0..PRIORITY_CLASSES).try_for_each(|i| write!(f, " {:>6}", number(class(i))))?;
        let service_time = number(load.and_then(|l| l.service_time_ms));
        let demand = number(load.and_then(|l| l.flow_demand).map(u64::from));
        let evacuated = if *evacuated { "yes" } else { "no" };
        write!(f, " {service_time:>10} {flows:>8} {demand:>8} {evacuated}")
    }
}
