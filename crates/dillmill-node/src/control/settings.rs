//! Settings and routes: taken in, put in force, passed on.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use dillmill_core::membership::{FANOUT, Probe};
use dillmill_core::{EventKind, Revision, Timestamp};
use dillmill_settings::{Change, RouteTree, Tree};
use dillmill_wire::Message;

use super::Control;
use crate::SettingsSource;
use crate::handle::with_random_index;

const RECENT_CHANGES: usize = 128;
const CHANGES_PER_DATAGRAM: usize = 8;
const MAX_CHANGES_TEXT: usize = 6 * 1024;
const PULL_PATIENCE: Duration = Duration::from_millis(250);

impl Control {
    /// A peer that shows a higher revision is asked for what it has.
    pub(super) async fn learn_revision(
        &mut self,
        from: SocketAddrV4,
        probe: &Probe,
        now: Timestamp,
    ) {
        let (Probe::Ping { digest, .. } | Probe::Ack { digest, .. }) = probe else { return };
        self.correct_evacuations(from, digest.evacuations).await;
        if self.settings_source == SettingsSource::Routes {
            self.ask_for_routes(from, digest.revision, now);
        } else if digest.revision > self.tree.revision {
            if digest.revision.0 - self.tree.revision.0 > CHANGES_PER_DATAGRAM as u64 {
                self.sync_with(from);
            } else {
                let after = self.tree.revision;
                self.pulled.get_or_insert((after, from, self.handle.clock.now()));
                self.send(from, &Message::Pull { after }).await;
            }
        }
    }

    /// Asks a peer for its routes, unless a peer is being asked for as new ones.
    pub(super) fn ask_for_routes(&mut self, from: SocketAddrV4, shown: Revision, now: Timestamp) {
        let asked = self
            .routes_asked
            .is_some_and(|(revision, at)| shown <= revision && now.since(at) < PULL_PATIENCE);
        if shown > self.revision() && !asked {
            self.routes_asked = Some((shown, now));
            self.sync_with(from);
        }
    }

    /// Puts newer routes in force and shows their revision to peers, which then ask for them.
    pub(super) async fn take_routes(&mut self, source: &str, routes: RouteTree) {
        let revision = routes.revision();
        if self.routes.as_ref().is_some_and(|old| old.revision() >= revision) {
            return;
        }
        let count = routes.routes().len();
        self.routes = Some(Arc::new(routes));
        self.membership.set_revision(revision);
        self.handle.metrics.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
        let what = format!("revision {revision} with {count} routes in force");
        self.handle.journal.record(EventKind::Settings, what, source);
        self.push_changes(Vec::new()).await;
    }

    pub(super) fn revision(&self) -> Revision {
        self.routes.as_ref().map_or(self.tree.revision, |routes| routes.revision())
    }

    /// Changes that a peer has and that don't come by datagram, lost or too long, come by stream.
    pub(super) fn sync_if_pull_failed(&mut self, now: Timestamp) {
        let Some((after, peer, at)) = self.pulled else { return };
        if after < self.tree.revision {
            self.pulled = None;
        } else if now.since(at) >= PULL_PATIENCE {
            self.pulled = None;
            self.sync_with(peer);
        }
    }

    pub(super) async fn send_changes(&mut self, to: SocketAddrV4, after: Revision) {
        let changes: Vec<Change> = self
            .recent
            .iter()
            .filter(|change| change.revision > after)
            .take(CHANGES_PER_DATAGRAM)
            .scan(0, |length, change| {
                *length += change.text.as_ref().map_or(0, String::len);
                (*length <= MAX_CHANGES_TEXT).then(|| change.clone())
            })
            .collect();
        let follows = changes.first().is_some_and(|change| change.revision == after.next());
        if follows {
            self.send(to, &Message::Changes(changes)).await;
        }
    }

    /// Takes newer settings into force; what does not follow the present revision is not used.
    pub(super) async fn take_settings(
        &mut self,
        source: &str,
        changes: Vec<Change>,
        tree: Option<Tree>,
    ) {
        let before = self.tree.revision;
        if let Some(tree) = tree
            && tree.revision > self.tree.revision
        {
            self.tree = tree;
            self.recent.clear();
        }
        let mut applied = Vec::new();
        for change in changes {
            if self.tree.apply(&change).is_ok() {
                applied.push(change);
            }
        }
        if self.tree.revision == before {
            return;
        }
        self.put_in_force(source, &applied);
        self.recent.extend(applied.iter().cloned());
        while self.recent.len() > RECENT_CHANGES {
            self.recent.pop_front();
        }
        self.push_changes(applied).await;
    }

    pub(super) fn put_in_force(&mut self, source: &str, applied: &[Change]) {
        let revision = self.tree.revision;
        self.membership.set_revision(revision);
        match self.tree.check() {
            Ok(compiled) => {
                self.settings = Some(Arc::new(compiled));
                self.handle.metrics.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
                let paths: Vec<String> = applied.iter().map(|c| c.path.to_string()).collect();
                let what = format!("revision {revision} in force {}", paths.join(" "));
                self.handle.journal.record(EventKind::Settings, what.trim_end(), source);
            }
            Err(problems) => {
                let cause = problems.first().map_or(String::new(), ToString::to_string);
                let what = format!("revision {revision} can't be read; the one before stays");
                self.handle.journal.record(EventKind::Settings, what, cause);
            }
        }
    }

    /// Passes new changes on at once; peers pull what does not fit a datagram.
    pub(super) async fn push_changes(&mut self, changes: Vec<Change>) {
        let length: usize = changes.iter().filter_map(|c| c.text.as_ref()).map(String::len).sum();
        let fits = changes.len() <= CHANGES_PER_DATAGRAM && length <= MAX_CHANGES_TEXT;
        let message = if fits && !changes.is_empty() {
            Message::Changes(changes)
        } else {
            Message::Probe(self.membership.announcement())
        };
        let peers = with_random_index(|draw| self.membership.random_peers(FANOUT, draw));
        for to in peers {
            self.send(to, &message).await;
        }
    }

    pub(super) fn in_force(&self) -> Revision {
        let tree = self.settings.as_ref().map_or(Revision(0), |tree| tree.revision());
        tree.max(self.routes.as_ref().map_or(Revision(0), |routes| routes.revision()))
    }
}
