//! `dillmillctl`, the operator's command-line program.
//!
//! It edits the settings tree stored in the platform and shows the state of the processes. It never
//! changes a balancer or an agent: `status`, `load` and `timeline` send read-only requests, and
//! `explain` reads log files only.

mod command;
mod config;
mod error;
mod explain;
mod logs;
mod output;
mod verbs;

use std::process::ExitCode;

use command::Parsed;
use error::CtlError;
use output::out;

#[compio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let invocation = match command::parse(&args) {
        Ok(Parsed::Run(invocation)) => invocation,
        Ok(Parsed::Show(text)) => {
            out!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => return fail(&e),
    };
    match Box::pin(verbs::run(&invocation)).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn fail(e: &CtlError) -> ExitCode {
    eprintln!("dillmillctl: {e}");
    ExitCode::from(e.exit_code())
}
