//! An HTTP/3 client that makes requests and opens long feeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use compio::net::UdpSocket;
use compio::quic::crypto::rustls::QuicClientConfig;
use compio::quic::{ClientConfig, Endpoint, TransportConfig};
use futures_util::future::poll_fn;
use h3::error::{Code, StreamError};
use http::{Method, Request};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

use crate::StandinError;

const SERVER_NAME: &str = "localhost";
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

type SendRequest = h3::client::SendRequest<compio::quic::h3::OpenStreams, Bytes>;
type RequestStream = h3::client::RequestStream<compio::quic::h3::BidiStream<Bytes>, Bytes>;

/// Why a call did not return a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The server closes the flow and did not process this request: it can be repeated on a new
    /// flow (RFC 9114 section 5.2).
    NotProcessed,
    /// The flow or the response ended early.
    Broken(StandinError),
}

impl From<CallError> for StandinError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotProcessed => {
                Self::new("call", "the server closes the flow and did not process the request")
            }
            CallError::Broken(e) => e,
        }
    }
}

fn call_error(step: &'static str) -> impl FnOnce(StreamError) -> CallError {
    move |e| match e {
        StreamError::RemoteClosing => CallError::NotProcessed,
        StreamError::RemoteTerminate { code } if code == Code::H3_REQUEST_REJECTED => {
            CallError::NotProcessed
        }
        other => CallError::Broken(StandinError::new(step, other)),
    }
}

/// The response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `dillmill-outcome`.
    pub outcome: Option<String>,
    /// Value of the header `retry-after`, in seconds.
    pub retry_after: Option<u64>,
    /// The response body, as text.
    pub body: String,
}

impl Answer {
    /// Returns the value of the first `name=value` word in the body.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.body.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A request of a caller.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// Path and query.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Idempotency key; a request with a key is a POST.
    pub key: Option<String>,
    /// Deadline in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Body; a request with a body that is not empty is a POST.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a GET of `path` with a bearer token.
    #[must_use]
    pub fn new(path: impl Into<String>, token: impl Into<String>) -> Self {
        Self { path: path.into(), token: token.into(), ..Self::default() }
    }

    /// Adds an idempotency key.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Adds a deadline.
    #[must_use]
    pub fn deadline(mut self, ms: u64) -> Self {
        self.deadline_ms = Some(ms);
        self
    }

    /// Adds a body.
    #[must_use]
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }
}

/// One HTTP/3 flow of a caller.
pub struct Caller {
    send: SendRequest,
    endpoint: Endpoint,
}

/// An open long feed, read line by line.
pub struct Feed {
    stream: RequestStream,
    unread: String,
}

impl Caller {
    /// Opens a flow to `service` and trusts only `certificate` (PEM).
    ///
    /// # Errors
    ///
    /// Fails when the flow can't be opened.
    pub async fn connect(service: SocketAddr, certificate: &str) -> Result<Self, StandinError> {
        let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(StandinError::at("bind"))?;
        let mut endpoint =
            Endpoint::new(socket, compio::quic::EndpointConfig::default(), None, None)
                .map_err(StandinError::at("open endpoint"))?;
        endpoint.default_client_config = Some(client_config(certificate)?);
        let connection = endpoint
            .connect(service, SERVER_NAME, None)
            .map_err(StandinError::at("connect"))?
            .await
            .map_err(StandinError::at("handshake"))?;
        let (mut driver, send) = compio::quic::h3::client::new(connection)
            .await
            .map_err(StandinError::at("open HTTP/3 connection"))?;
        compio::runtime::spawn(async move {
            let _ = poll_fn(|cx| driver.poll_close(cx)).await;
        })
        .detach();
        Ok(Self { send, endpoint })
    }

    /// Returns another handle to this flow, for concurrent requests.
    #[must_use]
    pub fn share(&self) -> Self {
        Self { send: self.send.clone(), endpoint: self.endpoint.clone() }
    }

    async fn open(&mut self, call: &Call) -> Result<RequestStream, CallError> {
        let is_post = call.key.is_some() || !call.body.is_empty();
        let method = if is_post { Method::POST } else { Method::GET };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("https://{SERVER_NAME}{}", call.path))
            .header("authorization", format!("Bearer {}", call.token));
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(ms) = call.deadline_ms {
            request = request.header("dillmill-deadline-ms", ms);
        }
        let request = request
            .body(())
            .map_err(|e| CallError::Broken(StandinError::new("build request", e)))?;
        let mut stream =
            self.send.send_request(request).await.map_err(call_error("send request"))?;
        if !call.body.is_empty() {
            stream
                .send_data(Bytes::from(call.body.clone()))
                .await
                .map_err(call_error("send body"))?;
        }
        stream.finish().await.map_err(call_error("end request"))?;
        Ok(stream)
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Fails when the server does not process the request, or the flow or the response ends early.
    pub async fn call(&mut self, call: &Call) -> Result<Answer, CallError> {
        let mut stream = self.open(call).await?;
        let head = stream.recv_response().await.map_err(call_error("receive response"))?;
        let header = |name| head.headers().get(name).and_then(|v| v.to_str().ok());
        let outcome = header("dillmill-outcome").map(str::to_owned);
        let retry_after = header("retry-after").and_then(|v| v.parse().ok());
        let mut body = Vec::new();
        while let Some(mut part) = stream.recv_data().await.map_err(call_error("receive body"))? {
            body.extend_from_slice(&part.copy_to_bytes(part.remaining()));
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Answer { status: head.status().as_u16(), outcome, retry_after, body })
    }

    /// Opens a long feed.
    ///
    /// # Errors
    ///
    /// Fails when the flow ends early or the response status is not 200.
    pub async fn feed(&mut self, call: &Call) -> Result<Feed, StandinError> {
        let mut stream = self.open(call).await?;
        let head = stream.recv_response().await.map_err(StandinError::at("receive feed"))?;
        if head.status().as_u16() != 200 {
            return Err(StandinError::new("receive feed", head.status()));
        }
        Ok(Feed { stream, unread: String::new() })
    }
}

impl Feed {
    /// Returns the next line, or `None` at the end of the feed.
    ///
    /// # Errors
    ///
    /// Fails when the feed ends early.
    pub async fn next(&mut self) -> Result<Option<String>, StandinError> {
        loop {
            if let Some(end) = self.unread.find('\n') {
                let line = self.unread[..end].to_owned();
                self.unread.drain(..=end);
                return Ok(Some(line));
            }
            let part = self.stream.recv_data().await.map_err(StandinError::at("receive feed"))?;
            match part {
                Some(mut part) => {
                    let bytes = part.copy_to_bytes(part.remaining());
                    self.unread.push_str(&String::from_utf8_lossy(&bytes));
                }
                None => return Ok(None),
            }
        }
    }
}

fn client_config(certificate: &str) -> Result<ClientConfig, StandinError> {
    let mut roots = rustls::RootCertStore::empty();
    let certificate = CertificateDer::from_pem_slice(certificate.as_bytes())
        .map_err(StandinError::at("read certificate"))?;
    roots.add(certificate).map_err(StandinError::at("trust certificate"))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(StandinError::at("configure TLS"))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(StandinError::at("configure QUIC"))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    let mut transport = TransportConfig::default();
    let idle = IDLE_TIMEOUT.try_into().map_err(StandinError::at("configure QUIC"))?;
    transport.max_idle_timeout(Some(idle));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
