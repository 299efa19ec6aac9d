//! Verbs that ask the processes.

use std::time::{Duration, Instant};

use dillmill_core::{Evacuations, Event, Member, MemberStatus, Revision, Role, ZoneName};
use dillmill_node::client;
use dillmill_wire::{ClusterKey, ProcessStatus, StreamMessage};
use futures_util::StreamExt;
use futures_util::stream;
use serde_json::json;

use crate::config::CtlConfig;
use crate::error::CtlError;
use crate::output::outln;
use crate::verbs::print_json;

const AT_ONCE: usize = 64;
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Returns the members that the first peer to answer knows.
async fn members(cfg: &CtlConfig, key: &ClusterKey) -> Result<Vec<Member>, CtlError> {
    if cfg.peers.is_empty() {
        return Err(CtlError::Input("the settings file names no peers".to_owned()));
    }
    let mut last = String::new();
    for peer in &cfg.peers {
        match client::ask(*peer, key, &StreamMessage::GetMembers).await {
            Ok(StreamMessage::Members(members)) => return Ok(members),
            Ok(_) => last = format!("{peer}: unexpected answer"),
            Err(e) => last = e.to_string(),
        }
    }
    Err(CtlError::Unreachable(format!("no peer answers; the last: {last}")))
}

/// Asks every member that is not down; the answer is `None` where none came.
async fn ask_all(
    members: Vec<Member>,
    key: &ClusterKey,
    question: &StreamMessage,
) -> Vec<(Member, Option<StreamMessage>)> {
    let alive = members.into_iter().filter(|m| m.status != MemberStatus::Down);
    stream::iter(alive)
        .map(|member| async move {
            let answer = client::ask(member.control, key, question).await.ok();
            (member, answer)
        })
        .buffer_unordered(AT_ONCE)
        .collect()
        .await
}

struct Seen {
    newest: Revision,
    rows: Vec<(Member, Option<ProcessStatus>)>,
}

impl Seen {
    fn behind(&self) -> usize {
        let has_newest = |status: &Option<ProcessStatus>| {
            status.as_ref().map(|s| s.revision) == Some(self.newest)
        };
        self.rows.iter().filter(|(_, status)| !has_newest(status)).count()
    }

    /// Returns the newest orders to evacuate data centres that a process knows.
    fn evacuations(&self) -> Evacuations {
        let known = self.rows.iter().filter_map(|(_, status)| status.as_ref());
        let newest = known.map(|status| &status.evacuations).max_by_key(|e| e.revision());
        newest.cloned().unwrap_or_default()
    }

    /// Returns the open flows of the agents in a data centre.
    fn flows_in(&self, zone: &ZoneName) -> u64 {
        let there = |member: &Member| member.zone == *zone && member.role != Role::Balancer;
        let rows = self.rows.iter().filter(|(member, _)| there(member));
        rows.filter_map(|(_, status)| status.as_ref()).map(|status| status.flows).sum()
    }
}

async fn look(cfg: &CtlConfig, key: &ClusterKey) -> Result<Seen, CtlError> {
    let accepted = match cfg.store()?.tree().await {
        Ok(tree) => tree.revision,
        Err(e) => {
            eprintln!("dillmillctl: {}", e.current_context());
            Revision(0)
        }
    };
    let asked = ask_all(members(cfg, key).await?, key, &StreamMessage::GetStatus).await;
    let mut rows: Vec<(Member, Option<ProcessStatus>)> = asked
        .into_iter()
        .map(|(member, answer)| match answer {
            Some(StreamMessage::Status(status)) => (member, Some(*status)),
            _ => (member, None),
        })
        .collect();
    rows.sort_by(|(a, _), (b, _)| a.vm.cmp(&b.vm));
    let known = rows.iter().filter_map(|(_, s)| s.as_ref()).map(|s| s.revision).max();
    Ok(Seen { newest: accepted.max(known.unwrap_or_default()), rows })
}

pub(crate) async fn status(
    cfg: &CtlConfig,
    wait: Option<Duration>,
    json: bool,
) -> Result<(), CtlError> {
    let key = cfg.key()?;
    let started = Instant::now();
    let mut seen = look(cfg, &key).await?;
    while seen.behind() > 0 && wait.is_some_and(|wait| started.elapsed() < wait) {
        compio::time::sleep(ASK_AGAIN).await;
        seen = look(cfg, &key).await?;
    }
    show_status(&seen, json);
    match seen.behind() {
        0 => Ok(()),
        n => Err(CtlError::Behind(format!("{n} processes are not at revision {}", seen.newest))),
    }
}

fn show_status(seen: &Seen, json: bool) {
    if json {
        let processes: Vec<_> = seen
            .rows
            .iter()
            .map(|(member, status)| json!({ "member": member, "status": status }))
            .collect();
        let evacuations = seen.evacuations();
        print_json(
            &json!({ "revision": seen.newest, "evacuations": evacuations, "processes": processes }),
        );
        return;
    }
    outln!("newest revision {}", seen.newest);
    let evacuations = seen.evacuations();
    for zone in evacuations.zones() {
        let revision = evacuations.revision();
        outln!(
            "data centre {zone} gets no new flows (orders of revision {revision}); {} open there",
            seen.flows_in(zone)
        );
    }
    outln!(
        "{:<16} {:<24} {:<10} {:>8} {:>8} platform",
        "vm",
        "role",
        "standing",
        "revision",
        "flows"
    );
    for (member, status) in &seen.rows {
        let role = member.role.to_string();
        match status {
            Some(s) => outln!(
                "{:<16} {role:<24} {:<10} {:>8} {:>8} {}",
                member.vm.to_string(),
                s.member.status.to_string(),
                s.revision.to_string(),
                s.flows,
                if s.platform_reachable { "answers" } else { "no answer" },
            ),
            None => outln!("{:<16} {role:<24} does not answer", member.vm.to_string()),
        }
    }
}

pub(crate) async fn timeline(
    cfg: &CtlConfig,
    kind: Option<&str>,
    json: bool,
) -> Result<(), CtlError> {
    let key = cfg.key()?;
    let asked = ask_all(members(cfg, &key).await?, &key, &StreamMessage::GetEvents).await;
    let mut lines: Vec<(Event, Member)> = Vec::new();
    for (member, answer) in asked {
        match answer {
            Some(StreamMessage::Events { events, .. }) => {
                lines.extend(events.into_iter().map(|event| (event, member.clone())));
            }
            _ => eprintln!("dillmillctl: {} does not answer; its events are missing", member.vm),
        }
    }
    lines.retain(|(event, _)| kind.is_none_or(|kind| event.kind.to_string() == kind));
    lines.sort_by_key(|(event, member)| (event.at, member.process, event.seq));
    for (event, member) in lines {
        if json {
            print_json(&json!({ "vm": member.vm, "process": member.process, "event": event }));
        } else {
            outln!(
                "{} {:<14} {:<9} {} ({})",
                event.at,
                member.vm,
                event.kind.to_string(),
                event.what,
                event.cause,
            );
        }
    }
    Ok(())
}
