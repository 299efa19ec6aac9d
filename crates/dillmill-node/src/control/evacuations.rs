//! Applies orders to evacuate data centres and distributes them to peers.

use std::net::SocketAddrV4;
use std::sync::Arc;

use dillmill_core::{EvacuationChange, Evacuations, EventKind, Revision, ZoneName};
use dillmill_wire::Message;

use super::Control;
use crate::handle::with_random_index;

impl Control {
    /// Applies changes that the platform's store has reported, once the current orders are known.
    pub(super) async fn apply_evacuation_changes(&mut self, changes: &[EvacuationChange]) {
        let Some(known) = &self.evacuations else { return };
        if let Some(orders) = known.after(changes) {
            self.apply_evacuations("store", orders).await;
        }
    }

    /// Puts newer orders in force and gossips them to peers.
    pub(super) async fn apply_evacuations(&mut self, source: &str, orders: Evacuations) {
        let known = self.evacuations.as_deref();
        if known.is_some_and(|known| known.revision() >= orders.revision()) {
            return;
        }
        self.membership.set_evacuations(orders.revision());
        let same =
            known.map_or_else(|| orders.is_empty(), |known| known.zones().eq(orders.zones()));
        let orders = Arc::new(orders);
        self.evacuations = Some(orders.clone());
        if same {
            // Peers that hold an older revision of the same orders learn the new one with their next probe.
            return;
        }
        let names: Vec<&str> = orders.zones().map(ZoneName::as_str).collect();
        let listed = if names.is_empty() { "none".to_owned() } else { names.join(" ") };
        let what = format!("data centres that get no new flows: {listed}");
        let cause = format!("orders of revision {} from {source}", orders.revision());
        self.handle.journal.record(EventKind::Settings, what, cause);
        let count = i64::try_from(names.len()).unwrap_or(i64::MAX);
        self.handle.metrics.evacuated.set(count);
        let message = Message::Evacuations(Evacuations::clone(&orders));
        for to in with_random_index(|random_index| self.membership.gossip_peers(random_index)) {
            self.send(to, &message).await;
        }
    }

    /// Sends the orders in force to a peer that advertises an older revision.
    pub(super) async fn send_newer_evacuations(
        &mut self,
        peer: SocketAddrV4,
        advertised: Revision,
    ) {
        let orders = self.evacuations.as_deref().filter(|known| known.revision() > advertised);
        if let Some(orders) = orders.cloned() {
            self.send(peer, &Message::Evacuations(orders)).await;
        }
    }
}
