//! Tests that a process waiting for changes of settings receives all of them when they are made in quick
//! succession.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use dillmill_platform::{Freshness, Store, Version};
use dillmill_standins::platform;
use dillmill_store::{CasOutcome, Entries};

const WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a store and returns a client for it.
async fn store() -> Store {
    // The port was bound and released just before, so it is most likely free.
    let port = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr: SocketAddr = port.local_addr().unwrap();
    drop(port);
    compio::runtime::spawn(async move { platform::run(addr).await.unwrap() }).detach();
    let store = Store::new(format!("http://{addr}")).unwrap();
    while store.list("", "", Freshness::Newest).await.is_err() {
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    store
}

async fn write(entries: &Entries, n: u64) {
    let outcome = entries.put(&key(n), "change", Version(0)).await.unwrap();
    assert!(matches!(outcome, CasOutcome::Written(_)), "{outcome:?}");
}

fn key(n: u64) -> String {
    format!("settings/log/{n}")
}

/// Guards against changes missed by a watcher, seen in one of four CI runs of the script
/// `settings_spread`: the only watcher received the first of three changes with a store version later than
/// the other two, and then waited for changes after that version.
#[test]
fn changes_behind_the_first_are_heard() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let store = store().await;
        let (operator, watcher) = (Entries::new(store.clone()), Entries::new(store));
        write(&operator, 1).await;
        assert!(watcher.wait_for(&key(1), WAIT_TIMEOUT).await.unwrap().is_some());
        for n in 2..=4 {
            write(&operator, n).await;
        }
        for n in 2..=4 {
            assert!(watcher.wait_for(&key(n), WAIT_TIMEOUT).await.unwrap().is_some(), "{n}");
        }
        assert!(watcher.wait_for(&key(5), WAIT_TIMEOUT).await.unwrap().is_none());
        write(&operator, 5).await;
        assert!(
            watcher.wait_for(&key(5), WAIT_TIMEOUT).await.unwrap().is_some(),
            "after an empty wait"
        );
    });
}
