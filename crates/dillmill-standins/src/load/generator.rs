use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::MEAN_SERVICE_MS;
use super::direct::DirectCaller;
use super::measurements::MeasurementsByGroup;
use crate::Caller;
use crate::caller::Call;
use crate::traffic::{RequestOutcome, call_on_flow};

const FLOWS_PER_GROUP: usize = 24;
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Sends requests of one group at random times over a fixed set of flows.
pub(super) struct LoadGenerator {
    pub(super) service: String,
    pub(super) group: String,
    pub(super) address: SocketAddr,
    pub(super) certificate: String,
    pub(super) rate: f64,
    pub(super) seed: u64,
    pub(super) span: Duration,
    pub(super) measurements: MeasurementsByGroup,
    pub(super) direct: Option<DirectCaller>,
}

impl LoadGenerator {
    /// Sends requests until the span is over, then waits for the outstanding responses.
    pub(super) async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut flows: Vec<Option<Caller>> = Vec::new();
        for _ in 0..FLOWS_PER_GROUP {
            flows.push(Caller::connect(self.address, &self.certificate).await.ok());
        }
        let flows: Vec<Rc<RefCell<Option<Caller>>>> =
            flows.into_iter().map(|f| Rc::new(RefCell::new(f))).collect();
        let started = Instant::now();
        let mut next = Duration::ZERO;
        let mut n = 0_u64;
        let mut tasks = Vec::new();
        while next < self.span {
            compio::time::sleep_until(started + next).await;
            let flow = flows[rng.random_range(0..flows.len())].clone();
            let ms = exponential(&mut rng, MEAN_SERVICE_MS);
            let key = format!("{}-{}-{n}", self.service, self.group);
            tasks.push(compio::runtime::spawn(self.send_request(flow, key, ms)));
            n += 1;
            next += Duration::from_secs_f64(exponential(&mut rng, 1.0 / self.rate));
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    fn send_request(
        &self,
        flow: Rc<RefCell<Option<Caller>>>,
        key: String,
        ms: f64,
    ) -> impl Future<Output = ()> + use<> {
        let ms = Duration::from_secs_f64(ms / 1000.0);
        let path = format!("/run?service={}&ms={}", self.service, ms.as_millis());
        let call = Call::new(path, format!("token-{}", self.group)).key(key);
        let (service, group) = (self.service.clone(), self.group.clone());
        let (address, certificate) = (self.address, self.certificate.clone());
        let measurements = self.measurements.clone();
        let direct = self.direct.clone();
        async move {
            let started = Instant::now();
            let work = async {
                if let Some(direct) = &direct {
                    return Some(direct.ask(&call).await);
                }
                loop {
                    let open_flow = flow.borrow().as_ref().map(Caller::share);
                    let mut caller = match open_flow {
                        Some(caller) => caller,
                        None => Caller::connect(address, &certificate).await.ok()?,
                    };
                    match call_on_flow(&mut caller, &service, &call).await {
                        Some(request_outcome) => {
                            let broken = request_outcome == RequestOutcome::Broken;
                            *flow.borrow_mut() = (!broken).then_some(caller);
                            return Some(request_outcome);
                        }
                        None => *flow.borrow_mut() = None,
                    }
                }
            };
            let request_outcome = compio::time::timeout(CALL_TIMEOUT, work).await.ok().flatten();
            let wait = started
                .elapsed()
                .saturating_sub(Duration::from_millis(u64::try_from(ms.as_millis()).unwrap_or(0)));
            measurements.record(group, request_outcome.unwrap_or(RequestOutcome::Broken), wait);
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}
