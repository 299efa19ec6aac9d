//! Synchronises member records, settings, routes and evacuation orders with a peer over TCP.

use std::net::SocketAddrV4;
use std::time::Duration;

use dillmill_core::membership::RecordBuckets;
use dillmill_core::{Event, Revision, Timestamp};
use dillmill_settings::{Change, RouteTree};
use dillmill_wire::StreamMessage;
use rand::Rng;

use super::{Control, Input};
use crate::handle::with_random_index;
use crate::{Framed, client};

/// Number of synchronisations answered within [`BUSY_WINDOW`] at which this process becomes busy. Newcomers
/// are then referred to other processes for what is new to them.
const BUSY_SYNCS: usize = 8;
const BUSY_WINDOW: Duration = Duration::from_millis(100);

impl Control {
    pub(super) fn sync_if_wanted(&mut self) {
        while let Some(peer) =
            with_random_index(|random_index| self.membership.next_sync_peer(random_index))
        {
            self.sync_with(peer);
        }
    }

    pub(super) fn sync_with(&self, peer: SocketAddrV4) {
        let request = StreamMessage::Sync {
            buckets: self.membership.buckets(rand::rng().random()),
            after: self.revision(),
            me: self.membership.me().clone(),
        };
        self.handle.metrics.syncs_asked.inc();
        let handle = self.handle.clone();
        compio::runtime::spawn(async move {
            let response = match Framed::connect(peer, handle.key.clone()).await {
                Ok(framed) => {
                    let framed = framed.with_traffic(&handle.metrics.traffic);
                    client::exchange(framed, &request).await
                }
                Err(e) => Err(e),
            };
            if response.is_err() {
                let _ = handle.tx.send(Input::SyncFailed);
            }
            if let Ok(StreamMessage::SyncReply {
                members,
                changes,
                tree,
                routes,
                evacuations,
                overload,
            }) = response
            {
                let _ = handle.tx.send(Input::Members(members));
                let source = format!("peer {peer}");
                if let Some(evacuations) = evacuations {
                    handle.put_evacuations(source.clone(), evacuations);
                }
                if let Some(routes) = routes {
                    let routes = routes.with_overload_settings(&overload);
                    handle.put_routes(source.clone(), routes);
                }
                let _ = handle.tx.send(Input::Settings { source, changes, tree });
            }
        })
        .detach();
    }

    pub(super) fn respond_to_stream(
        &mut self,
        message: StreamMessage,
        tx: &flume::Sender<StreamMessage>,
        now: Timestamp,
    ) {
        let response = match message {
            StreamMessage::Sync { buckets, after, me } => {
                self.handle.metrics.syncs_answered.inc();
                self.recent_syncs.push_back(now);
                self.update_busy(now);
                self.membership.learn(me, now);
                self.sync_reply(&buckets, after)
            }
            StreamMessage::GetStatus => StreamMessage::Status(Box::new(self.status())),
            StreamMessage::GetMembers => {
                StreamMessage::Members(self.membership.all().cloned().collect())
            }
            StreamMessage::GetEvents => StreamMessage::Events {
                process: self.membership.me().process,
                events: self.events.iter().cloned().collect::<Vec<Event>>(),
            },
            _ => return,
        };
        let _ = tx.send(response);
    }

    pub(super) fn sync_reply(&self, buckets: &RecordBuckets, after: Revision) -> StreamMessage {
        let members = self.membership.differing(buckets);
        let changes: Vec<Change> =
            self.recent_changes.iter().filter(|change| change.revision > after).cloned().collect();
        let follows = changes.first().is_some_and(|change| change.revision == after.next());
        let routes = self.routes.as_ref().filter(|r| r.revision() > after);
        let routes = routes.map(|r| RouteTree::clone(r));
        let (changes, tree) = if self.tree.revision <= after {
            (Vec::new(), None)
        } else if follows {
            (changes, None)
        } else {
            (Vec::new(), Some(self.tree.clone()))
        };
        let evacuations = self.evacuations.as_deref().cloned();
        let overload = routes.as_ref().map(RouteTree::overload_settings).unwrap_or_default();
        StreamMessage::SyncReply { members, changes, tree, routes, evacuations, overload }
    }

    pub(super) fn update_busy(&mut self, now: Timestamp) {
        while self.recent_syncs.front().is_some_and(|at| now.since(*at) >= BUSY_WINDOW) {
            self.recent_syncs.pop_front();
        }
        self.membership.set_busy(self.recent_syncs.len() >= BUSY_SYNCS);
    }
}
