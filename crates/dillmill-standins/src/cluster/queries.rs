//! Reads status, metrics, events and counters from a cluster's processes and stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use dillmill_wire::ProcessStatus;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Cluster;
use crate::StandinError;
use crate::platform::PlatformCounts;
use crate::target::TargetCounts;

impl Cluster {
    /// Returns a process's status page.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn status(&self, name: &str) -> Result<ProcessStatus, StandinError> {
        self.get_json(self.admin(name)?, "/status").await
    }

    /// Returns the value of one of a process's metrics.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer or has no such metric.
    pub async fn metric(&self, name: &str, metric: &str) -> Result<i64, StandinError> {
        let text = self.get_text(self.admin(name)?, "/metrics").await?;
        text.lines()
            .find_map(|line| line.strip_prefix(metric)?.strip_prefix(' ')?.parse().ok())
            .ok_or_else(|| {
                StandinError::new("read metrics", format!("{name} has no metric {metric}"))
            })
    }

    pub(super) async fn get_text(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<String, StandinError> {
        let step = format!("get http://{addr}{path}");
        let call = async {
            let url = format!("http://{addr}{path}");
            self.client.get(url)?.send().await?.text().await
        };
        compio::time::timeout(Duration::from_secs(2), call)
            .await
            .map_err(StandinError::at(step.clone()))?
            .map_err(StandinError::at(step))
    }

    pub(super) async fn get_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, StandinError> {
        let text = self.get_text(addr, path).await?;
        serde_json::from_str(&text)
            .map_err(StandinError::at(format!("parse the response to {path}: {text}")))
    }

    pub(super) async fn put_json<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), StandinError> {
        let step = format!("put http://{addr}{path}");
        let call = async {
            let url = format!("http://{addr}{path}");
            self.client.put(url)?.json(value)?.send().await
        };
        let answer = call.await.map_err(StandinError::at(step.clone()))?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(StandinError::new(step, answer.status()))
    }

    /// Returns the platform's counters of calls.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn platform_counts(&self) -> Result<PlatformCounts, StandinError> {
        self.get_json(self.platform, "/standin/counts").await
    }

    /// Returns whether the text `what` occurs in a process's event time line.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn has_event(&self, name: &str, what: &str) -> Result<bool, StandinError> {
        Ok(self.get_text(self.admin(name)?, "/events").await?.contains(what))
    }

    fn admin(&self, name: &str) -> Result<SocketAddr, StandinError> {
        let admin = self.launches.get(name).and_then(|launch| launch.admin);
        admin.ok_or_else(|| {
            StandinError::new("find admin address", format!("no dillmill process named {name}"))
        })
    }

    /// Returns the counters of a target.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn target_counts(&self, name: &str) -> Result<TargetCounts, StandinError> {
        self.get_json(self.target(name)?, "/standin/counts").await
    }
}
