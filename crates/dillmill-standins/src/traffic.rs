//! Makes requests and follows feeds in the background, and records their outcomes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::caller::{Call, CallError};
use crate::{Caller, Cluster, StandinError};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const REQUESTS_PER_FLOW: u64 = 4;

/// Outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response of the right service.
    Whole,
    /// A response that the request was not run.
    NotRun,
    /// A response that it is unknown whether the request ran.
    Unknown,
    /// A response of another service.
    WrongService,
    /// A refusal with another status.
    Refused(u16),
    /// No response, or an incomplete one.
    Broken,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Complete responses of the right service.
    pub whole: usize,
    /// Responses that the request was not run.
    pub not_run: usize,
    /// Responses that it is unknown whether the request ran.
    pub unknown: usize,
    /// Responses of another service.
    pub wrong_service: usize,
    /// Other refusals, by status.
    pub refused: BTreeMap<u16, usize>,
    /// Missing or incomplete responses.
    pub broken: usize,
}

impl OutcomeCounts {
    /// Counts one more request with this outcome.
    pub fn add(&mut self, request_outcome: RequestOutcome) {
        match request_outcome {
            RequestOutcome::Whole => self.whole += 1,
            RequestOutcome::NotRun => self.not_run += 1,
            RequestOutcome::Unknown => self.unknown += 1,
            RequestOutcome::WrongService => self.wrong_service += 1,
            RequestOutcome::Refused(status) => *self.refused.entry(status).or_default() += 1,
            RequestOutcome::Broken => self.broken += 1,
        }
    }
}

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} whole", self.whole)?;
        let rest = [
            (self.not_run, "not run"),
            (self.unknown, "unknown"),
            (self.wrong_service, "of the wrong service"),
            (self.broken, "broken"),
        ];
        for (n, what) in rest {
            if n > 0 {
                write!(f, ", {n} {what}")?;
            }
        }
        for (status, n) in &self.refused {
            write!(f, ", {n} refused with {status}")?;
        }
        writeln!(f)
    }
}

/// Makes a call on a new flow, and again on another one each time the flow does not process it.
pub async fn call_on_new_flow(
    service: SocketAddr,
    certificate: &str,
    name: &str,
    call: &Call,
) -> RequestOutcome {
    let work = async {
        loop {
            let mut caller = Caller::connect(service, certificate).await.ok()?;
            if let Some(request_outcome) = call_on_flow(&mut caller, name, call).await {
                return Some(request_outcome);
            }
        }
    };
    compio::time::timeout(CALL_TIMEOUT, work).await.ok().flatten().unwrap_or(RequestOutcome::Broken)
}

/// Makes a call on an open flow; `None` if the flow did not process it and the caller has to use another.
pub async fn call_on_flow(caller: &mut Caller, name: &str, call: &Call) -> Option<RequestOutcome> {
    let answer = match caller.call(call).await {
        Ok(answer) => answer,
        Err(CallError::NotProcessed) => return None,
        Err(CallError::Broken(e)) => {
            // The test harness shows this output for tests that fail.
            eprintln!("call to {name} ended without a complete response: {e}");
            return Some(RequestOutcome::Broken);
        }
    };
    if answer.status != 200 {
        // Shown for tests that fail, as the output above.
        eprintln!("call of {} to {name} refused: {answer:?}", call.path);
    }
    Some(match (answer.status, answer.outcome.as_deref()) {
        (200, _) if answer.field("service") == Some(name) => RequestOutcome::Whole,
        (200, _) => RequestOutcome::WrongService,
        (_, Some("not-run")) => RequestOutcome::NotRun,
        (_, Some("unknown")) => RequestOutcome::Unknown,
        (status, _) => RequestOutcome::Refused(status),
    })
}

/// Progress of a long feed.
#[derive(Debug, Default)]
pub struct FeedLog {
    /// Number of ticks received in order.
    pub ticks: u64,
    /// Why the feed ended, if it did.
    pub ended: Option<String>,
    /// Tells the background task to close the caller's flow.
    pub close: bool,
}

/// Opens a feed and follows it in the background.
///
/// # Errors
///
/// Fails when the feed can't be opened.
pub async fn feed(
    cluster: &Cluster,
    service: &str,
    token: &str,
) -> Result<Rc<RefCell<FeedLog>>, StandinError> {
    let mut caller = cluster.caller(service).await?;
    let path = format!("/feed?service={service}&every_ms=20&count=1000000");
    let mut feed = caller.feed(&Call::new(path, token)).await?;
    let log = Rc::new(RefCell::new(FeedLog::default()));
    let follow = {
        let (log, service) = (log.clone(), format!("service={service}"));
        async move {
            let _flow = caller;
            loop {
                let next = feed.next().await;
                let mut log = log.borrow_mut();
                let ended = match next {
                    Ok(Some(line)) => {
                        let right = line.starts_with(&format!("tick={} ", log.ticks))
                            && line.contains(&service);
                        log.ticks += 1;
                        (!right).then(|| format!("unexpected line {line}"))
                    }
                    Ok(None) => Some("end of feed".to_owned()),
                    Err(e) => Some(e.to_string()),
                };
                if ended.is_some() || log.close {
                    log.ended = ended;
                    return;
                }
            }
        }
    };
    compio::runtime::spawn(follow).detach();
    Ok(log)
}

