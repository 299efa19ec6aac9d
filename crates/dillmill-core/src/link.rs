//! The network link of a VM: which datagram leaves next, and which uploads begin.
//!
//! | Module | Responsibility |
//! |---|---|
//! | [`link_queue`] | order and time of datagrams that leave over the link |
//! | [`link_admission`] | which uploads are admitted to the link |
//! | [`link_rate`] | rate of a link |

pub mod link_admission;
pub mod link_queue;
pub mod link_rate;
