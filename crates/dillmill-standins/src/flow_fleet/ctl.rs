//! Runs `dillmillctl` against a fleet.

use std::process::{Command, Stdio};

use dillmill_settings::TokenHash;

use super::FlowFleet;
use crate::StandinError;
use crate::cluster::CtlOutput;
use crate::process::program;

impl FlowFleet {
    /// Runs `dillmillctl` with the process of the VM `peer` as the only peer, and waits until it exits.
    ///
    /// # Errors
    ///
    /// Fails when there is no such VM or `dillmillctl` can't be started.
    pub fn ctl(&self, peer: &str, args: &[&str]) -> Result<CtlOutput, StandinError> {
        let no_vm = || StandinError::new("run dillmillctl", format!("no VM {peer}"));
        let settings = &self.vms.get(peer).ok_or_else(no_vm)?.settings;
        // Processes derive the cluster key from the address of the store.
        let key = TokenHash::of(&format!("dillmill {}", settings.store));
        let text = format!(
            "platform: http://{}\ncluster_key: \"{key}\"\npeers: [\"{}:{}\"]\n",
            settings.store, settings.ip, settings.internal_port_range.0,
        );
        let file = self.dir.path().join("dillmillctl.yaml");
        std::fs::write(&file, text).map_err(StandinError::at("write dillmillctl settings"))?;
        let output = Command::new(program("dillmillctl")?)
            .args(args)
            .arg("--config")
            .arg(file)
            .stdin(Stdio::null())
            .output()
            .map_err(StandinError::at("run dillmillctl"))?;
        Ok(CtlOutput {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }
}
