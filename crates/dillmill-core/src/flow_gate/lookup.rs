//! How a packet of an open flow came to an agent.

use crate::envelope::{PacketPurpose, Search};

/// What is known of the way of a packet whose flow should be open somewhere.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lookup {
    /// The search so far; one that has not begun yet has no place.
    pub search: Search,
    /// How often the packet was sent where a record said.
    pub directed: u8,
    /// The balancer did not know the owner.
    pub searched: bool,
    /// The sender takes this agent for the owner.
    pub claimed: bool,
}

impl Lookup {
    /// One of the directories asked is told of all flows, and not of this one.
    pub(super) fn told(mut self) -> Self {
        self.search.told = true;
        self
    }

    /// One of the agents asked can't tell whether its target holds the flow.
    pub(super) fn unsure(mut self) -> Self {
        self.search.sure = false;
        self
    }
}

impl From<&PacketPurpose> for Lookup {
    fn from(purpose: &PacketPurpose) -> Self {
        let (search, directed) = match *purpose {
            PacketPurpose::Place { .. } | PacketPurpose::Deliver => (Search::default(), 0),
            PacketPurpose::Search(search) => (search, 0),
            PacketPurpose::Directed { search, times } => (search, times),
        };
        Self {
            search,
            directed,
            searched: matches!(purpose, PacketPurpose::Search(_) | PacketPurpose::Directed { .. }),
            claimed: !matches!(purpose, PacketPurpose::Search(_)),
        }
    }
}
