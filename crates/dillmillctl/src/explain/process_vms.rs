//! Mapping of process ids to VM names.

use std::collections::HashMap;

use crate::logs::LogLine;

/// VMs of the processes by process id, for all processes that have logged their start.
#[derive(Debug, Default)]
pub(crate) struct ProcessVms {
    vms: HashMap<String, String>,
}

impl ProcessVms {
    /// Adds a log line; lines other than the start of a process are ignored.
    pub(crate) fn add_line(&mut self, line: &LogLine) {
        if line.kind == "process"
            && line.what.ends_with(" started")
            && let Some(process) = line.cause.strip_prefix("process ")
        {
            self.vms.insert(process.to_owned(), line.vm.clone());
        }
    }

    /// Returns the VM of a process, if its start is logged.
    pub(crate) fn vm(&self, process: &str) -> Option<&str> {
        self.vms.get(process).map(String::as_str)
    }

    /// Returns whether any process has logged its start.
    pub(crate) fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }
}
