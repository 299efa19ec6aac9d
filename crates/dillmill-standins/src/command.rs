//! The command line of the stand-ins.

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

`demo` runs everything on loopback, asks some requests and reports. `load` runs a
deployment of the users under open-loop load and prints one JSON result; `report`
makes a table of several. `packets` measures a balancer against `forwarder`,
`slopes` the decisions at the size to come, `waiting` the order of
waiting packets in virtual time, `idle` what control
alone costs, `flows` what open flows cost. `soak` runs packet flows on real processes
under faults drawn from each seed, and fails when a promise is broken.";

/// Runs a command line without the program's name.
///
/// # Errors
///
/// Fails on a wrong command line and when what it runs fails.
pub async fn run(args: &[String]) -> Result<(), StandinError> {
    let mut opts = Options::new();
    opts.optopt("", "listen", "address to serve", "ADDR");
    opts.optmulti("", "service", "service address or name", "ADDR|NAME");
    opts.optopt("", "name", "name of the target", "NAME");
    opts.optopt("", "slots", "slots of the target", "N");
    opts.optopt("", "cold-ms", "time during which a target is cold", "N");
    opts.optopt("", "seed", "seed of random choices", "N");
    opts.optopt("", "seeds", "number of seeds, counted from --seed", "N");
    opts.optopt("", "balancers", "balancers", "N");
    opts.optopt("", "flows", "flows", "N");
    opts.optopt("", "targets", "targets", "N");
    opts.optopt("", "changes", "changes of settings meanwhile", "N");
    opts.optopt("", "to", "where a forwarder sends", "ADDR");
    opts.optopt("", "deployment", "kiosks or ristebud", "NAME");
    opts.optopt("", "placement", "placement of requests", "POLICY");
    opts.optopt("", "load", "load as a share of the slots", "SHARE");
    opts.optopt("", "flood", "share of the load of the first group", "SHARE");
    opts.optopt("", "seconds", "length of a run", "N");
    opts.optopt("", "feeds", "long feeds", "N");
    opts.optflag("", "kill-balancer", "kill a balancer in the middle");
    opts.optflag("", "stop-agent", "stop an agent as planned in the middle");
    opts.optflag("", "straight", "ask the targets past dillmill: the baseline");
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
        other => Err(StandinError::new("read command line", format!("no command {other:?}"))),
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
