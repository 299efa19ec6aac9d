//! Spreads confirmations that the settings in force are the newest.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::{Confirmation, Revision, Timestamp};
use dillmill_wire::Message;

use super::Control;
use crate::handle::with_random_index;

/// Time after a pause of this process in which datagrams that arrived during the pause are handled. Their
/// ages are not known.
const QUEUED_DATAGRAMS_WINDOW: Duration = Duration::from_millis(200);

impl Control {
    /// Notes that the store has confirmed the settings, and tells peers.
    pub(super) async fn confirm_settings(&mut self, asked: Timestamp, now: Timestamp) {
        self.handle.settings_confirmed.raise(asked);
        let (revision, evacuations) = (self.revision(), self.evacuations_revision());
        self.spread(Confirmation::new(revision, evacuations, asked, now)).await;
    }

    /// Handles a peer's confirmation. It confirms the settings in force only if these are as new as the
    /// peer's.
    pub(super) async fn apply_confirmation(
        &mut self,
        from: SocketAddrV4,
        confirmation: Confirmation,
        now: Timestamp,
    ) {
        let resumed = self.resumed_at.is_some_and(|at| now.since(at) < QUEUED_DATAGRAMS_WINDOW);
        let news = confirmation.is_news(self.handle.settings_confirmed.get(), now);
        if resumed || !news {
            return;
        }
        self.request_routes(from, confirmation.revision, now);
        if confirmation.evacuations > self.evacuations_revision() {
            // The peer sends its orders to whoever advertises an older revision.
            self.send(from, &Message::Probe(self.membership.announcement())).await;
            return;
        }
        if confirmation.revision > self.revision() {
            return;
        }
        self.handle.settings_confirmed.raise(confirmation.asked_at(now));
        if let Some(next) = confirmation.next_hop() {
            self.spread(next).await;
        }
    }

    async fn spread(&mut self, confirmation: Confirmation) {
        let message = Message::Confirmation(confirmation);
        for to in with_random_index(|random_index| self.membership.gossip_peers(random_index)) {
            self.send(to, &message).await;
        }
    }

    fn evacuations_revision(&self) -> Revision {
        self.evacuations.as_ref().map_or(Revision(0), |orders| orders.revision())
    }
}
