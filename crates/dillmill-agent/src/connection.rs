//! Serves a caller's flow: HTTP/3 (RFC 9114) over QUIC (RFC 9000).

use std::time::Duration;

use bytes::{Buf, Bytes};
use dillmill_core::{EventKind, GroupName};
use dillmill_node::View;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use h3::server::RequestResolver;
use http::{HeaderMap, StatusCode};

use crate::answer::{Outcome, ResponseSink};
use crate::chain::{self, Closed, closed};
use crate::context::AgentContext;
use crate::request::{DEADLINE_HEADER, KEY_HEADER, Request, end_to_end_headers};

const STREAMS_IN_FLIGHT: usize = 256;
const MAX_KEY_LEN: usize = 256;

/// Signals for the two steps of a planned stop that concern flows.
#[derive(Debug, Clone)]
pub(crate) struct StopSignals {
    /// Completes when callers are told to move. New flows still arrive until the stop is known everywhere.
    pub(crate) migrate: Closed,
    /// Completes when new flows are refused from then on.
    pub(crate) refuse: Closed,
}

/// Accepts flows until the endpoint closes.
pub(crate) async fn accept_all(cx: AgentContext, endpoint: quinn::Endpoint, leaving: StopSignals) {
    while let Some(incoming) = endpoint.accept().await {
        if leaving.refuse.peek().is_some() {
            incoming.refuse();
            continue;
        }
        compio::runtime::spawn(serve(cx.clone(), incoming, leaving.migrate.clone())).detach();
    }
}

async fn serve(cx: AgentContext, incoming: quinn::Incoming, leaving: Closed) {
    let caller = incoming.remote_address();
    let Ok(connection) = incoming.await else { return };
    cx.count_flows(1);
    cx.node.journal.record_debug(EventKind::Flow, format!("flow of {caller} open"), "handshake");
    let cause = serve_requests(&cx, connection, leaving).await;
    cx.count_flows(-1);
    cx.node.journal.record_debug(EventKind::Flow, format!("flow of {caller} closed"), cause);
}

async fn serve_requests(
    cx: &AgentContext,
    connection: quinn::Connection,
    leaving: Closed,
) -> String {
    let connection_closed = {
        let connection = connection.clone();
        closed(async move {
            connection.closed().await;
        })
    };
    let h3 = h3::server::Connection::<_, Bytes>::new(h3_quinn::Connection::new(connection)).await;
    let mut h3 = match h3 {
        Ok(h3) => h3,
        Err(e) => return e.to_string(),
    };
    let mut goaway_sent = false;
    // A flow that opens during a planned stop is told to move only after its first request is accepted.
    let mut first = leaving.peek().is_some();
    loop {
        let next = {
            let accepting = h3.accept();
            pin_mut!(accepting);
            if goaway_sent || first {
                first = false;
                Some(accepting.await)
            } else {
                match select(accepting, leaving.clone()).await {
                    Either::Left((next, _)) => Some(next),
                    Either::Right(_) => None,
                }
            }
        };
        match next {
            None => {
                // The GOAWAY lets callers move in time: requests in flight, including those not received
                // yet, continue (RFC 9114 section 5.2).
                goaway_sent = true;
                if let Err(e) = h3.shutdown(STREAMS_IN_FLIGHT).await {
                    return e.to_string();
                }
            }
            Some(Ok(Some(resolver))) => {
                compio::runtime::spawn(handle_request(
                    cx.clone(),
                    resolver,
                    connection_closed.clone(),
                ))
                .detach();
            }
            Some(Ok(None)) => return "all requests done".to_owned(),
            Some(Err(e)) => return e.to_string(),
        }
    }
}

