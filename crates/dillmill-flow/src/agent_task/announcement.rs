//! Announces an agent and its target to the other processes.

use dillmill_core::flow_gate::TargetPresence;
use dillmill_core::{
    DirectoryCatchUp, EventKind, FlowCoverage, MemberStatus, Role, ServiceName, Timestamp, Weight,
};

use super::AgentTask;

/// The fields of an agent's member record that depend on its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Announcement {
    pub(crate) service: ServiceName,
    pub(crate) slots: u16,
    pub(crate) status: MemberStatus,
    pub(crate) coverage: FlowCoverage,
}

impl Announcement {
    /// Returns the announcement of an agent of `service` that has just started.
    pub(crate) fn at_start(service: ServiceName, presence: TargetPresence) -> Self {
        let (status, coverage) = match presence {
            // Any target that appears later has started after the agent, so the agent sees all its flows.
            TargetPresence::Absent => (MemberStatus::Empty, FlowCoverage::Complete),
            TargetPresence::Present | TargetPresence::Unknown => {
                (MemberStatus::Leaving, FlowCoverage::Partial)
            }
        };
        Self { service, slots: 0, status, coverage }
    }
}

impl AgentTask {
    /// Announces all changes immediately and in a single record, as each version of the record goes to all
    /// processes.
    pub(super) fn announce(&mut self, now: Timestamp) {
        self.announcement.coverage = self.gate.coverage(now);
        if self.announcement == self.announced {
            return;
        }
        let empty = |announced: &Announcement| announced.status == MemberStatus::Empty;
        if empty(&self.announced) && !empty(&self.announcement) {
            // The agent becomes a flow directory now, also for flows that began earlier.
            self.directory_since = now;
            self.catch_up = DirectoryCatchUp::default();
        }
        let announcement = self.announcement.clone();
        if announcement.status != self.announced.status {
            let what = format!("agent is {}", announcement.status);
            self.handle.journal.record(EventKind::Process, what, "announced by this agent");
        }
        self.announced = announcement.clone();
        self.handle.update_me(move |me| {
            me.role = Role::Agent(announcement.service);
            me.weight = Weight(announcement.slots);
            me.status = announcement.status;
            me.coverage = announcement.coverage;
        });
    }
}
