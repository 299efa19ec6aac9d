//! Parsing of the `dillmill` command line.

use std::path::PathBuf;

use getopts::{Matches, Options};

/// Role of a process, as named on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleCommand {
    /// Routes the packets of callers to agents.
    Balancer,
    /// Runs requests on the target beside it.
    Agent,
}

/// Source of the settings of a process; it also determines whether the process serves HTTP/3 or packet
/// flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsSource {
    /// A settings file in dillmill's own format; the process serves HTTP/3 services.
    File(PathBuf),
    /// The users' platform; the process carries packet flows.
    Platform {
        /// Port of the administration page on the VM's address; `None` for any free port on loopback.
        metrics_port: Option<u16>,
    },
}

/// A parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run a process.
    Run {
        /// Role of the process.
        role: RoleCommand,
        /// Source of its settings.
        source: SettingsSource,
        /// Check the settings file and exit.
        check: bool,
    },
    /// Print the given text and exit.
    Show(String),
}

/// The command line is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}\nTry `dillmill --help`.")]
pub struct UsageError(String);

const SUMMARY: &str = "\
Usage: dillmill balancer --config FILE [--check]
       dillmill agent --config FILE [--check]
       dillmill balancer --platform [--metrics-port PORT] [--check]
       dillmill agent --platform [--metrics-port PORT] [--check]

`balancer` routes packets of callers to agents; `agent` runs the requests of one
service on the target beside it. With --config it serves HTTP/3 under a settings
file of its own; with --platform it carries packet flows under the settings that
the users' platform gives it. SIGTERM or SIGINT stops a process as planned; a
second one ends it at once.

Exit codes: 0 done, 1 failed, 2 wrong command line or settings file.";

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("c", "config", "the settings file of this process", "FILE");
    opts.optflag("", "platform", "take the settings from the users' platform");
    opts.optopt("", "metrics-port", "port of the administration page", "PORT");
    opts.optflag("", "check", "only check the settings file");
    opts.optflag("h", "help", "show this help");
    opts.optflag("V", "version", "show the version");
    opts
}

/// Parses a command line; `args` does not include the program's name.
///
/// # Errors
///
/// Returns what is invalid in the command line.
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
        [other, ..] => return Err(UsageError(format!("unknown role `{other}`"))),
    };
    Ok(Command::Run { role, source: source(&matches)?, check: matches.opt_present("check") })
}

fn source(matches: &Matches) -> Result<SettingsSource, UsageError> {
    let metrics_port = matches.opt_str("metrics-port");
    match (matches.opt_str("config"), matches.opt_present("platform")) {
        (Some(_), true) => Err(UsageError("--config and --platform exclude each other".to_owned())),
        (None, false) => Err(UsageError("--config FILE is missing (or --platform)".to_owned())),
        (Some(_), false) if metrics_port.is_some() => Err(UsageError(
            "--metrics-port goes with --platform; a settings file has `admin`".to_owned(),
        )),
        (Some(path), false) => Ok(SettingsSource::File(path.into())),
        (None, true) => {
            let wrong =
                |text: &str| UsageError(format!("--metrics-port {text} is not a port number"));
            let port = metrics_port.map(|text| text.parse().map_err(|_| wrong(&text)));
            Ok(SettingsSource::Platform { metrics_port: port.transpose()? })
        }
    }
}
