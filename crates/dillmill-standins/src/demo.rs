//! Demonstrates dillmill on loopback with three balancers and two services of two targets each.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::caller::Call;
use crate::{Cluster, ClusterSpec, StandinError};

const REQUESTS: usize = 40;
const TICKS: u64 = 20;

#[derive(Default)]
struct Tally {
    asked: usize,
    whole: usize,
    wrong_service: usize,
    by_target: BTreeMap<String, usize>,
}

/// Runs the demonstration and prints its results.
///
/// # Errors
///
/// Fails when a response is missing or comes from the wrong service, or a process fails.
pub async fn run() -> Result<(), StandinError> {
    println!("starting: platform, fabric, 3 balancers, 2 services with 2 targets and agents each");
    let cluster = Box::pin(Cluster::start(ClusterSpec::default())).await?;
    let mut good = true;
    for service in ["cotiza", "cuadre"] {
        let tally = Box::pin(ask(&cluster, service)).await?;
        println!(
            "{service}: {} requests, {} complete responses, {} from the wrong service; by target {:?}",
            tally.asked, tally.whole, tally.wrong_service, tally.by_target,
        );
        good &= tally.asked == tally.whole && tally.wrong_service == 0;
    }
    println!("feed of cotiza: {} of {TICKS} ticks", Box::pin(feed(&cluster)).await?);
    let packets = shares(&cluster).await?;
    println!("packets by balancer: {packets:?}");
    print!("{}", cluster.ctl(&["status"])?.out);
    if good {
        Ok(())
    } else {
        Err(StandinError::new("demo", "a response was missing or came from the wrong service"))
    }
}

async fn ask(cluster: &Cluster, service: &str) -> Result<Tally, StandinError> {
    let mut tally = Tally::default();
    for i in 0..REQUESTS {
        let mut caller = cluster.caller(service).await?;
        let call = Call::new(format!("/run?ms=2&service={service}"), "token-tellers")
            .key(format!("{service}-{i}"));
        tally.asked += 1;
        let answer = caller.call(&call).await?;
        tally.whole += usize::from(answer.status == 200);
        tally.wrong_service += usize::from(answer.field("service") != Some(service));
        if let Some(target) = answer.field("target") {
            *tally.by_target.entry(target.to_owned()).or_default() += 1;
        }
    }
    Ok(tally)
}

async fn feed(cluster: &Cluster) -> Result<u64, StandinError> {
    let mut caller = cluster.caller("cotiza").await?;
    let path = format!("/feed?every_ms=20&count={TICKS}");
    let mut feed = caller.feed(&Call::new(path, "token-screens")).await?;
    let mut ticks = 0;
    while feed.next().await?.is_some() {
        ticks += 1;
    }
    Ok(ticks)
}

async fn shares(cluster: &Cluster) -> Result<BTreeMap<String, i64>, StandinError> {
    compio::time::sleep(Duration::from_millis(50)).await;
    let mut shares = BTreeMap::new();
    for name in ["b1", "b2", "b3"] {
        shares.insert(name.to_owned(), cluster.metric(name, "dillmill_forwarded").await?);
    }
    Ok(shares)
}
