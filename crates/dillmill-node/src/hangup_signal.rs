//! The signal by which a process is told that its settings file has changed.

use std::pin::Pin;

use futures_util::poll;

const SIGHUP: i32 = 1;

type Listener = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;

/// Waits for hang-up signals, again and again.
///
/// A signal without any listener ends the process, and a listener is gone as soon as it has fired. So
/// there are always two, and one is replaced before the other goes.
pub struct HangupSignals {
    current: Listener,
}

async fn listen() -> Listener {
    let mut listener: Listener = Box::pin(compio::signal::unix::signal(SIGHUP));
    // The first poll registers it.
    let _ = poll!(&mut listener);
    listener
}

impl HangupSignals {
    /// Begins to listen.
    pub async fn register() -> Self {
        Self { current: listen().await }
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let spare = listen().await;
        let heard = self.current.as_mut().await;
        self.current = listen().await;
        drop(spare);
        if heard.is_err() {
            // No listener can be had: whoever waits goes by the time of the file instead.
            std::future::pending::<()>().await;
        }
    }
}
