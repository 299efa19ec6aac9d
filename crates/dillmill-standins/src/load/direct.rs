use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use super::FABRIC_DELAY;
use crate::caller::Call;
use crate::traffic::RequestOutcome;
use crate::{Cluster, StandinError};

/// A caller that sends requests to the targets directly, without dillmill.
#[derive(Debug, Clone)]
pub(super) struct DirectCaller {
    client: cyper::Client,
    targets: Vec<SocketAddr>,
    next: Rc<Cell<usize>>,
}

impl DirectCaller {
    /// Creates a caller of the targets of `service`.
    pub(super) fn new(cluster: &Cluster, service: &str) -> Result<Self, StandinError> {
        let names = cluster.target_names().into_iter().filter(|t| t.starts_with(service));
        let targets = names.map(|name| cluster.target(&name)).collect::<Result<Vec<_>, _>>()?;
        let client = cyper::Client::new().map_err(StandinError::at("create an HTTP client"))?;
        Ok(Self { client, targets, next: Rc::default() })
    }

    /// Sends a request to the next target, after the delay that the fabric adds in other runs.
    pub(super) async fn ask(&self, call: &Call) -> RequestOutcome {
        let turn = self.next.get();
        self.next.set(turn + 1);
        compio::time::sleep(2 * FABRIC_DELAY).await;
        let url = format!("http://{}{}", self.targets[turn % self.targets.len()], call.path);
        let answer = async {
            let response = self.client.get(url)?.send().await?;
            let status = response.status().as_u16();
            response.bytes().await.map(|_| status)
        };
        match answer.await {
            Ok(200) => RequestOutcome::Whole,
            Ok(503) => RequestOutcome::NotRun,
            Ok(status) => RequestOutcome::Refused(status),
            Err(_) => RequestOutcome::Broken,
        }
    }
}
