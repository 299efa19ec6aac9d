//! Writes log lines without ever blocking the process.
//!
//! Lines go through a bounded queue to a thread that writes them in batches. If the reader of the log is
//! slow and the queue is full, lines are dropped and counted, and the process continues.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Maximum number of queued lines; at about 200 bytes per line, they take 0.4 MB.
const QUEUE_CAPACITY: usize = 2000;
/// Interval between two batches, so that one wake-up of the thread writes all lines of that time.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum wait until the queue is empty when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The sending end of the queue of log lines.
#[derive(Debug, Clone)]
pub struct LogWriter {
    tx: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn spawn(mut out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = flume::bounded::<Vec<u8>>(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        std::thread::Builder::new().name("log".to_owned()).spawn(move || {
            while let Ok(first) = rx.recv() {
                std::thread::sleep(BATCH_INTERVAL);
                let mut batch = first;
                for line in rx.drain() {
                    batch.extend_from_slice(&line);
                }
                let dropped_lines = counter.swap(0, Ordering::Relaxed);
                if dropped_lines > 0 {
                    let note = format!(
                        "{{\"kind\":\"log\",\"what\":\"{dropped_lines} lines left out\"}}\n"
                    );
                    batch.extend_from_slice(note.as_bytes());
                }
                // There is no other place to report that the log can't be written.
                let _ = out.write_all(&batch).and_then(|()| out.flush());
            }
        })?;
        Ok(Self { tx, dropped })
    }

    /// Returns the number of dropped lines that the log has not reported yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits, for a limited time, until the queued lines are written.
    pub fn wait_until_written(&self) {
        let started = Instant::now();
        while !self.tx.is_empty() && started.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(BATCH_INTERVAL);
        }
        std::thread::sleep(BATCH_INTERVAL * 2);
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
