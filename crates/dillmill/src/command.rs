//! The command line of `dillmill`.

use std::path::PathBuf;

use getopts::Options;

/// A role that a process can have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleCommand {
    /// Route packets of callers.
    Balancer,
    /// Run requests on the target beside it.
    Agent,
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run a role.
    Run {
        /// The role.
        role: RoleCommand,
        /// The settings file.
        config: PathBuf,
        /// Only check the settings file.
        check: bool,
    },
    /// Show the given text.
    Show(String),
}

/// The command line is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}\nTry `dillmill --help`.")]
pub struct UsageError(String);

const SUMMARY: &str = "\
Usage: dillmill balancer --config FILE [--check]
       dillmill agent --config FILE [--check]

`balancer` routes packets of callers to agents; `agent` runs the requests of one
service on the target beside it. SIGTERM or SIGINT stops a process as planned; a
second one ends it at once.

Exit codes: 0 done, 1 failed, 2 wrong command line or settings file.";

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("c", "config", "the settings file of this process", "FILE");
    opts.optflag("", "check", "only check the settings file");
    opts.optflag("h", "help", "show this help");
    opts.optflag("V", "version", "show the version");
    opts
}

/// Reads a command line without the program's name.
///
/// # Errors
///
/// Says what is wrong with it.
pub fn parse(args: &[String]) -> Result<Command, UsageError> {
    let opts = options();
    let matches = opts.parse(args).map_err(|e| UsageError(e.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Command::Show(opts.usage(SUMMARY)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Show(format!("dillmill {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let role = match matches.free.as_slice() {
        [] => return Err(UsageError("name a role: balancer or agent".to_owned())),
        [role] if role == "balancer" => RoleCommand::Balancer,
        [role] if role == "agent" => RoleCommand::Agent,
        [other, ..] => return Err(UsageError(format!("`{other}` is no role"))),
    };
    let config = matches
        .opt_str("config")
        .ok_or_else(|| UsageError("--config FILE is missing".to_owned()))?;
    Ok(Command::Run { role, config: config.into(), check: matches.opt_present("check") })
}