async fn handle_request(
    cx: AgentContext,
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    connection_closed: Closed,
) {
    let Ok((head, mut stream)) = resolver.resolve_request().await else { return };
    let view = cx.view();
    let checked = prepare_request(&cx, &view, &head);
    let outcome = match checked {
        Err(outcome) => outcome,
        Ok(mut req) => {
            let limit = req.deadline.since(cx.node.clock.now());
            let max = usize::try_from(req.limits.max_body).unwrap_or(usize::MAX);
            match compio::time::timeout(limit, read_body(&mut stream, max)).await {
                Ok(Ok(body)) => {
                    req.body = body;
                    let mut sink = ResponseSink::Caller(Box::new(stream));
                    chain::run(&cx, req, &mut sink, connection_closed).await;
                    return;
                }
                Ok(Err(outcome)) => outcome,
                Err(_) => Outcome::refused(StatusCode::REQUEST_TIMEOUT, "the body came too late"),
            }
        }
    };
    let _ = ResponseSink::Caller(Box::new(stream)).outcome(&outcome).await;
}

type CallerStream = h3::server::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

async fn read_body(stream: &mut CallerStream, max: usize) -> Result<Vec<u8>, Outcome> {
    let mut body = Vec::new();
    loop {
        match stream.recv_data().await {
            Ok(Some(mut part)) => {
                if body.len() + part.remaining() > max {
                    let reason = format!("the body is longer than {max} bytes");
                    return Err(Outcome::refused(StatusCode::PAYLOAD_TOO_LARGE, reason));
                }
                body.extend_from_slice(&part.copy_to_bytes(part.remaining()));
            }
            Ok(None) => return Ok(body),
            Err(e) => return Err(Outcome::refused(StatusCode::BAD_REQUEST, e)),
        }
    }
}

/// Authenticates a request and resolves its limits and its deadline.
fn prepare_request(
    cx: &AgentContext,
    view: &View,
    head: &http::Request<()>,
) -> Result<Request, Outcome> {
    let settings = view.settings.as_ref();
    let service = settings.and_then(|s| s.service(&cx.service));
    let (Some(settings), Some(service)) = (settings, service) else {
        return Err(Outcome::not_run("the service is not in the settings", Duration::from_secs(1)));
    };
    let group = authenticate(view, head.headers())?;
    let limits = settings.limits(&group, &cx.service);
    let deadline = parse_deadline(head.headers())?
        .map_or(limits.deadline.duration(), |asked| asked.min(limits.deadline.duration()));
    let path = head.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let feed = service.node.feeds.iter().any(|prefix| path.starts_with(prefix.as_str()));
    Ok(Request {
        group,
        service: cx.service.clone(),
        method: head.method().clone(),
        headers: end_to_end_headers(head.headers()),
        key: parse_key(head.headers())?,
        deadline: cx.node.clock.now() + deadline,
        body: Vec::new(),
        hops: 0,
        feed,
        path,
        limits,
        operation: service.operation.clone(),
    })
}

/// Returns the group that the bearer token belongs to; a caller cannot name its group itself.
fn authenticate(view: &View, headers: &HeaderMap) -> Result<GroupName, Outcome> {
    let refuse = |reason: &str| Outcome::refused(StatusCode::UNAUTHORIZED, reason);
    let value = headers.get("authorization").ok_or_else(|| refuse("no bearer token"))?;
    let token = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| refuse("authorization is no bearer token"))?;
    view.settings
        .as_ref()
        .and_then(|settings| settings.group_of_token(token))
        .cloned()
        .ok_or_else(|| refuse("the bearer token is of no group"))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Outcome> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(None) };
    let ms: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    ms.map(|ms| Some(Duration::from_millis(ms))).ok_or_else(|| {
        let reason = format!("{DEADLINE_HEADER} is not a whole number of milliseconds");
        Outcome::refused(StatusCode::BAD_REQUEST, reason)
    })
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, Outcome> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_LEN => Ok(Some(text.to_owned())),
        _ => {
            let reason = format!("{KEY_HEADER} must be 1 to {MAX_KEY_LEN} characters of ASCII");
            Err(Outcome::refused(StatusCode::BAD_REQUEST, reason))
        }
    }
}
