//! The context that the tasks of an agent share: handles on its controllers, and its changing state.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use dillmill_core::ServiceName;
use dillmill_core::claims::RingMember;
use dillmill_core::scheduler::RequestId;
use dillmill_node::{NodeHandle, View};

use crate::admission::AdmissionController;
use crate::ledger::Ledger;
use crate::metrics::AgentMetrics;
use crate::target::Target;

/// Handles on the parts of an agent, shared by its tasks.
#[derive(Debug, Clone)]
pub struct AgentContext {
    /// Handle on the control task.
    pub node: NodeHandle,
    /// This agent as a member of its service's ring.
    pub me: RingMember,
    /// The service.
    pub service: ServiceName,
    /// Admission controller: slots, queue, siblings and retry budget.
    pub admission: AdmissionController,
    /// Controller of the claims.
    pub ledger: Ledger,
    /// Client of the target.
    pub target: Target,
    /// Metrics.
    pub metrics: AgentMetrics,
    /// State that changes while the agent runs.
    pub shared: Arc<SharedState>,
}

/// The part of an [`AgentContext`] that changes while the agent runs.
#[derive(Debug)]
pub struct SharedState {
    view: RwLock<Arc<View>>,
    next_request: AtomicU64,
    stopping: AtomicBool,
}

impl SharedState {
    /// Creates the state with a first view.
    #[must_use]
    pub fn new(view: Arc<View>) -> Arc<Self> {
        Arc::new(Self {
            view: RwLock::new(view),
            next_request: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
        })
    }
}

impl AgentContext {
    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.shared.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the current view.
    pub fn set_view(&self, view: Arc<View>) {
        *self.shared.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    /// Records that a planned stop has begun.
    pub fn set_stopping(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.shared.stopping.load(Ordering::Relaxed)
    }

    /// Adds to the number of open flows.
    pub fn count_flows(&self, change: i64) {
        self.node.metrics.flows.add(change);
    }

    /// Returns an identifier for a new request; identifiers increase in order of arrival.
    #[must_use]
    pub fn next_request(&self) -> RequestId {
        RequestId(self.shared.next_request.fetch_add(1, Ordering::Relaxed))
    }
}
