//! Receives SIGHUP, which tells a process that its settings file has changed.

use std::pin::Pin;

use futures_util::poll;

const SIGHUP: i32 = 1;

type Listener = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;

/// A receiver of repeated hang-up signals.
///
/// A signal ends the process if no listener is registered, and a listener is removed as soon as it has
/// fired. Therefore [`HangupSignals::next`] registers a second listener before it waits for the first one,
/// and drops it only after the first one has been replaced.
pub struct HangupSignals {
    current: Listener,
}

async fn listen() -> Listener {
    let mut listener: Listener = Box::pin(compio::signal::unix::signal(SIGHUP));
    // The first poll registers the listener.
    let _ = poll!(&mut listener);
    listener
}

impl HangupSignals {
    /// Registers the first listener.
    pub async fn register() -> Self {
        Self { current: listen().await }
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let spare = listen().await;
        let outcome = self.current.as_mut().await;
        self.current = listen().await;
        drop(spare);
        if outcome.is_err() {
            // No listener can be registered. The caller then relies on the modification time of the
            // settings file instead.
            std::future::pending::<()>().await;
        }
    }
}
