//! What the tasks of an agent share: handles on its controllers.

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

/// Handles on the parts of an agent.
#[derive(Debug, Clone)]
pub struct AgentContext {
    /// The control task.
    pub node: NodeHandle,
    /// This agent as a member of its service's ring.
    pub me: RingMember,
    /// The service.
    pub service: ServiceName,
    /// Slots and siblings.
    pub admission: AdmissionController,
    /// Claims.
    pub ledger: Ledger,
    /// The target.
    pub target: Target,
    /// Metrics.
    pub metrics: AgentMetrics,
    /// What changes while the agent runs.
    pub shared: Arc<Shared>,
}

/// The changing part of a context.
#[derive(Debug)]
pub struct Shared {
    view: RwLock<Arc<View>>,
    next_request: AtomicU64,
    stopping: AtomicBool,
}

impl Shared {
    /// Creates the changing part with a first view.
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
    /// Returns the present view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.shared.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the present view.
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

    /// Returns a number for a new request; numbers grow with arrival.
    #[must_use]
    pub fn next_request(&self) -> RequestId {
        RequestId(self.shared.next_request.fetch_add(1, Ordering::Relaxed))
    }
}
