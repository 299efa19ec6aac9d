//! Parsing of the `dillmillctl` command line, and its help texts.

use std::path::PathBuf;
use std::time::Duration;

use dillmill_core::{GroupName, Interval, Revision, ServiceName};
use dillmill_settings::NodePath;
use getopts::{Matches, Options};

use crate::error::CtlError;
use crate::logs::LogSource;
use crate::verbs::Subject;

/// A verb of the command line with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verb {
    Check { path: NodePath, file: PathBuf },
    Get { path: Option<NodePath> },
    Set { path: NodePath, file: PathBuf, seen: Option<Revision> },
    Edit { path: NodePath, values: Vec<(String, String)>, seen: Option<Revision> },
    Delete { path: NodePath, seen: Option<Revision> },
    Diff { from: Revision, to: Option<Revision> },
    Effective { service: ServiceName, group: Option<GroupName> },
    History,
    Status { wait: Option<Duration> },
    Load { service: ServiceName },
    Timeline { kind: Option<String> },
    Explain { subject: Subject, logs: LogSource },
}

/// A verb with the options common to all verbs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Invocation {
    pub(crate) verb: Verb,
    pub(crate) config: PathBuf,
    pub(crate) json: bool,
}

/// Result of parsing a command line: a command to run, or a text to print.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Parsed {
    Run(Invocation),
    Show(String),
}

const SUMMARY: &str = "\
Usage: dillmillctl VERB [ARGUMENTS] [--config FILE] [--json]

  check PATH FILE            check an edit against the whole tree; writes nothing
  get [PATH]                 show a node, or list all nodes
  set PATH FILE              replace a node
  edit PATH KEY=VALUE...     change single values of a node, such as limits.weight=20
  delete PATH                delete a node
  diff REVISION [REVISION]   show what changed between two revisions
  effective SERVICE [GROUP]  show the values in force and where each comes from
  history                    list all changes
  status                     show the revision in force at every process
  load SERVICE               show the load of a service's agents
  timeline                   show the events of all processes in order
  explain FLOW --logs PATH   show a flow's path and end from the processes' logs
  explain FROM..TO --logs PATH
                             show how the flows of a span of time ended

PATH is root, services/S, groups/G or groups/G/S; FILE may be - for standard input.
`dillmillctl VERB --help` tells more.

Exit codes: 0 done, 1 platform or process unreachable, 2 wrong command line or file,
3 edit refused, 4 someone else was faster, 5 not in force everywhere yet.";

fn verb_help(verb: &str) -> Option<&'static str> {
    Some(match verb {
        "check" => {
            "Usage: dillmillctl check PATH FILE\n\nReads the newest tree, puts FILE in the place of PATH and checks the whole tree.\nErrors name node, line and key. Nothing is written."
        }
        "get" => {
            "Usage: dillmillctl get [PATH]\n\nShows the node's YAML and, on standard error, its revision: give it to\n`set --seen` to be refused if someone else changes the node meanwhile."
        }
        "set" => {
            "Usage: dillmillctl set PATH FILE [--seen REVISION]\n\nReplaces the node. With --seen the edit is refused when the node was changed after\nthat revision (0: the node must not exist yet). A lost answer is settled by reading\nthe write's own number back."
        }
        "edit" => {
            "Usage: dillmillctl edit PATH KEY=VALUE... [--seen REVISION]\n\nChanges single values; KEY is a path of keys joined by dots, VALUE is YAML, an\nempty VALUE takes the key away so that it is inherited. Comments are lost."
        }
        "delete" => {
            "Usage: dillmillctl delete PATH [--seen REVISION]\n\nDeletes the node. Refused if the tree would then be wrong, such as a service that\nstill has leaves."
        }
        "diff" => {
            "Usage: dillmillctl diff REVISION [REVISION]\n\nShows what changed from the first revision to the second (default: the newest)."
        }
        "effective" => {
            "Usage: dillmillctl effective SERVICE [GROUP]\n\nShows how SERVICE is operated, and the limits of GROUP on it, each with the node\nthat gives it."
        }
        "history" => "Usage: dillmillctl history\n\nLists all changes: revision, author, node.",
        "status" => {
            "Usage: dillmillctl status [--wait TIME]\n\nAsks every process for its revision. Exits with 5 while one is behind; with --wait\nit asks again until all have the newest revision or TIME (such as 15s) is over."
        }
        "load" => {
            "Usage: dillmillctl load SERVICE\n\nAsks every agent of SERVICE for its slots (0: takes no new work), the requests at its\ntarget, what waits by priority, the target's service time, open flows and their demand\nin thousandths of a slot, and whether its data centre is evacuated. `-` stands for what\nan agent does not know. Exits with 1 if an agent does not answer."
        }
        "timeline" => {
            "Usage: dillmillctl timeline [--kind KIND]\n\nMerges the events of all processes by time. KIND is process, settings, member,\nflow, request or platform."
        }
        "explain" => {
            "Usage: dillmillctl explain FLOW --logs PATH\n       dillmillctl explain FROM..TO --logs PATH [--page FILE]\n\nReads the JSON lines of all processes from PATH: a folder, a file, or - for standard\ninput. Asks no process and needs no settings file.\n\nFLOW, such as 100.65.0.5:1216>198.18.0.1:8080, is a caller's address and port and its\nroute's: shows all decisions on the flow in order, how it ended, and what to read next.\nFROM..TO are Unix seconds, such as 1773155328.5..1773155331: shows how the flows of that\ntime ended, by reason, route and VM, and what was decided in each second; with --page\nalso as one HTML page with plots.\n\nWhat the logs don't show is said: lines left out or not readable, processes without a\nstart, clocks that went back."
        }
        _ => return None,
    })
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("c", "config", "settings file (default dillmillctl.yaml)", "FILE");
    opts.optopt("", "seen", "revision of the node that you saw", "REVISION");
    opts.optopt("", "wait", "longest time to wait", "TIME");
    opts.optopt("", "logs", "logs of all processes: a folder, a file, or -", "PATH");
    opts.optopt("", "page", "also write the report with plots, as HTML", "FILE");
    opts.optopt("", "kind", "only events of this kind", "KIND");
    opts.optflag("", "json", "print JSON");
    opts.optflag("h", "help", "show help");
    opts.optflag("V", "version", "show the version");
    opts
}

