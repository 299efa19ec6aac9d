//! The view of members and settings that the control task publishes to the other tasks.

use std::sync::Arc;

use dillmill_core::membership::{FleetSize, StoredSize};
use dillmill_core::{
    Evacuations, HomeTable, Member, MemberStatus, ProcessId, Revision, Role, ServiceName,
};
use dillmill_settings::{CompiledTree, RouteTree};

/// The members, settings and evacuation orders at one moment.
#[derive(Debug, Clone)]
pub struct View {
    /// Member record of this process.
    pub me: Member,
    /// All member records, including this process's own.
    pub members: Arc<Vec<Arc<Member>>>,
    /// Settings in force; `None` until the first tree has been received.
    pub settings: Option<Arc<CompiledTree>>,
    /// Routes of packet flows in force; `None` until the first have been received.
    pub routes: Option<Arc<RouteTree>>,
    /// Data centres that get no new flows; `None` until the orders are known.
    pub evacuations: Option<Arc<Evacuations>>,
    /// Fleet size stored in the platform's store, as far as known.
    pub stored_size: StoredSize,
    /// Whether the view contains all processes, as far as this process can tell.
    pub settled: bool,
}

impl View {
    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members.iter().map(Arc::as_ref)
    }

    /// Returns the number of processes that are not known to be down.
    #[must_use]
    pub fn fleet(&self) -> FleetSize {
        let up = self.members().filter(|m| m.status != MemberStatus::Down).count();
        FleetSize(u32::try_from(up).unwrap_or(u32::MAX))
    }

    /// Returns the settings revision in force, 0 before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let tree = self.settings.as_ref().map_or(Revision(0), |tree| tree.revision());
        let routes = self.routes.as_ref().map_or(Revision(0), |routes| routes.revision());
        tree.max(routes)
    }

    /// Returns the home table of the agents of `service` that accept new flows.
    #[must_use]
    pub fn home_table(&self, service: &ServiceName) -> HomeTable {
        HomeTable::new(self.serving_agents(service).map(Into::into))
    }

    /// Returns the agents of `service` that accept new work.
    pub fn serving_agents(&self, service: &ServiceName) -> impl Iterator<Item = &Member> {
        self.members().filter(move |m| {
            m.status == MemberStatus::Serving
                && matches!(&m.role, Role::Agent(name) if name == service)
        })
    }

    /// Returns the balancers that accept new work.
    pub fn serving_balancers(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|m| m.status == MemberStatus::Serving && m.role == Role::Balancer)
    }

    /// Returns the member record of a process.
    #[must_use]
    pub fn member(&self, process: ProcessId) -> Option<&Member> {
        self.members().find(|m| m.process == process)
    }
}
