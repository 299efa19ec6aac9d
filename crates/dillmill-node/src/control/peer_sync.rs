//! Records, settings and routes compared with a peer.

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

/// Comparisons answered within [`BUSY_FOR`] from which on newcomers are sent to others for what is new to them.
const BUSY: usize = 8;
const BUSY_FOR: Duration = Duration::from_millis(100);

impl Control {
    pub(super) fn sync_if_wanted(&mut self) {
        while let Some(peer) = with_random_index(|draw| self.membership.next_sync_peer(draw)) {
            self.sync_with(peer);
        }
    }

    pub(super) fn sync_with(&self, peer: SocketAddrV4) {
        let question = StreamMessage::Sync {
            buckets: self.membership.buckets(rand::rng().random()),
            after: self.revision(),
            me: self.membership.me().clone(),
        };
        self.handle.metrics.syncs_asked.inc();
        let handle = self.handle.clone();
        compio::runtime::spawn(async move {
            let answer = match Framed::connect(peer, handle.key.clone()).await {
                Ok(framed) => {
                    let framed = framed.counted(&handle.metrics.traffic);
                    client::exchange(framed, &question).await
                }
                Err(e) => Err(e),
            };
            if answer.is_err() {
                let _ = handle.tx.send(Input::SyncFailed);
            }
            if let Ok(StreamMessage::SyncReply { members, changes, tree, routes, evacuations }) =
                answer
            {
                let _ = handle.tx.send(Input::Members(members));
                let source = format!("peer {peer}");
                if let Some(evacuations) = evacuations {
                    handle.put_evacuations(source.clone(), evacuations);
                }
                if let Some(routes) = routes {
                    handle.put_routes(source.clone(), routes);
                }
                let _ = handle.tx.send(Input::Settings { source, changes, tree });
            }
        })
        .detach();
    }

    pub(super) fn answer_stream(
        &mut self,
        message: StreamMessage,
        tx: &flume::Sender<StreamMessage>,
        now: Timestamp,
    ) {
        let answer = match message {
            StreamMessage::Sync { buckets, after, me } => {
                self.handle.metrics.syncs_answered.inc();
                self.answered.push_back(now);
                self.note_busy(now);
                self.membership.learn(me, now);
                self.synced(&buckets, after)
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
        let _ = tx.send(answer);
    }

    pub(super) fn synced(&self, buckets: &RecordBuckets, after: Revision) -> StreamMessage {
        let members = self.membership.differing(buckets);
        let changes: Vec<Change> =
            self.recent.iter().filter(|change| change.revision > after).cloned().collect();
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
        StreamMessage::SyncReply { members, changes, tree, routes, evacuations }
    }

    pub(super) fn note_busy(&mut self, now: Timestamp) {
        while self.answered.front().is_some_and(|at| now.since(*at) >= BUSY_FOR) {
            self.answered.pop_front();
        }
        self.membership.set_busy(self.answered.len() >= BUSY);
    }
}