fn usage_error(e: impl std::fmt::Display) -> CtlError {
    CtlError::Usage(e.to_string())
}

pub(crate) fn parse(args: &[String]) -> Result<Parsed, CtlError> {
    let opts = options();
    let matches = opts.parse(args).map_err(usage_error)?;
    let verb = matches.free.first().map(String::as_str);
    if matches.opt_present("help") {
        let text = verb
            .and_then(verb_help)
            .map_or_else(|| opts.usage(SUMMARY), |help| format!("{help}\n"));
        return Ok(Parsed::Show(text));
    }
    if matches.opt_present("version") {
        return Ok(Parsed::Show(format!("dillmillctl {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let verb = verb.ok_or_else(|| usage_error("name a verb"))?;
    let rest: Vec<&str> = matches.free[1..].iter().map(String::as_str).collect();
    let verb = parse_verb(verb, &rest, &matches)?;
    let config = matches.opt_str("config").unwrap_or_else(|| "dillmillctl.yaml".to_owned());
    Ok(Parsed::Run(Invocation { verb, config: config.into(), json: matches.opt_present("json") }))
}

fn parse_verb(verb: &str, rest: &[&str], matches: &Matches) -> Result<Verb, CtlError> {
    let seen = || matches.opt_str("seen").map(|s| s.parse().map_err(usage_error)).transpose();
    let node = |text: &str| text.parse::<NodePath>().map_err(usage_error);
    match (verb, rest) {
        ("check", [path, file]) => Ok(Verb::Check { path: node(path)?, file: file.into() }),
        ("get", []) => Ok(Verb::Get { path: None }),
        ("get", [path]) => Ok(Verb::Get { path: Some(node(path)?) }),
        ("set", [path, file]) => {
            Ok(Verb::Set { path: node(path)?, file: file.into(), seen: seen()? })
        }
        ("edit", [path, values @ ..]) if !values.is_empty() => {
            let values = values.iter().map(|value| parse_value(value)).collect::<Result<_, _>>()?;
            Ok(Verb::Edit { path: node(path)?, values, seen: seen()? })
        }
        ("delete", [path]) => Ok(Verb::Delete { path: node(path)?, seen: seen()? }),
        ("diff", [from]) => Ok(Verb::Diff { from: from.parse().map_err(usage_error)?, to: None }),
        ("diff", [from, to]) => Ok(Verb::Diff {
            from: from.parse().map_err(usage_error)?,
            to: Some(to.parse().map_err(usage_error)?),
        }),
        ("effective", [service]) => {
            Ok(Verb::Effective { service: service.parse().map_err(usage_error)?, group: None })
        }
        ("effective", [service, group]) => Ok(Verb::Effective {
            service: service.parse().map_err(usage_error)?,
            group: Some(group.parse().map_err(usage_error)?),
        }),
        ("history", []) => Ok(Verb::History),
        ("status", []) => Ok(Verb::Status { wait: wait(matches)? }),
        ("load", [service]) => Ok(Verb::Load { service: service.parse().map_err(usage_error)? }),
        ("timeline", []) => Ok(Verb::Timeline { kind: matches.opt_str("kind") }),
        ("explain", [subject]) => {
            Ok(Verb::Explain { subject: parse_subject(subject, matches)?, logs: logs(matches)? })
        }
        _ if verb_help(verb).is_some() => Err(usage_error(format!(
            "wrong arguments for `{verb}`; see `dillmillctl {verb} --help`"
        ))),
        _ => Err(usage_error(format!("`{verb}` is no verb"))),
    }
}

fn wait(matches: &Matches) -> Result<Option<Duration>, CtlError> {
    let wait = matches.opt_str("wait").map(|text| text.parse::<Interval>().map_err(usage_error));
    Ok(wait.transpose()?.map(Interval::duration))
}

fn parse_subject(text: &str, matches: &Matches) -> Result<Subject, CtlError> {
    let page = matches.opt_str("page").map(PathBuf::from);
    if text.contains("..") {
        return Ok(Subject::Span(text.parse().map_err(usage_error)?, page));
    }
    if page.is_some() {
        return Err(usage_error("--page goes with FROM..TO only"));
    }
    text.parse().map(Subject::Flow).map_err(usage_error)
}

fn logs(matches: &Matches) -> Result<LogSource, CtlError> {
    let path =
        matches.opt_str("logs").ok_or_else(|| usage_error("say with --logs where the logs are"))?;
    path.parse().map_err(usage_error)
}

fn parse_value(text: &str) -> Result<(String, String), CtlError> {
    let (key, value) =
        text.split_once('=').ok_or_else(|| usage_error(format!("`{text}` is not KEY=VALUE")))?;
    Ok((key.to_owned(), value.to_owned()))
}
