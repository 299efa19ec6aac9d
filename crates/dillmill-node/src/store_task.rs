//! Reads settings from the platform's store while this process is a selected watcher.

use std::sync::Arc;
use std::time::Duration;

use dillmill_core::{MemberStatus, Revision, watcher_selection};
use dillmill_settings::Tree;
use dillmill_store::SettingsStore;

use crate::control::Input;
use crate::{NodeHandle, View, ViewReceiver};

const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(5);
const PEER_WAIT: Duration = Duration::from_millis(1500);
const OFF_DUTY_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads settings changes until the process ends.
///
/// A new process that `has_peers` first waits up to [`PEER_WAIT`] for settings from them. Otherwise,
/// thousands of processes that start at once would all read the whole tree from the platform.
pub(crate) async fn run(
    store: SettingsStore,
    handle: NodeHandle,
    watchers: usize,
    has_peers: bool,
) {
    let views = handle.views();
    let mut view = None;
    if has_peers {
        view = wait_for_revision(&views, Revision(1), PEER_WAIT).await;
    }
    let mut pause = RETRY_MIN;
    loop {
        view = views.newer().or(view);
        let Some(current) = &view else {
            view = views.next().await;
            if view.is_none() {
                return;
            }
            continue;
        };
        if !is_selected(current, &handle, watchers) && current.revision() > Revision(0) {
            compio::time::sleep(OFF_DUTY_POLL_INTERVAL).await;
            continue;
        }
        match read(&store, current.revision(), &handle).await {
            Ok(read) => {
                pause = RETRY_MIN;
                let cause = "call answered".to_owned();
                let _ = handle.tx.send(Input::Platform { reachable: true, cause });
                if let Some(revision) = read {
                    // A read before this revision is in force would request the same change again and
                    // miss the next one.
                    view = wait_for_revision(&views, revision, WATCH_TIMEOUT).await.or(view);
                }
            }
            Err(cause) => {
                handle.metrics.platform_errors.inc();
                let _ = handle.tx.send(Input::Platform { reachable: false, cause });
                compio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Returns the newest view as soon as `revision` or a later one is in force, or after `wait`.
async fn wait_for_revision(
    views: &ViewReceiver,
    revision: Revision,
    wait: Duration,
) -> Option<Arc<View>> {
    let mut newest = None;
    let waiting = async {
        while let Some(view) = views.next().await {
            let reached = view.revision() >= revision;
            newest = Some(view);
            if reached {
                return;
            }
        }
    };
    let _ = compio::time::timeout(wait, waiting).await;
    newest
}

fn is_selected(view: &Arc<View>, handle: &NodeHandle, watchers: usize) -> bool {
    let alive = view.members().filter(|m| m.status != MemberStatus::Down);
    let others = alive.map(|m| m.process);
    watcher_selection::is_watcher(view.me.process, others, watchers, handle.clock.now())
}

/// Reads what follows revision `known` and passes it to the control task.
///
/// Returns the revision that this leads to, or `None` if nothing new was read.
async fn read(
    store: &SettingsStore,
    known: Revision,
    handle: &NodeHandle,
) -> Result<Option<Revision>, String> {
    let source = "platform".to_owned();
    if known == Revision(0) {
        let mut tree = Tree::default();
        store.catch_up(&mut tree).await.map_err(|e| e.current_context().to_string())?;
        let revision = tree.revision;
        if revision > Revision(0) {
            let changes = Vec::new();
            let _ = handle.tx.send(Input::Settings { source, changes, tree: Some(tree) });
            return Ok(Some(revision));
        }
    }
    let next = known.next();
    let change =
        store.wait_for(next, WATCH_TIMEOUT).await.map_err(|e| e.current_context().to_string())?;
    let found = change.is_some().then_some(next);
    if let Some(change) = change {
        let changes = vec![change];
        let _ = handle.tx.send(Input::Settings { source, changes, tree: None });
    }
    Ok(found)
}
