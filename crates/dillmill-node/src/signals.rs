//! Receives the signals that stop a process, and the one that tells that its settings file has changed.

use std::pin::Pin;

use futures_util::future::select;
use futures_util::{pin_mut, poll};

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

type Listener = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;

/// A receiver of repeated signals of one kind.
///
/// A signal ends the process if no listener is registered, and a listener is removed as soon as it has
/// fired. Therefore [`SignalReceiver::next`] registers a second listener before it waits for the first one,
/// and drops it only after the first one has been replaced.
pub struct SignalReceiver {
    signal: i32,
    current: Listener,
}

async fn listen(signal: i32) -> Listener {
    let mut listener: Listener = Box::pin(compio::signal::unix::signal(signal));
    // The first poll registers the listener.
    let _ = poll!(&mut listener);
    listener
}

impl SignalReceiver {
    async fn register(signal: i32) -> Self {
        Self { signal, current: listen(signal).await }
    }

    /// Registers a receiver of hang-up signals.
    pub async fn hang_ups() -> Self {
        Self::register(SIGHUP).await
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let spare = listen(self.signal).await;
        let outcome = self.current.as_mut().await;
        self.current = listen(self.signal).await;
        drop(spare);
        if outcome.is_err() {
            // No listener can be registered, so no signal will be received.
            std::future::pending::<()>().await;
        }
    }
}

/// A receiver of the signals that stop a process, SIGTERM and SIGINT.
///
/// It must be registered before anything else is started: a signal that arrives earlier ends the process at
/// once.
pub struct StopSignals {
    terminate: SignalReceiver,
    interrupt: SignalReceiver,
}

impl StopSignals {
    /// Registers a receiver.
    pub async fn register() -> Self {
        Self {
            terminate: SignalReceiver::register(SIGTERM).await,
            interrupt: SignalReceiver::register(SIGINT).await,
        }
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let terminate = self.terminate.next();
        let interrupt = self.interrupt.next();
        pin_mut!(terminate, interrupt);
        select(terminate, interrupt).await;
    }
}
