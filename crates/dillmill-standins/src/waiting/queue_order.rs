//! Orders of serving waiting requests.

use std::fmt::{self, Display, Formatter};

/// The order in which waiting requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// The order of the agents' queue ([`OpenQueue`](dillmill_core::OpenQueue)).
    Agent,
    /// The newest first, however long others have waited.
    Newest,
    /// The oldest first.
    Oldest,
    /// The highest priority first, whether it can be answered in time or not, and then the newest.
    StrictPriority,
}

impl QueueOrder {
    /// All orders.
    pub const ALL: [Self; 4] = [Self::Agent, Self::Newest, Self::Oldest, Self::StrictPriority];
}

impl Display for QueueOrder {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Agent => "patience",
            Self::Newest => "newest",
            Self::Oldest => "oldest",
            Self::StrictPriority => "strict priority",
        })
    }
}
