//! Waits until all processes of a cluster serve and the rings of its services have formed.

use std::fmt::Write as _;
use std::time::Instant;

use super::{Cluster, POLL_INTERVAL, READY_TIMEOUT};
use crate::StandinError;

impl Cluster {
    /// Waits until every process serves, sees all others as serving and has the newest settings.
    ///
    /// # Errors
    ///
    /// Fails after 30 s.
    pub async fn wait_ready(&self) -> Result<(), StandinError> {
        let started = Instant::now();
        loop {
            let problems = self.not_ready().await;
            if problems.is_empty() {
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                let what = format!("{}\n{}", problems.join("; "), self.last_logs());
                return Err(StandinError::new("wait until ready", what));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits, for each service with several targets, until the agent that began the service's ring alone has
    /// passed its records on to the other members.
    ///
    /// # Errors
    ///
    /// Fails after 30 s.
    pub async fn wait_rings(&self) -> Result<(), StandinError> {
        let started = Instant::now();
        for service in self.spec.services.iter().filter(|service| service.targets > 1) {
            while !self.ring_formed(&service.name).await? {
                if started.elapsed() > READY_TIMEOUT {
                    let name = &service.name;
                    let what =
                        format!("the ring of {name} did not form in time\n{}", self.last_logs());
                    return Err(StandinError::new("wait until ready", what));
                }
                compio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the last 40 lines of each process's log.
    fn last_logs(&self) -> String {
        self.processes.values().fold(String::new(), |mut out, p| {
            let _ = writeln!(out, "--- {}\n{}", p.name(), tail(&p.log()));
            out
        })
    }

    async fn ring_formed(&self, service: &str) -> Result<bool, StandinError> {
        for name in self.members().into_iter().filter(|name| name.starts_with(service)) {
            if self.has_event(&name, "records passed on, alone before").await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    async fn not_ready(&self) -> Vec<String> {
        let members = self.members();
        let all = u64::try_from(members.len()).unwrap_or(u64::MAX);
        let mut problems = Vec::new();
        let mut revisions = Vec::new();
        for name in members {
            match self.status(&name).await {
                Ok(status) if status.serving != all => {
                    problems.push(format!(
                        "{name} sees {} of {all} processes as serving",
                        status.serving
                    ));
                }
                Ok(status) => revisions.push(status.revision),
                Err(e) => problems.push(e.to_string()),
            }
        }
        revisions.dedup();
        if revisions.len() > 1 {
            problems.push(format!("settings revisions differ: {revisions:?}"));
        }
        problems
    }
}

fn tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(40)..].iter().fold(String::new(), |mut out, line| {
        let _ = writeln!(out, "{line}");
        out
    })
}
