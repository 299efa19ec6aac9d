//! Starts, signals and ends child processes of tests and tools, and reads their logs.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::StandinError;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

/// Returns the path of a program of this workspace, in the directory of the running program or the one
/// above it.
///
/// # Errors
///
/// Fails when the program has not been built.
pub fn program(name: &str) -> Result<PathBuf, StandinError> {
    let own = std::env::current_exe().map_err(StandinError::at("find programs"))?;
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.is_file());
    found.ok_or_else(|| {
        StandinError::new("find programs", format!("{name} is not built; run `cargo build`"))
    })
}

impl Process {
    /// Starts `program` and appends its output to the file `name.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn spawn(
        name: &str,
        program: &Path,
        args: &[String],
        dir: &Path,
    ) -> Result<Self, StandinError> {
        Self::spawn_with(name, program, args, &[], dir)
    }

    /// Like [`Process::spawn`], with additional environment variables.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn spawn_with(
        name: &str,
        program: &Path,
        args: &[String],
        env: &[(&str, &Path)],
        dir: &Path,
    ) -> Result<Self, StandinError> {
        let log = dir.join(format!("{name}.log"));
        let step = || format!("start {name}");
        let out = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(StandinError::at(step()))?;
        let err = out.try_clone().map_err(StandinError::at(step()))?;
        let child = Command::new(program)
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(StandinError::at(step()))?;
        Ok(Self { name: name.to_owned(), child, log })
    }

    /// Returns the name that the process was started under.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that the process has printed and logged.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: &str) -> Result<(), StandinError> {
        let step = format!("send {signal} to {}", self.name);
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.child.id().to_string()])
            .status()
            .map_err(StandinError::at(step.clone()))?;
        if status.success() { Ok(()) } else { Err(StandinError::new(step, status)) }
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent, as to a process that has ended.
    pub fn freeze(&self) -> Result<(), StandinError> {
        self.signal("STOP")
    }

    /// Resumes the process with SIGCONT after [`Process::freeze`].
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent, as to a process that has ended.
    pub fn thaw(&self) -> Result<(), StandinError> {
        self.signal("CONT")
    }

    /// Sends SIGHUP, on which the process reads its settings file again.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent, as to a process that has ended.
    pub fn hang_up(&self) -> Result<(), StandinError> {
        self.signal("HUP")
    }

    /// Returns whether the process has begun to catch SIGHUP.
    #[must_use]
    pub fn catches_hang_up(&self) -> bool {
        const SIGHUP_MASK: u64 = 1;
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & SIGHUP_MASK != 0)
    }

    /// Asks the process to stop gracefully, with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent, as to a process that has ended.
    pub fn terminate(&self) -> Result<(), StandinError> {
        self.signal("TERM")
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has ended successfully, or `None` if it is still running.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits up to `limit` for the process to end. Returns whether it ended successfully, or `None` if it is
    /// still running.
    pub async fn wait(&mut self, limit: Duration) -> Option<bool> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(success) = self.ended() {
                return Some(success);
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
