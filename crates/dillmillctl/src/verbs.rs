//! Execution of the verbs of the command line.

mod explaining;
mod load;
mod processes;
mod settings;

pub(crate) use explaining::Subject;
use serde::Serialize;

use crate::command::{Invocation, Verb};
use crate::config::CtlConfig;
use crate::error::CtlError;
use crate::output::outln;

/// Runs a command. Only verbs that need the platform or the processes read the settings file.
pub(crate) async fn run(invocation: &Invocation) -> Result<(), CtlError> {
    let cfg = || CtlConfig::open(&invocation.config);
    let json = invocation.json;
    match &invocation.verb {
        Verb::Check { path, file } => settings::check(&cfg()?, path, file).await,
        Verb::Get { path } => settings::get(&cfg()?, path.as_ref(), json).await,
        Verb::Set { path, file, seen } => settings::set(&cfg()?, path, file, *seen).await,
        Verb::Edit { path, values, seen } => settings::edit(&cfg()?, path, values, *seen).await,
        Verb::Delete { path, seen } => settings::delete(&cfg()?, path, *seen).await,
        Verb::Diff { from, to } => settings::diff(&cfg()?, *from, *to).await,
        Verb::Effective { service, group } => {
            settings::effective(&cfg()?, service, group.as_ref(), json).await
        }
        Verb::History => settings::history(&cfg()?, json).await,
        Verb::Status { wait } => processes::status(&cfg()?, *wait, json).await,
        Verb::Load { service } => load::load(&cfg()?, service, json).await,
        Verb::Timeline { kind } => processes::timeline(&cfg()?, kind.as_deref(), json).await,
        Verb::Explain { subject, logs } => explaining::explain(subject, logs, json),
    }
}

fn print_json<T: Serialize>(value: &T) {
    if let Ok(text) = serde_json::to_string(value) {
        outln!("{text}");
    }
}
