//! Waits for the signals that stop a process.

/// Waits for SIGTERM or SIGINT.
pub async fn requested() {
    let term = compio::signal::unix::signal(SIGTERM);
    let int = compio::signal::ctrl_c();
    futures_util::pin_mut!(term, int);
    futures_util::future::select(term, int).await;
}

const SIGTERM: i32 = 15;
