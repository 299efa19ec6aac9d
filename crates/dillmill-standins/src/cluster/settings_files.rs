//! Writes a cluster's initial settings through `dillmillctl`, and runs `dillmillctl`.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use dillmill_settings::TokenHash;

use super::{CLUSTER_KEY, Cluster, CtlOutput, FLOW_KEY};
use crate::StandinError;
use crate::process::program;

impl Cluster {
    pub(super) fn write_settings(&mut self) -> Result<(), StandinError> {
        let (certificate, key) = certificate()?;
        let peers: Vec<String> = Vec::new();
        self.write_ctl_config(&peers)?;
        let root = format!(
            "flow_keys:\n  - {{ id: 1, secret: \"{FLOW_KEY}\" }}\n{}",
            self.spec.root_extra
        );
        self.set("root", &root)?;
        for (i, service) in self.spec.services.clone().iter().enumerate() {
            let text = format!(
                "number: {}\naddress: {}\nslots: {}\nfeeds: [/feed]\ntls:\n  certificate: |\n{}  key: |\n{}{}",
                i + 1,
                self.services[i].address,
                service.slots,
                indent(&certificate, 4),
                indent(&key, 4),
                service.extra,
            );
            self.set(&format!("services/{}", service.name), &text)?;
        }
        for (group, weight) in self.spec.groups.clone() {
            let token = TokenHash::of(&format!("token-{group}"));
            let text = format!("tokens: [\"{token}\"]\nlimits: {{ weight: {weight} }}\n");
            self.set(&format!("groups/{group}"), &text)?;
        }
        self.certificate = certificate;
        Ok(())
    }

    pub(super) fn write_ctl_config(&self, peers: &[String]) -> Result<(), StandinError> {
        let text = format!(
            "platform: http://{}\ncluster_key: \"{CLUSTER_KEY}\"\npeers: [{}]\nauthor: test\n",
            self.platform,
            peers.join(", "),
        );
        std::fs::write(self.ctl_config(), text)
            .map_err(StandinError::at("write dillmillctl settings"))
    }

    fn ctl_config(&self) -> PathBuf {
        self.dir.path().join("dillmillctl.yaml")
    }

    /// Writes a settings node and returns the output of `dillmillctl`.
    ///
    /// # Errors
    ///
    /// Fails when `dillmillctl` can't be run or does not accept the edit.
    pub fn set(&self, path: &str, text: &str) -> Result<String, StandinError> {
        let file = self.dir.path().join("node.yaml");
        std::fs::write(&file, text).map_err(StandinError::at("write settings node"))?;
        let output = self.ctl(&["set", path, &file.display().to_string()])?;
        if output.code == 0 { Ok(output.out) } else { Err(StandinError::new("set", output.err)) }
    }

    /// Runs `dillmillctl` and waits until it exits.
    ///
    /// # Errors
    ///
    /// Fails when `dillmillctl` can't be started.
    pub fn ctl(&self, args: &[&str]) -> Result<CtlOutput, StandinError> {
        let output = Command::new(program("dillmillctl")?)
            .args(args)
            .arg("--config")
            .arg(self.ctl_config())
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

fn certificate() -> Result<(String, String), StandinError> {
    let made = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()])
        .map_err(StandinError::at("generate certificate"))?;
    Ok((made.cert.pem(), made.signing_key.serialize_pem()))
}

fn indent(text: &str, by: usize) -> String {
    let pad = " ".repeat(by);
    text.lines().fold(String::new(), |mut out, line| {
        let _ = writeln!(out, "{pad}{line}");
        out
    })
}
