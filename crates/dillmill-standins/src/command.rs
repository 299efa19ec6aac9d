//! The command line of the stand-ins.

use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::target::TargetRules;
use crate::{StandinError, demo, fabric, platform, target};

const SUMMARY: &str = "\
Usage: dillmill-standins demo
       dillmill-standins platform --listen ADDR
       dillmill-standins fabric --listen ADDR --service ADDR... [--seed N]
       dillmill-standins target --listen ADDR --service NAME --name NAME [--slots N]

`demo` runs everything on loopback, asks some requests and reports.";

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
