//! Chooses the agent for the first packet of a flow and for the record of a request.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998): every process with the same view
//! makes the same choice, and a member that joins or leaves moves only its own share.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Member, ProcessId, Weight};

/// An agent among which a [`HomeTable`] chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Home {
    /// Process id of the agent.
    pub process: ProcessId,
    /// Data address of the agent.
    pub data: SocketAddrV4,
    /// Control address of the agent.
    pub control: SocketAddrV4,
    /// Share of new flows, relative to the other candidates.
    pub weight: Weight,
}

impl From<&Member> for Home {
    fn from(member: &Member) -> Self {
        Self {
            process: member.process,
            data: member.data,
            control: member.control,
            weight: member.weight,
        }
    }
}

/// The agents of one service that share its new flows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeTable {
    homes: Vec<Home>,
}

impl HomeTable {
    /// Creates a table. Candidates of weight zero are left out.
    #[must_use]
    pub fn new(homes: impl IntoIterator<Item = Home>) -> Self {
        let homes = homes.into_iter().filter(|home| home.weight.0 > 0).collect();
        Self { homes }
    }

    /// Returns the candidates.
    #[must_use]
    pub fn homes(&self) -> &[Home] {
        &self.homes
    }

    /// Returns the candidate that `key` maps to, or `None` if the table is empty.
    #[must_use]
    pub fn home(&self, key: &[u8]) -> Option<&Home> {
        self.homes.iter().max_by(|a, b| score(a, key).total_cmp(&score(b, key)))
    }

    /// Returns all candidates by descending score, the home of `key` first.
    #[must_use]
    pub fn ranked(&self, key: &[u8]) -> Vec<Home> {
        let mut homes = self.homes.clone();
        homes.sort_by(|a, b| score(b, key).total_cmp(&score(a, key)));
        homes
    }
}

/// Returns the weighted rendezvous score: `-w / ln(u)` for a uniform `u` in (0, 1).
fn score(home: &Home, key: &[u8]) -> f64 {
    let hash = xxh3_64_with_seed(key, home.process.0);
    #[expect(clippy::cast_precision_loss, reason = "the 53 upper bits fit an f64 exactly")]
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(home.weight.0) / uniform.ln()
}
