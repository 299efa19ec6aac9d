use std::collections::HashMap;

use crate::logs::LogLine;

/// VMs of the processes that have logged their start.
#[derive(Debug, Default)]
pub(crate) struct ProcessNames {
    vms: HashMap<String, String>,
}

impl ProcessNames {
    /// Takes in a line; only starts of processes matter.
    pub(crate) fn note(&mut self, line: &LogLine) {
        if line.kind == "process"
            && line.what.ends_with(" started")
            && let Some(process) = line.cause.strip_prefix("process ")
        {
            self.vms.insert(process.to_owned(), line.vm.clone());
        }
    }

    /// Returns the VM of a process.
    pub(crate) fn vm(&self, process: &str) -> Option<&str> {
        self.vms.get(process).map(String::as_str)
    }

    /// Returns whether any process has logged its start.
    pub(crate) fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }
}
