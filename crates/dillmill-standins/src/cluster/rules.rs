//! Sets the faults and rules of a cluster's stand-ins.

use std::net::{IpAddr, SocketAddr};

use super::Cluster;
use crate::StandinError;
use crate::fabric::FabricRules;
use crate::platform::PlatformFaults;
use crate::target::TargetRules;

impl Cluster {
    /// Makes the fabric send packets to all balancers.
    ///
    /// # Errors
    ///
    /// Fails when the fabric does not answer.
    pub async fn use_all_balancers(&mut self) -> Result<(), StandinError> {
        let all: Vec<String> = self.bind_ips.keys().cloned().collect();
        let names: Vec<&str> = all.iter().map(String::as_str).collect();
        self.use_balancers(&names).await
    }

    /// Makes the fabric send packets to these balancers only.
    ///
    /// # Errors
    ///
    /// Fails when the fabric does not answer.
    pub async fn use_balancers(&mut self, names: &[&str]) -> Result<(), StandinError> {
        let ips: Vec<IpAddr> =
            names.iter().filter_map(|n| self.bind_ips.get(*n)).map(|ip| IpAddr::V4(*ip)).collect();
        self.rules.balancers = self
            .services
            .iter()
            .map(|service| {
                let port = service.address.port();
                (service.address, ips.iter().map(|ip| SocketAddr::new(*ip, port)).collect())
            })
            .collect();
        self.put_json(self.fabric, "/standin/rules", &self.rules).await
    }

    /// Changes how the fabric loses, duplicates, reorders and delays packets.
    ///
    /// # Errors
    ///
    /// Fails when the fabric does not answer.
    pub async fn fabric_rules(
        &mut self,
        change: impl FnOnce(&mut FabricRules),
    ) -> Result<(), StandinError> {
        change(&mut self.rules);
        self.put_json(self.fabric, "/standin/rules", &self.rules).await
    }

    /// Sets the faults that the platform injects.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn platform_faults(&self, faults: &PlatformFaults) -> Result<(), StandinError> {
        self.put_json(self.platform, "/standin/faults", faults).await
    }

    /// Sets how a target behaves.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn target_rules(&self, name: &str, rules: &TargetRules) -> Result<(), StandinError> {
        self.put_json(self.target(name)?, "/standin/rules", rules).await
    }
}
