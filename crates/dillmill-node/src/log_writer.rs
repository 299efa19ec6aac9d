//! A writer for log lines that never blocks its process.
//!
//! Lines go through a bounded queue to a thread that writes them in batches. When whoever reads the
//! log is slow, lines are left out and counted, and the process goes on.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Lines that wait at most; with some 200 bytes a line, 0.4 MB.
const QUEUE: usize = 2000;
/// Wait between two batches: one wake-up serves all lines of that time.
const GATHER: Duration = Duration::from_millis(100);
/// Longest wait for the last lines when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// The end of the queue that takes lines.
#[derive(Debug, Clone)]
pub struct LogWriter {
    tx: flume::Sender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn spawn(mut out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = flume::bounded::<Vec<u8>>(QUEUE);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = left_out.clone();
        std::thread::Builder::new().name("log".to_owned()).spawn(move || {
            while let Ok(first) = rx.recv() {
                std::thread::sleep(GATHER);
                let mut batch = first;
                for line in rx.drain() {
                    batch.extend_from_slice(&line);
                }
                let missed = counter.swap(0, Ordering::Relaxed);
                if missed > 0 {
                    let note =
                        format!("{{\"kind\":\"log\",\"what\":\"{missed} lines left out\"}}\n");
                    batch.extend_from_slice(note.as_bytes());
                }
                // A log that can't be written has no place where that could be said.
                let _ = out.write_all(&batch).and_then(|()| out.flush());
            }
        })?;
        Ok(Self { tx, left_out })
    }

    /// Returns the number of lines left out and not reported yet.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    /// Waits a little until the lines are written.
    pub fn wait(&self) {
        let started = Instant::now();
        while !self.tx.is_empty() && started.elapsed() < FLUSH_LIMIT {
            std::thread::sleep(GATHER);
        }
        std::thread::sleep(GATHER * 2);
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(line.to_vec()).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
