//! Calls to the platform.

use std::time::Duration;

use cyper::{Client, Response};
use error_stack::{Report, ResultExt};
use http::StatusCode;

use crate::{CasOutcome, Entry, PlatformError, Version};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    base: String,
    client: Client,
}

type Result<T> = std::result::Result<T, Report<PlatformError>>;

impl Platform {
    /// Creates a client of the platform at `base`, such as `http://10.0.0.1:8000`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be made.
    pub fn new(base: impl Into<String>) -> Result<Self> {
        let base = base.into();
        let client = Client::new().map_err(|e| PlatformError {
            step: "make a client",
            peer: base.clone(),
            what: e.to_string(),
        })?;
        Ok(Self { base, client })
    }

    /// Returns the platform's address.
    #[must_use]
    pub fn base(&self) -> &str {
        &self.base
    }

    fn error(&self, step: &'static str, what: impl std::fmt::Display) -> PlatformError {
        PlatformError { step, peer: self.base.clone(), what: what.to_string() }
    }

    /// Returns the entry of `key`.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached, is slow or refuses.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let url = format!("{}/v1/kv/{key}", self.base);
        let call = async {
            let req = self.client.get(url).map_err(|e| self.error("read", e))?;
            let res = req.send().await.map_err(|e| self.error("read", e))?;
            self.entry("read", res).await
        };
        self.bounded("read", CALL_TIMEOUT, call).await
    }

    /// Writes `value` if the entry has version `expect`.
    ///
    /// # Errors
    ///
    /// As [`Platform::get`]; the write may or may not have taken effect.
    pub async fn put(&self, key: &str, value: &str, expect: Version) -> Result<CasOutcome> {
        let url = format!("{}/v1/kv/{key}?expect={expect}", self.base);
        let call = async {
            let req = self.client.put(url).map_err(|e| self.error("write", e))?;
            let res =
                req.body(value.to_owned()).send().await.map_err(|e| self.error("write", e))?;
            match res.status() {
                StatusCode::CONFLICT => {
                    let there: Option<Entry> =
                        res.json().await.map_err(|e| self.error("write", e))?;
                    Ok(CasOutcome::Conflict(there))
                }
                StatusCode::OK => {
                    let version = res.json().await.map_err(|e| self.error("write", e))?;
                    Ok(CasOutcome::Written(version))
                }
                status => Err(self.error("write", status)),
            }
        };
        self.bounded("write", CALL_TIMEOUT, call).await
    }

    /// Waits up to `wait` until the version of `key` is above `after`.
    ///
    /// # Errors
    ///
    /// As [`Platform::get`].
    pub async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        let url =
            format!("{}/v1/watch/{key}?after={after}&wait_ms={}", self.base, wait.as_millis());
        let call = async {
            let req = self.client.get(url).map_err(|e| self.error("watch", e))?;
            let res = req.send().await.map_err(|e| self.error("watch", e))?;
            self.entry("watch", res).await
        };
        self.bounded("watch", wait + CALL_TIMEOUT, call).await
    }

    async fn entry(
        &self,
        step: &'static str,
        res: Response,
    ) -> std::result::Result<Option<Entry>, PlatformError> {
        match res.status() {
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => res.json().await.map(Some).map_err(|e| self.error(step, e)),
            status => Err(self.error(step, status)),
        }
    }

    async fn bounded<T>(
        &self,
        step: &'static str,
        limit: Duration,
        call: impl Future<Output = std::result::Result<T, PlatformError>>,
    ) -> Result<T> {
        match compio::time::timeout(limit, call).await {
            Ok(outcome) => Ok(outcome?),
            Err(elapsed) => Err(elapsed).change_context_lazy(|| self.error(step, "no answer")),
        }
    }
}
