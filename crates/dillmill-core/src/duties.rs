//! Duties that some processes perform for all, and the operators' orders that bind all processes.
//!
//! | Module | Responsibility |
//! |---|---|
//! | [`store_selection`] | which processes keep an entry in the platform's store |
//! | [`check_schedule`] | when a process checks that its settings are the newest |
//! | [`watcher_selection`] | which processes hold a watch at the platform |
//! | [`start_delay`] | how long a starting process waits for peers before it queries the store |
//! | [`evacuations`] | which data centres receive no new flows |

pub mod check_schedule;
pub mod evacuations;
pub mod start_delay;
pub mod store_selection;
pub mod watcher_selection;
