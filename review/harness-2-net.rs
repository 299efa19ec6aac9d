//! Packets of PROTOCOL.md, and one end of a flow: both callers and servers use it.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

pub const HEAD: usize = 34;
pub const MAX_DATA: usize = 1200;
pub const SYN: u8 = 16;
pub const ACK: u8 = 1;
pub const FIN: u8 = 32;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 8;

/// Key of the sum that both ends know and the system does not.
const SUM_KEY: u32 = 0x5bd1_e995;
const WINDOW: usize = 16;
const FIRST_WAIT: Duration = Duration::from_millis(200);
const LONGEST_WAIT: Duration = Duration::from_millis(1600);
const MAX_TRIES: u32 = 8;
const LATE_ACK: Duration = Duration::from_millis(40);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Addr {
    pub ip: Ipv4Addr,
    pub port: u16,
}

impl std::fmt::Display for Addr {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.ip, self.port)
    }
}

#[derive(Debug, Clone)]
pub struct Packet {
    pub src: Addr,
    pub dst: Addr,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    /// Whether the sum is the one that an end of the flow wrote.
    pub sound: bool,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut b = vec![0_u8; HEAD];
        b[0..2].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        b[2..6].copy_from_slice(&self.seq.to_be_bytes());
        b[6..10].copy_from_slice(&self.ack.to_be_bytes());
        b[10..14].copy_from_slice(&self.src.ip.octets());
        b[14..16].copy_from_slice(&self.src.port.to_be_bytes());
        b[16..18].copy_from_slice(&self.dst.port.to_be_bytes());
        b[18..22].copy_from_slice(&self.dst.ip.octets());
        b[22] = self.flags;
        b.extend_from_slice(&self.data);
        let sum = sum_of(&b);
        b[26..30].copy_from_slice(&sum.to_be_bytes());
        b
    }

    pub fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < HEAD || usize::from(u16::from_be_bytes([b[0], b[1]])) != b.len() - HEAD {
            return None;
        }
        let u32_at = |i: usize| u32::from_be_bytes([b[i], b[i + 1], b[i + 2], b[i + 3]]);
        let u16_at = |i: usize| u16::from_be_bytes([b[i], b[i + 1]]);
        Some(Self {
            src: Addr { ip: Ipv4Addr::from(u32_at(10)), port: u16_at(14) },
            dst: Addr { ip: Ipv4Addr::from(u32_at(18)), port: u16_at(16) },
            flags: b[22],
            seq: u32_at(2),
            ack: u32_at(6),
            data: b[HEAD..].to_vec(),
            sound: u32_at(26) == sum_of(b),
        })
    }
}

/// The keyed sum over all but `echo`, `pad`, `sum` and BOUNCED.
fn sum_of(b: &[u8]) -> u32 {
    let mut sum = SUM_KEY;
    for (i, byte) in b.iter().enumerate() {
        let byte = match i {
            22 => byte & !BOUNCED,
            23..=33 => continue,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193).rotate_left(5);
    }
    sum | 1
}

#[derive(Debug)]
struct Sent {
    seq: u32,
    data: Vec<u8>,
    tries: u32,
    due: Instant,
    wait: Duration,
}

/// One end of an open flow: sends bytes in order, sends missing ones again, and takes bytes in order.
#[derive(Debug)]
pub struct End {
    pub me: Addr,
    pub peer: Addr,
    pub next_seq: u32,
    pub expects: u32,
    unsent: VecDeque<u8>,
    under_way: VecDeque<Sent>,
    early: BTreeMap<u32, Vec<u8>>,
    pub taken: Vec<u8>,
    unacked: u32,
    ack_due: Option<Instant>,
    pub gave_up: bool,
}

impl End {
    pub fn new(me: Addr, peer: Addr, next_seq: u32, expects: u32) -> Self {
        Self {
            me,
            peer,
            next_seq,
            expects,
            unsent: VecDeque::new(),
            under_way: VecDeque::new(),
            early: BTreeMap::new(),
            taken: Vec::new(),
            unacked: 0,
            ack_due: None,
            gave_up: false,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.unsent.extend(bytes);
    }

    pub fn packet(&self, flags: u8, seq: u32, data: Vec<u8>) -> Packet {
        Packet { src: self.me, dst: self.peer, flags, seq, ack: self.expects, data, sound: true }
    }

    /// Takes a packet of the peer; returns the packets to send at once.
    pub fn take(&mut self, p: &Packet, now: Instant) -> Vec<Packet> {
        while self.under_way.front().is_some_and(|s| {
            let end = s.seq.wrapping_add(s.data.len() as u32);
            p.ack.wrapping_sub(end) < 1 << 30
        }) {
            self.under_way.pop_front();
        }
        let mut out = Vec::new();
        if !p.data.is_empty() {
            let ahead = p.seq.wrapping_sub(self.expects);
            if ahead < 1 << 24 {
                self.early.insert(p.seq, p.data.clone());
            }
            while let Some(data) = self.early.remove(&self.expects) {
                self.expects = self.expects.wrapping_add(data.len() as u32);
                self.taken.extend(data);
            }
            self.unacked += 1;
            if self.unacked >= 2 || ahead >= 1 << 24 {
                out.push(self.acknowledge());
            } else {
                self.ack_due.get_or_insert(now + LATE_ACK);
            }
        }
        out.extend(self.due(now));
        out
    }

    fn acknowledge(&mut self) -> Packet {
        self.unacked = 0;
        self.ack_due = None;
        self.packet(ACK, self.next_seq, Vec::new())
    }

    /// Returns the packets that are due: new ones, missing ones and late acknowledgements.
    pub fn due(&mut self, now: Instant) -> Vec<Packet> {
        let mut out = Vec::new();
        while self.under_way.len() < WINDOW && !self.unsent.is_empty() {
            let n = self.unsent.len().min(MAX_DATA);
            let data: Vec<u8> = self.unsent.drain(..n).collect();
            out.push(self.packet(ACK, self.next_seq, data.clone()));
            let due = now + FIRST_WAIT;
            self.under_way.push_back(Sent {
                seq: self.next_seq,
                data,
                tries: 1,
                due,
                wait: FIRST_WAIT,
            });
            self.next_seq = self.next_seq.wrapping_add(n as u32);
        }
        let mut again = Vec::new();
        for s in &mut self.under_way {
            if now >= s.due {
                if s.tries > MAX_TRIES {
                    self.gave_up = true;
                    break;
                }
                s.tries += 1;
                s.wait = (s.wait * 2).min(LONGEST_WAIT);
                s.due = now + s.wait;
                again.push((s.seq, s.data.clone()));
            }
        }
        out.extend(again.into_iter().map(|(seq, data)| self.packet(ACK, seq, data)));
        if !out.is_empty() {
            self.unacked = 0;
            self.ack_due = None;
        } else if self.ack_due.is_some_and(|at| now >= at) {
            out.push(self.acknowledge());
        }
        out
    }
}
