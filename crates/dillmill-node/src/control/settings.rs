//! Applies settings changes and routes and distributes them to peers.

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
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

impl Control {
    /// Compares a peer's advertised revisions with this process's own.
    ///
    /// Requests newer settings or routes from the peer, and sends it newer evacuation orders.
    pub(super) async fn compare_revisions(
        &mut self,
        from: SocketAddrV4,
        probe: &Probe,
        now: Timestamp,
    ) {
        let (Probe::Ping { digest, .. } | Probe::Ack { digest, .. }) = probe else { return };
        self.send_newer_evacuations(from, digest.evacuations).await;
        if self.settings_source == SettingsSource::Routes {
            self.request_routes(from, digest.revision, now);
        } else if digest.revision > self.tree.revision {
            if digest.revision.0 - self.tree.revision.0 > CHANGES_PER_DATAGRAM as u64 {
                self.sync_with(from);
            } else {
                let after = self.tree.revision;
                self.pending_pull.get_or_insert((after, from, self.handle.clock.now()));
                self.send(from, &Message::Pull { after }).await;
            }
        }
    }

    /// Requests a peer's routes, unless a request for the same or a newer revision is pending.
    pub(super) fn request_routes(
        &mut self,
        from: SocketAddrV4,
        advertised: Revision,
        now: Timestamp,
    ) {
        let asked = self
            .routes_requested
            .is_some_and(|(revision, at)| advertised <= revision && now.since(at) < PULL_TIMEOUT);
        if advertised > self.revision() && !asked {
            self.routes_requested = Some((advertised, now));
            self.sync_with(from);
        }
    }

    /// Puts newer routes in force and advertises their revision to peers, which then request them.
    pub(super) async fn apply_routes(&mut self, source: &str, routes: RouteTree) {
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

    /// Requests changes by stream if a peer has not delivered them by datagram in time, because the datagram
    /// was lost or would be too long.
    pub(super) fn sync_if_pull_failed(&mut self, now: Timestamp) {
        let Some((after, peer, at)) = self.pending_pull else { return };
        if after < self.tree.revision {
            self.pending_pull = None;
        } else if now.since(at) >= PULL_TIMEOUT {
            self.pending_pull = None;
            self.sync_with(peer);
        }
    }

    pub(super) async fn send_changes(&mut self, to: SocketAddrV4, after: Revision) {
        let changes: Vec<Change> = self
            .recent_changes
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

    /// Applies newer settings; changes that do not follow the current revision are ignored.
    pub(super) async fn apply_settings(
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
            self.recent_changes.clear();
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
        self.recent_changes.extend(applied.iter().cloned());
        while self.recent_changes.len() > RECENT_CHANGES {
            self.recent_changes.pop_front();
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
                let what = format!("revision {revision} is invalid; the previous one is kept");
                self.handle.journal.record(EventKind::Settings, what, cause);
            }
        }
    }

    /// Sends new changes to peers at once; peers pull changes that do not fit into a datagram.
    pub(super) async fn push_changes(&mut self, changes: Vec<Change>) {
        let length: usize = changes.iter().filter_map(|c| c.text.as_ref()).map(String::len).sum();
        let fits = changes.len() <= CHANGES_PER_DATAGRAM && length <= MAX_CHANGES_TEXT;
        let message = if fits && !changes.is_empty() {
            Message::Changes(changes)
        } else {
            Message::Probe(self.membership.announcement())
        };
        let peers =
            with_random_index(|random_index| self.membership.random_peers(FANOUT, random_index));
        for to in peers {
            self.send(to, &message).await;
        }
    }

    pub(super) fn revision_in_force(&self) -> Revision {
        let tree = self.settings.as_ref().map_or(Revision(0), |tree| tree.revision());
        tree.max(self.routes.as_ref().map_or(Revision(0), |routes| routes.revision()))
    }
}