/// Returns how often requests with a key ran at all targets of a service together.
///
/// # Errors
///
/// Fails when a target does not answer.
pub async fn key_runs(cluster: &Cluster, service: &str, key: &str) -> Result<u64, StandinError> {
    let mut runs = 0;
    for target in cluster.target_names() {
        if target.starts_with(service) {
            runs += cluster.target_counts(&target).await?.keys.get(key).copied().unwrap_or(0);
        }
    }
    Ok(runs)
}

/// Background requests with idempotency keys, and their outcomes.
#[derive(Debug, Default)]
pub struct Traffic {
    service: String,
    outcomes: BTreeMap<String, RequestOutcome>,
    stop: bool,
    running: usize,
}

/// Starts requests with idempotency keys at a steady rate, several on each flow.
///
/// # Errors
///
/// Fails when there is no such service.
pub fn traffic(
    cluster: &Cluster,
    service: &str,
    every: Duration,
    ms: u64,
) -> Result<Rc<RefCell<Traffic>>, StandinError> {
    let address = cluster.service_address(service)?;
    let certificate = cluster.certificate().to_owned();
    let log = Traffic { service: service.to_owned(), ..Traffic::default() };
    let log = Rc::new(RefCell::new(log));
    let name = service.to_owned();
    let source = log.clone();
    compio::runtime::spawn(async move {
        for n in 0_u64.. {
            if source.borrow().stop {
                return;
            }
            source.borrow_mut().running += 1;
            let one = run_flow(source.clone(), address, certificate.clone(), name.clone(), n, ms);
            compio::runtime::spawn(one).detach();
            compio::time::sleep(every * u32::try_from(REQUESTS_PER_FLOW).unwrap_or(1)).await;
        }
    })
    .detach();
    Ok(log)
}

async fn run_flow(
    log: Rc<RefCell<Traffic>>,
    address: SocketAddr,
    certificate: String,
    service: String,
    n: u64,
    ms: u64,
) {
    let mut caller = None;
    for i in 0..REQUESTS_PER_FLOW {
        let key = format!("{service}-{n}-{i}");
        let path = format!("/run?service={service}&ms={ms}");
        let call = Call::new(path, "token-tellers").key(key.clone());
        let work = async {
            loop {
                if caller.is_none() {
                    let opened = Caller::connect(address, &certificate).await;
                    let opened = opened.inspect_err(|e| eprintln!("failed to open a flow: {e}"));
                    caller = Some(opened.ok()?);
                }
                match call_on_flow(caller.as_mut()?, &service, &call).await {
                    Some(request_outcome) => return Some(request_outcome),
                    None => caller = None,
                }
            }
        };
        let request_outcome = compio::time::timeout(CALL_TIMEOUT, work).await.ok().flatten();
        log.borrow_mut().outcomes.insert(key, request_outcome.unwrap_or(RequestOutcome::Broken));
    }
    log.borrow_mut().running -= 1;
}

impl Traffic {
    /// Stops the traffic, waits for the requests in progress, and checks their outcomes against the
    /// runs that the targets have counted.
    ///
    /// # Errors
    ///
    /// Fails when a target does not answer.
    pub async fn end(
        log: &Rc<RefCell<Self>>,
        cluster: &Cluster,
        some_refused: bool,
    ) -> Result<String, StandinError> {
        log.borrow_mut().stop = true;
        while log.borrow().running > 0 {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let service = log.borrow().service.clone();
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for target in cluster.target_names().iter().filter(|t| t.starts_with(&service)) {
            for (key, n) in cluster.target_counts(target).await?.keys {
                *runs.entry(key).or_default() += n;
            }
        }
        let log = log.borrow();
        let mut sum = OutcomeCounts::default();
        let (mut doubled, mut false_answers) = (0, 0);
        for (key, request_outcome) in &log.outcomes {
            sum.add(*request_outcome);
            let ran = runs.get(key).copied().unwrap_or(0);
            doubled += u32::from(ran > 1);
            let is_false = match request_outcome {
                RequestOutcome::Whole => ran == 0,
                RequestOutcome::NotRun => ran > 0,
                _ => false,
            };
            false_answers += u32::from(is_false);
        }
        let moved = if sum.whole > 0 { "some" } else { "none" };
        let refused = if some_refused {
            String::new()
        } else {
            format!(
                ", {} broken, {} not run, {} unknown, {} refused",
                sum.broken,
                sum.not_run,
                sum.unknown,
                sum.refused.len(),
            )
        };
        Ok(format!(
            "{moved} whole, {} of the wrong service{refused}; \
             {doubled} doubled, {false_answers} false answers\n",
            sum.wrong_service,
        ))
    }
}
