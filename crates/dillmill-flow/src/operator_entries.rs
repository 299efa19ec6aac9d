//! Reads the operators' entries from the store and puts them in force.

use dillmill_core::{Evacuations, EventKind, Revision};
use dillmill_node::NodeHandle;
use dillmill_platform::store_protocol::Changes;
use dillmill_platform::{
    Entry, Freshness, OperatorKey, PlatformError, Store, Version, document, operator_key,
};
use error_stack::Report;

use crate::unreadable;

/// Puts the operators' entries in force in this process.
#[derive(Debug, Clone)]
pub(crate) struct OperatorEntries {
    handle: NodeHandle,
}

impl OperatorEntries {
    pub(crate) fn new(handle: NodeHandle) -> Self {
        Self { handle }
    }

    /// Reads all entries and puts them in force; returns the version from which a watch can continue.
    pub(crate) async fn read_all(
        &self,
        store: &Store,
        freshness: Freshness,
    ) -> Result<Version, Report<PlatformError>> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut current = None;
        let mut last_key_read = String::new();
        loop {
            let page = store.list(operator_key::PREFIX, &last_key_read, freshness).await?;
            // The watch starts at the version of the first page, so it repeats changes made while later
            // pages are read.
            current.get_or_insert(page.current);
            unreadable::record_entries(&self.handle, &page.unreadable);
            let next = page
                .last_key()
                .filter(|key| page.more && **key > *last_key_read)
                .map(str::to_owned);
            entries.extend(page.entries);
            match next {
                Some(key) => last_key_read = key,
                None => break,
            }
        }
        let current = current.unwrap_or_default();
        let ordered = entries.iter().filter_map(operator_key::evacuation_change);
        let evacuations = Evacuations::new(Revision(current.0), ordered.map(|change| change.zone));
        // Evacuations are applied before the routes, because new flows are placed as soon as a route is
        // known.
        self.handle.put_evacuations("store", evacuations);
        for entry in &entries {
            self.apply_entry(entry);
        }
        Ok(current)
    }

    /// Puts changed entries in force.
    pub(crate) fn apply(&self, changes: &Changes) {
        unreadable::record_entries(&self.handle, &changes.unreadable);
        let ordered: Vec<_> =
            changes.entries.iter().filter_map(operator_key::evacuation_change).collect();
        if !ordered.is_empty() {
            self.handle.change_evacuations(ordered);
        }
        let newest_document =
            |e: &&Entry| OperatorKey::from(e.key.as_str()) == OperatorKey::Document && !e.removed;
        let newest = changes.entries.iter().rfind(newest_document);
        let unknown = changes
            .entries
            .iter()
            .filter(|e| OperatorKey::from(e.key.as_str()) == OperatorKey::Unknown);
        for entry in newest.into_iter().chain(unknown) {
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&self, entry: &Entry) {
        match OperatorKey::from(entry.key.as_str()) {
            OperatorKey::Document => self.apply_document(entry),
            OperatorKey::Evacuation(_) => {}
            OperatorKey::Unknown => {
                let what = format!("`{}` of the operators not used", entry.key);
                let cause = "neither the configuration nor the name of a data centre to evacuate";
                self.handle.journal.record(EventKind::Settings, what, cause);
            }
        }
    }

    fn apply_document(&self, entry: &Entry) {
        match document::decode(&entry.value) {
            Ok(routes) => {
                let source = format!("store version {}", entry.version);
                self.handle.put_routes(source, routes);
            }
            Err(e) => {
                let what = format!("configuration of store version {} not used", entry.version);
                self.handle.journal.record(EventKind::Settings, what, e.to_string());
            }
        }
    }
}
