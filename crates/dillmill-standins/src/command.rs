//! Parses the command line of `dillmill-standins` and runs the command that it names.

use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::load::LoadSpec;
use crate::target::TargetRules;
use crate::{
    StandinError, demo, fabric, flow_soak, forwarder, idle, load, packets, platform, report,
    slopes, target, waiting,
};

const SUMMARY: &str = "\
Usage: dillmill-standins demo
       dillmill-standins platform --listen ADDR
       dillmill-standins fabric --listen ADDR --service ADDR... [--seed N]
       dillmill-standins target --listen ADDR --service NAME --name NAME [--slots N]
       dillmill-standins forwarder --listen ADDR --to ADDR
       dillmill-standins load [--deployment kiosks|ristebud] [--placement POLICY]
               [--load SHARE] [--flood SHARE] [--seconds N] [--feeds N] [--seed N]
               [--kill-balancer] [--stop-agent] [--straight]
       dillmill-standins report FILE...
       dillmill-standins packets
       dillmill-standins idle --balancers N --targets N [--changes N]
       dillmill-standins flows [--flows N]
       dillmill-standins slopes
       dillmill-standins waiting [--seeds N]
       dillmill-standins soak [--seed N] [--seeds N] [--seconds N]

`demo` runs a cluster on loopback, sends some requests and prints the results. `load`
runs one of the users' deployments under open-loop load and prints one JSON result;
`report` prints a table of several results. `packets` compares a balancer's cost of a
packet with that of `forwarder`. `slopes` measures the cost of decisions at the planned
size of the installation, `waiting` compares orders of waiting requests in virtual time by priority,
`idle` measures the cost of the control traffic alone, `flows` the cost of open flows.
`soak` runs packet flows on real processes under random faults of each seed, and fails
when a guarantee is violated.";

/// Runs the command of a command line, which is given without the program's name.
///
/// # Errors
///
/// Fails when the command line is invalid or the command fails.
pub async fn run(args: &[String]) -> Result<(), StandinError> {
    let mut opts = Options::new();
    opts.optopt("", "listen", "address to listen on", "ADDR");
    opts.optmulti("", "service", "service address or name", "ADDR|NAME");
    opts.optopt("", "name", "name of the target", "NAME");
    opts.optopt("", "slots", "number of slots of the target", "N");
    opts.optopt("", "cold-ms", "milliseconds after its start during which a target is slow", "N");
    opts.optopt("", "seed", "seed of the random choices", "N");
    opts.optopt("", "seeds", "number of consecutive seeds, starting at --seed", "N");
    opts.optopt("", "balancers", "number of balancers", "N");
    opts.optopt("", "flows", "number of flows to open", "N");
    opts.optopt("", "targets", "number of targets", "N");
    opts.optopt("", "changes", "number of settings changes during the measurement", "N");
    opts.optopt("", "to", "address that a forwarder sends to", "ADDR");
    opts.optopt("", "deployment", "kiosks or ristebud", "NAME");
    opts.optopt("", "placement", "placement policy of requests", "POLICY");
    opts.optopt("", "load", "load as a share of the slots", "SHARE");
    opts.optopt("", "flood", "share of the load that the first group makes", "SHARE");
    opts.optopt("", "seconds", "duration of a run in seconds", "N");
    opts.optopt("", "feeds", "number of long feeds", "N");
    opts.optflag("", "kill-balancer", "kill a balancer halfway through the run");
    opts.optflag("", "stop-agent", "stop an agent gracefully halfway through the run");
    opts.optflag(
        "",
        "straight",
        "send requests to the targets directly, without dillmill, as a baseline",
    );
    opts.optflag("h", "help", "show this help");
    let matches = opts.parse(args).map_err(StandinError::at("read command line"))?;
    if matches.opt_present("help") {
        print!("{}", opts.usage(SUMMARY));
        return Ok(());
    }
    match matches.free.first().map(String::as_str) {
        Some("demo") => demo::run().await,
        Some("platform") => platform::run(listen(&matches)?).await,
        Some("fabric") => {
            let services = matches
                .opt_strs("service")
                .iter()
                .map(|text| parse("service", text))
                .collect::<Result<Vec<SocketAddr>, _>>()?;
            fabric::run(listen(&matches)?, services, number(&matches, "seed", 1)?).await
        }
        Some("target") => {
            let service = matches.opt_str("service").unwrap_or_default();
            let name = matches.opt_str("name").unwrap_or_default();
            let rules = TargetRules {
                slots: number(&matches, "slots", 5)?,
                cold_ms: number(&matches, "cold-ms", 0)?,
                ..TargetRules::default()
            };
            target::run(listen(&matches)?, service, name, rules).await
        }
        Some("forwarder") => {
            let to = matches.opt_str("to").unwrap_or_default();
            forwarder::run(listen(&matches)?, parse("to", &to)?).await
        }
        Some("load") => {
            let result = Box::pin(load::run(load_spec(&matches)?)).await?;
            let text =
                serde_json::to_string_pretty(&result).map_err(StandinError::at("write result"))?;
            println!("{text}");
            Ok(())
        }
        Some("report") => {
            print!("{}", report::table(&matches.free[1..])?);
            Ok(())
        }
        Some("packets") => Box::pin(packets::run()).await,
        Some("slopes") => slopes::run(),
        Some("waiting") => waiting::run(number(&matches, "seeds", 5)?),
        Some("flows") => Box::pin(idle::flows(number(&matches, "flows", 500)?)).await,
        Some("soak") => {
            let seed = number(&matches, "seed", 1)?;
            let seeds = number(&matches, "seeds", 1)?;
            let length = std::time::Duration::from_secs(number(&matches, "seconds", 12)?);
            Box::pin(flow_soak::run_seeds(seed..seed + seeds, length)).await
        }
        Some("idle") => {
            let balancers = number(&matches, "balancers", 4)?;
            let targets = number(&matches, "targets", 4)?;
            Box::pin(idle::run(balancers, targets, number(&matches, "changes", 0)?)).await
        }
        other => Err(StandinError::new("read command line", format!("unknown command {other:?}"))),
    }
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(
    name: &str,
    text: &str,
) -> Result<T, StandinError> {
    text.parse().map_err(StandinError::at(format!("read --{name} {text}")))
}

fn listen(matches: &Matches) -> Result<SocketAddr, StandinError> {
    let text = matches
        .opt_str("listen")
        .ok_or_else(|| StandinError::new("read command line", "--listen ADDR is missing"))?;
    parse("listen", &text)
}

fn number<T: std::str::FromStr<Err: std::fmt::Display>>(
    matches: &Matches,
    name: &str,
    default: T,
) -> Result<T, StandinError> {
    matches.opt_str(name).map_or(Ok(default), |text| parse(name, &text))
}

fn load_spec(matches: &Matches) -> Result<LoadSpec, StandinError> {
    let text = |name: &str, default: &str| matches.opt_str(name).unwrap_or(default.to_owned());
    Ok(LoadSpec {
        deployment: text("deployment", "kiosks"),
        placement: text("placement", "local-first"),
        load: number(matches, "load", 0.5)?,
        flood: number(matches, "flood", 1.0 / 3.0)?,
        seconds: number(matches, "seconds", 10)?,
        feeds: number(matches, "feeds", 10)?,
        seed: number(matches, "seed", 1)?,
        kill_balancer: matches.opt_present("kill-balancer"),
        stop_agent: matches.opt_present("stop-agent"),
        direct: matches.opt_present("straight"),
    })
}
