//! Channel that delivers the newest view to one task.

use std::sync::{Arc, Mutex, PoisonError};

use crate::View;

type Cell = Arc<Mutex<Option<Arc<View>>>>;

/// Receiving end of a view channel, which delivers only the newest view.
///
/// A view that the task has not received before the next one is published is skipped, so a task that is
/// idle for days keeps one view in memory and not all of them.
#[derive(Debug)]
pub struct ViewReceiver {
    cell: Cell,
    rx: flume::Receiver<()>,
}

/// Sending end of a view channel.
#[derive(Debug)]
pub(crate) struct ViewSender {
    cell: Cell,
    tx: flume::Sender<()>,
}

/// Creates a view channel.
pub(crate) fn views() -> (ViewSender, ViewReceiver) {
    let cell = Cell::default();
    let (tx, rx) = flume::bounded(1);
    (ViewSender { cell: cell.clone(), tx }, ViewReceiver { cell, rx })
}

impl ViewSender {
    /// Replaces the view; returns whether the receiver still exists.
    pub(crate) fn send(&self, view: Arc<View>) -> bool {
        *self.cell.lock().unwrap_or_else(PoisonError::into_inner) = Some(view);
        !matches!(self.tx.try_send(()), Err(flume::TrySendError::Disconnected(())))
    }
}

impl ViewReceiver {
    fn newest(&self) -> Option<Arc<View>> {
        self.cell.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the newest view if this task has not received it yet, without waiting.
    #[must_use]
    pub fn newer(&self) -> Option<Arc<View>> {
        self.rx.try_recv().ok().and_then(|()| self.newest())
    }

    /// Waits for a view that this task has not received yet; returns `None` when the process ends.
    pub async fn next(&self) -> Option<Arc<View>> {
        self.rx.recv_async().await.ok().and_then(|()| self.newest())
    }
}
