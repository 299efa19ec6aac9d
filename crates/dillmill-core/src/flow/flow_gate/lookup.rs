//! Tracks how a packet of an open flow came to an agent, and how far the search for its owner has
//! come.

use crate::envelope::{PacketPurpose, Search};

/// What is known of the path of a packet whose flow should be open at some agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lookup {
    /// State of the search; its place is `None` before the first step.
    pub search: Search,
    /// Number of times that the packet has followed a directory record.
    pub redirects: u8,
    /// The packet was sent to search for the owner, which the balancer did not know.
    pub searched: bool,
    /// The sender assumes that this agent owns the flow.
    pub claimed: bool,
}

impl Lookup {
    /// Notes that one of the flow's directories is told of all flows and has no record of this one.
    pub(super) fn mark_told(mut self) -> Self {
        self.search.told = true;
        self
    }

    /// Notes that one of the agents asked cannot tell whether its target holds the flow.
    pub(super) fn mark_unsure(mut self) -> Self {
        self.search.sure = false;
        self
    }
}

impl From<&PacketPurpose> for Lookup {
    fn from(purpose: &PacketPurpose) -> Self {
        let (search, redirects) = match *purpose {
            PacketPurpose::Place { .. } | PacketPurpose::Moved { .. } | PacketPurpose::Deliver => {
                (Search::default(), 0)
            }
            PacketPurpose::Search(search) => (search, 0),
            PacketPurpose::Directed { search, times } => (search, times),
        };
        Self {
            search,
            redirects,
            searched: matches!(purpose, PacketPurpose::Search(_) | PacketPurpose::Directed { .. }),
            claimed: !matches!(purpose, PacketPurpose::Search(_)),
        }
    }
}
