//! Orders to evacuate data centres: taken in, put in force, passed on.

use std::net::SocketAddrV4;
use std::sync::Arc;

use dillmill_core::{EvacuationChange, Evacuations, EventKind, Revision, ZoneName};
use dillmill_wire::Message;

use super::Control;
use crate::handle::with_random_index;

impl Control {
    /// Takes in changes that the platform's store has told.
    pub(super) async fn take_evacuation_changes(&mut self, changes: &[EvacuationChange]) {
        let Some(known) = &self.evacuations else { return };
        if let Some(newer) = known.after(changes) {
            self.take_evacuations("store", newer).await;
        }
    }

    /// Puts newer orders in force and passes them on.
    pub(super) async fn take_evacuations(&mut self, source: &str, newer: Evacuations) {
        let known = self.evacuations.as_deref();
        if known.is_some_and(|known| known.revision() >= newer.revision()) {
            return;
        }
        self.membership.set_evacuations(newer.revision());
        let same = known.map_or_else(|| newer.is_empty(), |known| known.zones().eq(newer.zones()));
        let newer = Arc::new(newer);
        self.evacuations = Some(newer.clone());
        if same {
            // Peers that hold an older revision of the same orders hear of it with their next probe.
            return;
        }
        let names: Vec<&str> = newer.zones().map(ZoneName::as_str).collect();
        let listed = if names.is_empty() { "none".to_owned() } else { names.join(" ") };
        let what = format!("data centres that get no new flows: {listed}");
        let cause = format!("orders of revision {} from {source}", newer.revision());
        self.handle.journal.record(EventKind::Settings, what, cause);
        let count = i64::try_from(names.len()).unwrap_or(i64::MAX);
        self.handle.metrics.evacuated.set(count);
        let message = Message::Evacuations(Evacuations::clone(&newer));
        for to in with_random_index(|draw| self.membership.gossip_peers(draw)) {
            self.send(to, &message).await;
        }
    }

    /// Tells a peer that shows older orders which ones are in force.
    pub(super) async fn correct_evacuations(&mut self, peer: SocketAddrV4, shown: Revision) {
        let newer = self.evacuations.as_deref().filter(|known| known.revision() > shown);
        if let Some(newer) = newer.cloned() {
            self.send(peer, &Message::Evacuations(newer)).await;
        }
    }
}
