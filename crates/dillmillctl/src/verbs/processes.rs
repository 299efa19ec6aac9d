//! The verbs `status` and `timeline`, and requests to all processes.

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

const MAX_CONCURRENT_REQUESTS: usize = 64;
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Returns the list of members from the first peer that answers.
pub(super) async fn members(cfg: &CtlConfig, key: &ClusterKey) -> Result<Vec<Member>, CtlError> {
    if cfg.peers.is_empty() {
        return Err(CtlError::Input("the settings file names no peers".to_owned()));
    }
    let mut last_error = String::new();
    for peer in &cfg.peers {
        match client::send_request(*peer, key, &StreamMessage::GetMembers).await {
            Ok(StreamMessage::Members(members)) => return Ok(members),
            Ok(_) => last_error = format!("{peer}: unexpected answer"),
            Err(e) => last_error = e.to_string(),
        }
    }
    Err(CtlError::Unreachable(format!("no peer answers; the last: {last_error}")))
}

/// Sends a request to every member that is not down. The response is `None` if a member did not answer.
pub(super) async fn request_all(
    members: Vec<Member>,
    key: &ClusterKey,
    request: &StreamMessage,
) -> Vec<(Member, Option<StreamMessage>)> {
    let alive = members.into_iter().filter(|m| m.status != MemberStatus::Down);
    stream::iter(alive)
        .map(|member| async move {
            let answer = client::send_request(member.control, key, request).await.ok();
            (member, answer)
        })
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await
}

/// Status of all processes at one time, and the newest revision known to any of them or to the platform.
struct FleetStatus {
    newest: Revision,
    rows: Vec<(Member, Option<ProcessStatus>)>,
}

impl FleetStatus {
    /// Returns the number of processes that do not run with the newest revision or did not answer.
    fn count_behind(&self) -> usize {
        let has_newest = |status: &Option<ProcessStatus>| {
            status.as_ref().map(|s| s.revision) == Some(self.newest)
        };
        self.rows.iter().filter(|(_, status)| !has_newest(status)).count()
    }

    /// Returns the newest evacuation orders known to any process.
    fn evacuations(&self) -> Evacuations {
        let known = self.rows.iter().filter_map(|(_, status)| status.as_ref());
        let newest = known.map(|status| &status.evacuations).max_by_key(|e| e.revision());
        newest.cloned().unwrap_or_default()
    }

    /// Returns the number of open flows at the agents in a data centre.
    fn flows_in(&self, zone: &ZoneName) -> u64 {
        let is_agent_in_zone =
            |member: &Member| member.zone == *zone && member.role != Role::Balancer;
        let rows = self.rows.iter().filter(|(member, _)| is_agent_in_zone(member));
        rows.filter_map(|(_, status)| status.as_ref()).map(|status| status.flows).sum()
    }
}

/// Requests the status of all members. If the platform can't be read, the error is printed and the newest
/// revision is the newest one that a process reports.
async fn fetch_status(cfg: &CtlConfig, key: &ClusterKey) -> Result<FleetStatus, CtlError> {
    let accepted = match cfg.store()?.tree().await {
        Ok(tree) => tree.revision,
        Err(e) => {
            eprintln!("dillmillctl: {}", e.current_context());
            Revision(0)
        }
    };
    let answers = request_all(members(cfg, key).await?, key, &StreamMessage::GetStatus).await;
    let mut rows: Vec<(Member, Option<ProcessStatus>)> = answers
        .into_iter()
        .map(|(member, answer)| match answer {
            Some(StreamMessage::Status(status)) => (member, Some(*status)),
            _ => (member, None),
        })
        .collect();
    rows.sort_by(|(a, _), (b, _)| a.vm.cmp(&b.vm));
    let known = rows.iter().filter_map(|(_, s)| s.as_ref()).map(|s| s.revision).max();
    Ok(FleetStatus { newest: accepted.max(known.unwrap_or_default()), rows })
}

pub(crate) async fn status(
    cfg: &CtlConfig,
    wait: Option<Duration>,
    json: bool,
) -> Result<(), CtlError> {
    let key = cfg.key()?;
    let started = Instant::now();
    let mut fleet = fetch_status(cfg, &key).await?;
    while fleet.count_behind() > 0 && wait.is_some_and(|wait| started.elapsed() < wait) {
        compio::time::sleep(POLL_INTERVAL).await;
        fleet = fetch_status(cfg, &key).await?;
    }
    show_status(&fleet, json);
    match fleet.count_behind() {
        0 => Ok(()),
        n => Err(CtlError::Behind(format!("{n} processes are not at revision {}", fleet.newest))),
    }
}

fn show_status(fleet: &FleetStatus, json: bool) {
    if json {
        let processes: Vec<_> = fleet
            .rows
            .iter()
            .map(|(member, status)| json!({ "member": member, "status": status }))
            .collect();
        let evacuations = fleet.evacuations();
        print_json(
            &json!({ "revision": fleet.newest, "evacuations": evacuations, "processes": processes }),
        );
        return;
    }
    outln!("newest revision {}", fleet.newest);
    let evacuations = fleet.evacuations();
    for zone in evacuations.zones() {
        let revision = evacuations.revision();
        outln!(
            "data centre {zone} gets no new flows (orders of revision {revision}); {} open there",
            fleet.flows_in(zone)
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
    for (member, status) in &fleet.rows {
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
    let answers = request_all(members(cfg, &key).await?, &key, &StreamMessage::GetEvents).await;
    let mut lines: Vec<(Event, Member)> = Vec::new();
    for (member, answer) in answers {
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
