//! Reads settings from the platform while this process has the duty to watch.

use std::sync::Arc;
use std::time::Duration;

use dillmill_core::{MemberStatus, Revision, watcher_selection};
use dillmill_settings::Tree;
use dillmill_store::SettingsStore;

use crate::control::Input;
use crate::{NodeHandle, View, ViewReceiver};

const WATCH: Duration = Duration::from_secs(10);
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(5);
const PEERS_FIRST: Duration = Duration::from_millis(1500);
const OFF_DUTY: Duration = Duration::from_secs(1);

/// Reads changes for as long as the process lives.
///
/// A newcomer with `peers` gets its first settings from them if it can: thousands that start at once
/// would otherwise all read the whole tree from the platform.
pub(crate) async fn run(store: SettingsStore, handle: NodeHandle, watchers: usize, peers: bool) {
    let views = handle.views();
    let mut view = None;
    if peers {
        view = shown(&views, Revision(1), PEERS_FIRST).await;
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
        if !on_duty(current, &handle, watchers) && current.revision() > Revision(0) {
            compio::time::sleep(OFF_DUTY).await;
            continue;
        }
        match read(&store, current.revision(), &handle).await {
            Ok(read) => {
                pause = RETRY_MIN;
                let cause = "call answered".to_owned();
                let _ = handle.tx.send(Input::Platform { reachable: true, cause });
                if let Some(revision) = read {
                    // Who asks before it is in force asks for this change again, and misses the next.
                    view = shown(&views, revision, WATCH).await.or(view);
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

/// Returns the newest view as soon as it shows `revision` or a later one, or after `wait`.
async fn shown(views: &ViewReceiver, revision: Revision, wait: Duration) -> Option<Arc<View>> {
    let mut newest = None;
    let waiting = async {
        while let Some(view) = views.next().await {
            let there = view.revision() >= revision;
            newest = Some(view);
            if there {
                return;
            }
        }
    };
    let _ = compio::time::timeout(wait, waiting).await;
    newest
}

fn on_duty(view: &Arc<View>, handle: &NodeHandle, watchers: usize) -> bool {
    let alive = view.members().filter(|m| m.status != MemberStatus::Down);
    let others = alive.map(|m| m.process);
    watcher_selection::is_watcher(view.me.process, others, watchers, handle.clock.now())
}

/// Passes on what follows revision `have`, if there is something; returns the revision that this leads to.
async fn read(
    store: &SettingsStore,
    have: Revision,
    handle: &NodeHandle,
) -> Result<Option<Revision>, String> {
    let source = "platform".to_owned();
    if have == Revision(0) {
        let mut tree = Tree::default();
        store.catch_up(&mut tree).await.map_err(|e| e.current_context().to_string())?;
        let revision = tree.revision;
        if revision > Revision(0) {
            let changes = Vec::new();
            let _ = handle.tx.send(Input::Settings { source, changes, tree: Some(tree) });
            return Ok(Some(revision));
        }
    }
    let next = have.next();
    let change = store.wait_for(next, WATCH).await.map_err(|e| e.current_context().to_string())?;
    let found = change.is_some().then_some(next);
    if let Some(change) = change {
        let changes = vec![change];
        let _ = handle.tx.send(Input::Settings { source, changes, tree: None });
    }
    Ok(found)
}
