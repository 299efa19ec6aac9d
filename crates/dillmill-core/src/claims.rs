//! Whether a request that may not be repeated may be dispatched.
//!
//! Every request with an idempotency key needs a *claim* before an agent hands it to its target.
//! The agents of a service form a *ring*, a list with an epoch that lives in the platform and
//! changes only by compare-and-swap. The ring names one *authority* for each key, by rendezvous
//! hash. The authority grants a key to one agent and names that agent to everyone else who asks.
//!
//! No lease is needed, and nothing here needs the platform between two ring changes:
//!
//! 1. A grant counts only in the epoch it was made in. An agent that has adopted a newer epoch
//!    never dispatches under an older grant, however late it wakes.
//! 2. Each dispatch is on record at two agents before it happens: the authority and the dispatcher,
//!    or, where these are the same, one more agent that keeps a copy.
//! 3. After a ring change the authority of a key asks the earlier authorities before its first
//!    grant. One that can't be asked is replaced by all other agents of its ring: by point 2 these
//!    know of every dispatch unless two of them are lost. Whoever answers has adopted the new
//!    epoch, so by point 1 its answer "not dispatched" stays true.
//! 4. If two are lost, the answer is "unknown", never "not run".

mod answer;
mod ledger;
mod ring;

pub use answer::{
    BeginError, Claim, ClaimAnswer, Finding, HandoverRecord, HandoverState, Inquiry, Phase,
};
pub use ledger::ClaimLedger;
pub use ring::{ClaimKey, Epoch, PastRing, Ring, RingMember};
