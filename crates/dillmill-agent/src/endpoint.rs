//! Creates and configures the QUIC endpoint of an agent.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use dillmill_core::flow_id::{FLOW_ID_LEN, FLOW_ID_RANDOM_LEN};
use dillmill_core::{FlowId, FlowKeys};
use dillmill_node::NodeError;
use dillmill_settings::{CompiledTree, Service, Tls};
use quinn::{Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid};
use rand::Rng;
use ring::hmac;

use crate::quic_socket::{CompioRuntime, QuicSocket};

const IDLE_TIMEOUT_MS: u32 = 30_000;
const KEEP_ALIVE: Duration = Duration::from_secs(8);
const MAX_STREAMS: u32 = 256;
/// Size of the largest packet that fits a 1,500-byte link together with the header that precedes packets
/// between agent and balancer.
const MAX_MTU: u16 = 1_400;

/// Generates connection ids from a flow id and flow keys, which are replaced when the settings change.
#[derive(Debug, Clone)]
pub struct FlowIdGenerator(Arc<RwLock<(FlowId, FlowKeys)>>);

impl FlowIdGenerator {
    /// Creates a generator for the flows of one agent.
    #[must_use]
    pub fn new(own: FlowId, keys: FlowKeys) -> Self {
        Self(Arc::new(RwLock::new((own, keys))))
    }

    /// Replaces the flow id and the keys.
    pub fn set(&self, own: FlowId, keys: FlowKeys) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = (own, keys);
    }
}

impl ConnectionIdGenerator for FlowIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let guard = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let (own, keys) = &*guard;
        let random: [u8; FLOW_ID_RANDOM_LEN] = rand::rng().random();
        ConnectionId::new(&keys.seal(*own, random))
    }

    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        let guard = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let (own, keys) = &*guard;
        match keys.open(id) {
            Ok(flow) if flow == *own => Ok(()),
            _ => Err(InvalidCid),
        }
    }

    fn cid_len(&self) -> usize {
        FLOW_ID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Starts the endpoint of an agent.
///
/// The key of stateless resets (RFC 9000 section 10.3) is derived from the agent's address and the first
/// flow key, so that a restarted agent tells callers at once that their flows are gone.
///
/// # Errors
///
/// Returns an error if the certificate or its key cannot be used.
pub fn open(
    socket: Arc<QuicSocket>,
    data: SocketAddrV4,
    settings: &CompiledTree,
    service: &Service,
    ids: &FlowIdGenerator,
) -> Result<Endpoint, NodeError> {
    let reset_key = reset_key(data, settings);
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    let ids = ids.clone();
    config.cid_generator(move || Box::new(ids.clone()));
    let server = server_config(&service.node.tls)?;
    Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(CompioRuntime))
        .map_err(|e| NodeError::new("open QUIC endpoint on", SocketAddr::V4(data), e))
}

fn reset_key(data: SocketAddrV4, settings: &CompiledTree) -> hmac::Key {
    // The sealed id with service number 0 and random part 0 is the same at every start, and secret.
    let own = FlowId { service: dillmill_core::ServiceNumber(0), agent: data };
    let secret = settings.flow_keys().seal(own, [0; FLOW_ID_RANDOM_LEN]);
    hmac::Key::new(hmac::HMAC_SHA256, &secret)
}

/// Creates the endpoint's server configuration from the certificate and key of the settings.
///
/// # Errors
///
/// Returns an error if the certificate or its key cannot be used.
pub fn server_config(tls: &Tls) -> Result<ServerConfig, NodeError> {
    let fail = |what: String| NodeError::new("read TLS settings of", "service", what);
    let chain = rustls_pemfile::certs(&mut tls.certificate.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| fail(e.to_string()))?;
    let key = rustls_pemfile::private_key(&mut tls.key.reveal().as_bytes())
        .map_err(|e| fail(e.to_string()))?
        .ok_or_else(|| fail("no private key".to_owned()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| fail(e.to_string()))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|e| fail(e.to_string()))?;
    config.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(config)
        .map_err(|e| fail(e.to_string()))?;
    let mut server = ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(Arc::new(transport()));
    Ok(server)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let mut discovery = quinn::MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_MTU);
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .mtu_discovery_config(Some(discovery));
    transport
}
