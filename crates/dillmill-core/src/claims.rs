//! At-most-once dispatch: decides whether a request with an idempotency key may be dispatched.
//!
//! Every request with an idempotency key needs a *claim* before an agent hands it to its target.
//! The agents of a service form a *ring*: a list with an epoch that is stored in the platform and
//! changes only by compare-and-swap. The ring assigns one *authority* to each key by rendezvous
//! hashing. The authority grants a key to one agent and names that agent to every other agent
//! that claims the key.
//!
//! No leases are needed, and between two ring changes nothing here depends on the platform:
//!
//! 1. A grant is valid only in the epoch in which it was made. An agent that has adopted a newer
//!    epoch never dispatches under an older grant, however long it was paused.
//! 2. Each dispatch is recorded at two agents before it happens: the authority and the dispatcher
//!    or, if these are the same agent, one more agent that keeps a copy.
//! 3. After a ring change, the authority of a key asks the earlier authorities before its first
//!    grant. If one of them is unreachable, all other agents of its ring are asked instead: by
//!    point 2 they know of every dispatch, unless two of them are lost. Each agent that answers has
//!    adopted the new epoch, so by point 1 its answer "not dispatched" remains true.
//! 4. If two agents are lost, the answer is "unknown", never "not run".

mod answer;
mod ledger;
mod ring;

pub use answer::{
    BeginError, Claim, ClaimAnswer, Finding, HandoverRecord, HandoverState, Inquiry, Phase,
};
pub use ledger::ClaimLedger;
pub use ring::{ClaimKey, Epoch, PastRing, Ring, RingMember};
