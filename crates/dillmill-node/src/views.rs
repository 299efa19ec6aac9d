//! The newest view, for one task.

use std::sync::{Arc, Mutex, PoisonError};

use crate::View;

type Cell = Arc<Mutex<Option<Arc<View>>>>;

/// Gives a task the newest view; views that the task did not look at in time are skipped, so a task
/// that is idle for days holds one view and not all.
#[derive(Debug)]
pub struct ViewReceiver {
    cell: Cell,
    rx: flume::Receiver<()>,
}

/// The other end of [`ViewReceiver`].
#[derive(Debug)]
pub(crate) struct ViewSender {
    cell: Cell,
    tx: flume::Sender<()>,
}

/// Creates both ends.
pub(crate) fn views() -> (ViewSender, ViewReceiver) {
    let cell = Cell::default();
    let (tx, rx) = flume::bounded(1);
    (ViewSender { cell: cell.clone(), tx }, ViewReceiver { cell, rx })
}

impl ViewSender {
    /// Replaces the view; returns whether the other end is still there.
    pub(crate) fn send(&self, view: Arc<View>) -> bool {
        *self.cell.lock().unwrap_or_else(PoisonError::into_inner) = Some(view);
        !matches!(self.tx.try_send(()), Err(flume::TrySendError::Disconnected(())))
    }
}

impl ViewReceiver {
    fn take(&self) -> Option<Arc<View>> {
        self.cell.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the newest view if there is one that this task has not seen.
    #[must_use]
    pub fn newer(&self) -> Option<Arc<View>> {
        self.rx.try_recv().ok().and_then(|()| self.take())
    }

    /// Waits for a view that this task has not seen; `None` when the process ends.
    pub async fn next(&self) -> Option<Arc<View>> {
        self.rx.recv_async().await.ok().and_then(|()| self.take())
    }
}
