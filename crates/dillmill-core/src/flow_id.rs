//! Encrypted connection ids that name the agent of a flow.
//!
//! A QUIC connection id issued by an agent contains the service and the agent's address, encrypted
//! with AES-128. A balancer that holds the key can route any later packet of the flow without
//! state, whatever its settings revision or list of targets (RFC 9000 section 5.1 leaves the
//! content of a connection id to its issuer).
//!
//! Layout of the 20 bytes: key number (1), random (3), one AES block (16) of service number (2),
//! IPv4 address (4), port (2), check bytes of zero (4) and random (4).

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use aes::Aes128;
use aes::cipher::{Block, BlockDecrypt, BlockEncrypt, KeyInit};
use serde::{Deserialize, Serialize};

use crate::{Secret, ServiceNumber};

/// Length of every connection id that an agent issues, in bytes.
pub const FLOW_ID_LEN: usize = 20;
/// Number of random bytes that [`FlowKeys::seal`] takes.
pub const FLOW_ID_RANDOM_LEN: usize = 7;
const BLOCK_START: usize = 4;

/// Content of a connection id: the service and the agent that owns the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowId {
    /// Service of the flow.
    pub service: ServiceNumber,
    /// Data address of the agent that holds the connection.
    pub agent: SocketAddrV4,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.agent)
    }
}

/// Reasons to reject a connection id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FlowIdError {
    /// The id is not [`FLOW_ID_LEN`] bytes long.
    #[error("connection id has {0} bytes instead of {FLOW_ID_LEN}")]
    Length(usize),
    /// No key with this number is in force.
    #[error("connection id is encrypted with unknown key {0}")]
    UnknownKey(u8),
    /// The check bytes are not zero: the id was forged, damaged, or encrypted with another secret.
    #[error("connection id has wrong check bytes")]
    Forged,
}

/// A key that encrypts connection ids, as the settings tree stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowKey {
    /// Number of the key, the first byte of connection ids.
    pub id: u8,
    /// The AES-128 key as 32 hexadecimal digits.
    pub secret: Secret,
}

/// The keys in force: the first encrypts new connection ids, all decrypt.
///
/// ```
/// use dillmill_core::{FlowId, FlowKey, FlowKeys, Secret, ServiceNumber};
///
/// let key = FlowKey { id: 1, secret: Secret::new("000102030405060708090a0b0c0d0e0f") };
/// let keys = FlowKeys::new(&[key]).unwrap();
/// let flow = FlowId { service: ServiceNumber(7), agent: "10.0.0.9:7001".parse().unwrap() };
/// let sealed = keys.seal(flow, [3; 7]);
/// assert_eq!(keys.open(&sealed), Ok(flow));
/// ```
#[derive(Clone)]
pub struct FlowKeys {
    keys: Vec<(u8, Aes128)>,
}

impl fmt::Debug for FlowKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.keys.iter().map(|(id, _)| id)).finish()
    }
}

/// Reasons to reject a list of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FlowKeyError {
    /// The list is empty.
    #[error("the list of flow keys is empty")]
    Empty,
    /// The secret of the numbered key is not 32 hexadecimal digits.
    #[error("the secret of flow key {0} is not 32 hexadecimal digits")]
    Secret(u8),
    /// Two keys have the same number.
    #[error("two flow keys have the number {0}")]
    Duplicate(u8),
}

/// Parses hexadecimal digits into `N` bytes; returns `None` if the text has another length or other
/// characters.
#[must_use]
pub fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let mut bytes = [0; N];
    if text.len() != 2 * N || !text.is_ascii() {
        return None;
    }
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(bytes)
}

impl FlowKeys {
    /// Creates the set from the keys of a settings tree.
    ///
    /// # Errors
    ///
    /// Rejects an empty list, a number used twice and a secret that is not 32 hexadecimal digits.
    pub fn new(keys: &[FlowKey]) -> Result<Self, FlowKeyError> {
        let mut set: Vec<(u8, Aes128)> = Vec::with_capacity(keys.len());
        for key in keys {
            let secret: [u8; 16] =
                parse_hex(key.secret.reveal()).ok_or(FlowKeyError::Secret(key.id))?;
            if set.iter().any(|(id, _)| *id == key.id) {
                return Err(FlowKeyError::Duplicate(key.id));
            }
            set.push((key.id, Aes128::new(&secret.into())));
        }
        if set.is_empty() {
            return Err(FlowKeyError::Empty);
        }
        Ok(Self { keys: set })
    }

    /// Encrypts `flow` with the first key. The bytes of `random` make the ids of one flow differ.
    #[must_use]
    pub fn seal(&self, flow: FlowId, random: [u8; FLOW_ID_RANDOM_LEN]) -> [u8; FLOW_ID_LEN] {
        let (key_id, cipher) = &self.keys[0];
        let mut block = [0; 16];
        block[0..2].copy_from_slice(&flow.service.0.to_be_bytes());
        block[2..6].copy_from_slice(&flow.agent.ip().octets());
        block[6..8].copy_from_slice(&flow.agent.port().to_be_bytes());
        block[12..16].copy_from_slice(&random[3..7]);
        let mut block = Block::<Aes128>::from(block);
        cipher.encrypt_block(&mut block);
        let mut id = [0; FLOW_ID_LEN];
        id[0] = *key_id;
        id[1..BLOCK_START].copy_from_slice(&random[0..3]);
        id[BLOCK_START..].copy_from_slice(&block);
        id
    }

    /// Decrypts a connection id.
    ///
    /// # Errors
    ///
    /// Returns why the id is rejected. A random id passes the check once in 2^32 times; the agent
    /// that it then names refuses it.
    pub fn open(&self, id: &[u8]) -> Result<FlowId, FlowIdError> {
        if id.len() != FLOW_ID_LEN {
            return Err(FlowIdError::Length(id.len()));
        }
        let (_, cipher) = self
            .keys
            .iter()
            .find(|(key_id, _)| *key_id == id[0])
            .ok_or(FlowIdError::UnknownKey(id[0]))?;
        let mut block = Block::<Aes128>::clone_from_slice(&id[BLOCK_START..]);
        cipher.decrypt_block(&mut block);
        if block[8..12] != [0; 4] {
            return Err(FlowIdError::Forged);
        }
        Ok(FlowId {
            service: ServiceNumber(u16::from_be_bytes([block[0], block[1]])),
            agent: SocketAddrV4::new(
                Ipv4Addr::new(block[2], block[3], block[4], block[5]),
                u16::from_be_bytes([block[6], block[7]]),
            ),
        })
    }
}
