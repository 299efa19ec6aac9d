//! Reloads the settings file when it changes.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use dillmill_core::EventKind;
use dillmill_node::Journal;
use dillmill_node::signals::SignalReceiver;
use dillmill_platform::ProcessSettings;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

/// Interval at which the file's modification time is checked, as the file may change without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file of a process.
///
/// Valid settings are applied as far as a running process can apply them; for the rest the log says that
/// they need a restart. Invalid settings change nothing, and the log says what is wrong and where.
pub struct SettingsReloader {
    path: PathBuf,
    current: ProcessSettings,
    stop_limit: Rc<Cell<Duration>>,
    journal: Journal,
    read_modified_at: Option<SystemTime>,
}

impl SettingsReloader {
    /// Starts the task; `stop_limit` is updated when the file specifies another one.
    pub fn spawn(
        path: PathBuf,
        current: ProcessSettings,
        stop_limit: Rc<Cell<Duration>>,
        journal: Journal,
        hang_ups: SignalReceiver,
    ) {
        let read_modified_at = modification_time(&path);
        let reload = Self { path, current, stop_limit, journal, read_modified_at };
        compio::runtime::spawn(reload.run(hang_ups)).detach();
    }

    async fn run(mut self, mut hang_ups: SignalReceiver) {
        loop {
            let signalled = {
                let signal = hang_ups.next();
                let change = self.wait_for_change();
                pin_mut!(signal, change);
                matches!(select(signal, change).await, Either::Left(_))
            };
            self.reload_file(if signalled { "signal" } else { "the file has changed" });
        }
    }

    async fn wait_for_change(&self) {
        loop {
            compio::time::sleep(FILE_POLL_INTERVAL).await;
            if modification_time(&self.path) != self.read_modified_at {
                return;
            }
        }
    }

    fn reload_file(&mut self, cause: &str) {
        self.read_modified_at = modification_time(&self.path);
        let settings = match ProcessSettings::open(&self.path) {
            Ok(settings) => settings,
            Err(e) => {
                let what = "settings file not used, the earlier settings stay";
                return self.journal.record(EventKind::Settings, what, e.to_string());
            }
        };
        self.stop_limit.set(settings.stop_limit);
        let running = ProcessSettings { stop_limit: settings.stop_limit, ..self.current.clone() };
        let what = if settings == running {
            format!("settings file read: a stop may take {:?}", settings.stop_limit)
        } else {
            "settings file read; changed addresses, service or bounds need a restart".to_owned()
        };
        self.journal.record(EventKind::Settings, what, cause);
        self.current = running;
    }
}

fn modification_time(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
